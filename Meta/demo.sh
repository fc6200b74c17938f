#!/usr/bin/env bash
# Installs the packages, builds, and runs a full deployment on loopback addresses: control hosts, balancers, a fabric
# that distributes packets over them, backend servers and callers, each in a separate process. Prints a summary and
# fails if a flow is broken. Usage: Meta/demo.sh [flessenpost|derwent]
set -euo pipefail
cd "$(dirname "$0")/.."
Meta/install-packages.sh
Meta/build.sh Build
DEPLOYMENT=${1:-flessenpost}
source Meta/run-deployment.sh
echo "starting the deployment $DEPLOYMENT"
start_deployment
echo "running the load for 10 s"
load --duration 10000 --rate 1000 --feeds 400
echo "all flows are listed in $RUN/flows"
