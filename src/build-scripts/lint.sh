#!/usr/bin/env bash
# Checks formatting, names and common faults. Changes no file.
set -euo pipefail

build_dir=${1:-build}

# Lists files that match the patterns and exist, without generated code.
list_files() {
  git ls-files -co --exclude-standard "$@" | grep -v '\.capnp\.' |
    while read -r file; do
      [ -e "$file" ] && echo "$file"
    done
  return 0
}

mapfile -t sources < <(list_files 'src/*.h' 'src/*.cpp' 'platform/*.h' \
  'platform/*.cpp')
clang-format --dry-run --Werror "${sources[@]}"

# Two types of one name break the one-definition rule.
doubles=$(git grep -hE '^(struct|class|enum class) [A-Za-z]+ .*\{' \
  -- 'src/include/nutmeghollow/*.h' |
  sed -E 's/^(struct|class|enum class) ([A-Za-z]+) .*/\2/' | sort | uniq -d)
if [ -n "$doubles" ]; then
  echo "lint: defined in two public headers: $doubles"
  exit 1
fi

# The users' platform is known in platform/ and deploy/ only.
if git grep -nEi -f platform/words.txt -- src testsuite; then
  echo "lint: words of the users' platform outside platform/ and deploy/"
  exit 1
fi
platform_lines=$(list_files 'platform/*.h' 'platform/*.cpp' |
  grep -v _test.cpp | xargs cat | wc -l)
if [ "$platform_lines" -gt 1500 ]; then
  echo "lint: platform/ has $platform_lines lines; it should only translate"
  exit 1
fi

mapfile -t scripts < <(list_files '*.sh' '.ci/run')
shellcheck "${scripts[@]}"

mapfile -t units < <(list_files 'src/*.cpp' 'platform/*.cpp')
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
