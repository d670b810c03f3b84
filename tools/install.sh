#!/usr/bin/env bash
# Installs the packages that the build and the tests need, unless all are installed.
set -euo pipefail
packages=(g++ cmake ninja-build ccache clang-format clang-tidy libpoco-dev capnproto libcapnp-dev nlohmann-json3-dev
    libboost-dev libboost-log-dev libabsl-dev libxxhash-dev libssl-dev libcli11-dev catch2 librapidcheck-dev spin curl)
missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
