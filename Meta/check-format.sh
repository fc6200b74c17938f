#!/usr/bin/env bash
# Fails if a source file is not formatted as clang-format does it.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files '*.h' '*.cpp' | grep -v '\.pb\.' | xargs clang-format --dry-run --Werror
