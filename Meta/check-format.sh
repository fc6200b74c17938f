#!/usr/bin/env bash
# Fails when a source file differs from the formatter's output.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files '*.h' '*.cpp' | grep -v '\.pb\.' | xargs clang-format --dry-run --Werror
