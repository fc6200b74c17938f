#!/usr/bin/env bash
# Fails when a name of the users' platform stands outside platform/, deploy/ and the tests of platform/.
set -euo pipefail
cd "$(dirname "$0")/.."
names='Instances\.(Heartbeat|Leave)|Config\.(Put|Get)|BeatAddr|ColdLeftMs|PeerPortRange|InFaultBudget|ForwardingMode|DataAddr|SeedLagS|MaxSkewMs|HeartbeatMs|PathPrefix|TimeoutMs|BILBERRYYARD_BOOT'
if git grep -nE "$names" -- '*.h' '*.cpp' '*.proto' ':!platform' ':!Tests/Platform' ':!*.pb.h'; then
    echo "names of the platform outside platform/: translate them there" >&2
    exit 1
fi
