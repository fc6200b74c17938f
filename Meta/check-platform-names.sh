#!/usr/bin/env bash
# Fails if a C++ source or protobuf file outside platform/ and its tests contains a name of the users' platform.
set -euo pipefail
cd "$(dirname "$0")/.."
names='Instances\.(Heartbeat|Leave)|Config\.(Put|Get)|BeatAddr|ColdLeftMs|PeerPortRange|InFaultBudget|ForwardingMode|DataAddr|SeedLagS|MaxSkewMs|HeartbeatMs|PathPrefix|TimeoutMs|BILBERRYYARD_BOOT'
if git grep -nE "$names" -- '*.h' '*.cpp' '*.proto' ':!platform' ':!Tests/Platform' ':!*.pb.h'; then
    echo "names of the users' platform are used outside platform/; translate them in platform/" >&2
    exit 1
fi
