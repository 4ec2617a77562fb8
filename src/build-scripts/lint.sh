#!/usr/bin/env bash
# Checks formatting, names and common faults. Changes no file.
set -euo pipefail

build_dir=${1:-build}
mapfile -t sources < <(git ls-files -co --exclude-standard 'src/*.h' 'src/*.cpp' ':!*.capnp.h')
clang-format --dry-run --Werror "${sources[@]}"

mapfile -t scripts < <(git ls-files -co --exclude-standard '*.sh' '.ci/run')
shellcheck "${scripts[@]}"

mapfile -t units < <(git ls-files -co --exclude-standard 'src/*.cpp')
absolute=()
for unit in "${units[@]}"; do
  absolute+=("$PWD/$unit")
done
log=$(mktemp)
trap 'rm -f "$log"' EXIT
if ! run-clang-tidy -quiet -p "$build_dir" -j "$(nproc)" "${absolute[@]}" \
  >"$log" 2>&1; then
  sed 's/\x1b\[[0-9;]*m//g' "$log" | grep -E '(error|warning):' | sort -u
  exit 1
fi
echo "lint: ${#sources[@]} files clean"
