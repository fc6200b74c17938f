#!/usr/bin/env bash
# Runs the fault-injection soak test of the shipped program with each of the seeds, in parallel.
# Usage: Meta/soak.sh SEED...
set -euo pipefail
cd "$(dirname "$0")/.."
printf '%s\n' "$@" | xargs -P "${SOAK_JOBS:-3}" -I{} python3 Tests/Soak/soak.py --program target/bin/bilberryyard-node \
    --seed {} --seconds "${SOAK_SECONDS:-15}"
