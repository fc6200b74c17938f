#!/usr/bin/env bash
# Builds every fuzz target with clang and the sanitizers, runs each with a fixed seed, and prints one line per
# target. Fails on any finding. Usage: Meta/fuzz.sh [build folder] [runs per target]
set -euo pipefail
cd "$(dirname "$0")/.."
folder=${1:-Build-fuzz}
runs=${2:-200000}
seed=20251
# A target that hangs is a finding as well.
limit_seconds=${FUZZ_LIMIT_SECONDS:-120}

cmake -S . -B "$folder" -G Ninja -DCMAKE_CXX_COMPILER=clang++-14 -DCMAKE_BUILD_TYPE=RelWithDebInfo \
    -DBILBERRYYARD_FUZZ=ON -DBILBERRYYARD_SANITIZE=address,undefined,fuzzer-no-link \
    >"$folder.configure.log" 2>&1 || { cat "$folder.configure.log"; exit 1; }
rm -f "$folder.configure.log"
cmake --build "$folder" --parallel "${JOBS:-$(nproc)}" --target fuzz_targets >"$folder/fuzz-build.log" \
    || { cat "$folder/fuzz-build.log"; exit 1; }

mapfile -t targets <"$folder/fuzz-targets.txt"
if [ ${#targets[@]} -eq 0 ]; then
    echo "fuzz: no targets in $folder/fuzz-targets.txt" >&2
    exit 1
fi
findings="$folder/fuzz-findings"
rm -rf "$findings"
mkdir -p "$findings"
failed=0
for target in "${targets[@]}"; do
    log="$findings/$target.log"
    if timeout "$limit_seconds" "$folder/bin/$target" -runs="$runs" -seed="$seed" -max_len=2048 -len_control=0 -timeout=10 \
        -artifact_prefix="$findings/$target-" >"$log" 2>&1; then
        echo "fuzz: $target passed: $(grep -oE 'Done [0-9]+ runs in [0-9]+ second' "$log")," \
            "$(grep -oE 'cov: [0-9]+' "$log" | tail -1), seed $seed"
    else
        failed=1
        echo "fuzz: $target FAILED with seed $seed; input and log in $findings"
        grep -E 'ERROR|runtime error|SUMMARY|deadly signal' "$log" || tail -n 5 "$log"
    fi
done
exit "$failed"
