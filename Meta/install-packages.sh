#!/usr/bin/env bash
# Installs the Debian packages that the build and the tests need.
set -euo pipefail

packages=(
    g++ cmake ninja-build ccache clang-14 clang-format clang-tidy libclang-rt-14-dev
    libcivetweb-dev libzmq3-dev cppzmq-dev libprotobuf-dev protobuf-compiler
    libboost-dev libboost-test-dev libyaml-cpp-dev libdocopt-dev liblog4cplus-dev
    libabsl-dev libxxhash-dev libbenchmark-dev libtomlplusplus-dev nlohmann-json3-dev python3 curl
)
missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
if [ ${#missing[@]} -gt 0 ]; then
    apt-get update -q
    DEBIAN_FRONTEND=noninteractive apt-get install -y -q --no-install-recommends "${missing[@]}"
fi
