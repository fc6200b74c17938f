#!/usr/bin/env bash
# Builds every fuzz target with clang and the sanitizers, runs each with a fixed seed, and prints one line per target.
# Fails if a target reports an error. Usage: Meta/fuzz.sh [build folder] [runs per target]
set -euo pipefail
cd "$(dirname "$0")/.."
folder=${1:-Build-fuzz}
runs=${2:-200000}
seed=20251
# A target that exceeds this time counts as failed, because it may hang.
limit_seconds=${FUZZ_LIMIT_SECONDS:-120}

Meta/build-instrumented.sh "$folder" fuzz_targets

mapfile -t targets <"$folder/fuzz-targets.txt"
if [ ${#targets[@]} -eq 0 ]; then
    echo "fuzz: no targets in $folder/fuzz-targets.txt" >&2
    exit 1
fi
findings="$folder/fuzz-findings"
rm -rf "$findings"
mkdir -p "$findings"
run_target() {
    local target=$1 log="$findings/$1.log"
    if timeout "$limit_seconds" "$folder/bin/$target" -runs="$runs" -seed="$seed" -max_len=2048 -len_control=0 -timeout=10 \
        -artifact_prefix="$findings/$target-" >"$log" 2>&1; then
        echo "fuzz: $target passed: $(grep -oE 'Done [0-9]+ runs in [0-9]+ second' "$log")," \
            "$(grep -oE 'cov: [0-9]+' "$log" | tail -1), seed $seed"
        return 0
    fi
    echo "fuzz: $target FAILED with seed $seed; input and log in $findings"
    grep -E 'ERROR|runtime error|SUMMARY|deadly signal' "$log" || tail -n 5 "$log"
    return 1
}
export -f run_target
export findings folder runs seed limit_seconds
# The targets are independent and run in parallel; xargs fails if one of them fails.
printf '%s\n' "${targets[@]}" | xargs -P "${JOBS:-$(nproc)}" -I{} bash -c 'run_target {}'
