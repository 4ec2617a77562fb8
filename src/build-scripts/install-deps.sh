#!/usr/bin/env bash
# Installs every package that the build, the tests and the linters need.
set -euo pipefail

packages=(
  g++ cmake ninja-build make git ccache pkg-config openssl python3
  clang-format clang-tidy clang-tools shellcheck
  libev-dev libcapnp-dev libboost1.81-dev libtomlplusplus-dev
  libcurl4-openssl-dev libssl-dev libgflags-dev
  libfmt-dev libgtest-dev libbenchmark-dev nlohmann-json3-dev
  libsimdjson-dev
  libxxhash-dev zlib1g-dev gnuplot-nox
)

missing=()
for package in "${packages[@]}"; do
  if ! dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
    grep -q 'ok installed'; then
    missing+=("$package")
  fi
done
if [ "${#missing[@]}" -eq 0 ]; then
  echo "all ${#packages[@]} packages are installed"
  exit 0
fi
as_root=()
if [ "$(id -u)" -ne 0 ]; then
  as_root=(sudo)
fi
export DEBIAN_FRONTEND=noninteractive
"${as_root[@]}" apt-get update -qq
"${as_root[@]}" apt-get install -y -qq --no-install-recommends "${missing[@]}"
