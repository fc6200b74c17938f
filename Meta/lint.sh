#!/usr/bin/env bash
# Runs clang-tidy on the given files, by default on every source file outside the tests.
# Usage: Meta/lint.sh [build folder] [file...]
set -euo pipefail
cd "$(dirname "$0")/.."
folder=${1:-Build}
shift || true
if [ $# -gt 0 ]; then
    files=("$@")
else
    mapfile -t files < <(git ls-files 'Libraries/*.cpp' 'Services/*.cpp' 'Utilities/*.cpp' 'platform/*.cpp')
fi
printf '%s\n' "${files[@]}" | xargs -P "${JOBS:-$(nproc)}" -n 1 clang-tidy -p "$folder" --quiet --extra-arg=-Wno-unknown-warning-option 2> >(grep -vE 'warnings? generated|Suppressed|Use -header-filter' >&2 || true)
