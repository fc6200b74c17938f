#!/usr/bin/env bash
# Runs the fault soak on the shipped program with the given seeds, one after the other. Usage: Meta/soak.sh SEED...
set -euo pipefail
cd "$(dirname "$0")/.."
for seed in "$@"; do
    python3 Tests/Soak/soak.py --program target/bin/bilberryyard-node --seed "$seed" --seconds "${SOAK_SECONDS:-15}"
done
