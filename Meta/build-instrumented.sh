#!/usr/bin/env bash
# Builds targets with clang, AddressSanitizer, UndefinedBehaviorSanitizer and libFuzzer coverage. The fuzz targets and
# the sanitized tests share one build folder. Usage: Meta/build-instrumented.sh FOLDER TARGET...
set -euo pipefail
cd "$(dirname "$0")/.."
source Meta/compiler-cache.sh
folder=$1
shift
cmake -S . -B "$folder" -G Ninja -DCMAKE_CXX_COMPILER=clang++-14 -DCMAKE_BUILD_TYPE=RelWithDebInfo \
    -DCMAKE_CXX_FLAGS_RELWITHDEBINFO="-O1 -g1" -DBILBERRYYARD_FUZZ=ON \
    -DBILBERRYYARD_SANITIZE=address,undefined,fuzzer-no-link \
    >"$folder.configure.log" 2>&1 || { cat "$folder.configure.log"; exit 1; }
rm -f "$folder.configure.log"
cmake --build "$folder" --parallel "${JOBS:-$(nproc)}" --target "$@" >"$folder/instrumented-build.log" \
    || { cat "$folder/instrumented-build.log"; exit 1; }
