#!/usr/bin/env bash
# Configures and builds everything. Usage: Meta/build.sh [build folder] [CMake argument...]
set -euo pipefail
cd "$(dirname "$0")/.."
source Meta/compiler-cache.sh
folder=${1:-Build}
shift || true
cmake -S . -B "$folder" -G Ninja "$@" >"$folder.configure.log" 2>&1 || { cat "$folder.configure.log"; exit 1; }
rm -f "$folder.configure.log"
cmake --build "$folder" --parallel "${JOBS:-$(nproc)}"
