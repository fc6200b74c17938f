#!/usr/bin/env bash
# Installs the packages, builds, and runs a whole deployment on loopback addresses: control hosts, balancers,
# a fabric that sprays packets over them, backend servers and callers, each in its own process. Prints a
# summary and fails when a flow is broken. Usage: Meta/demo.sh [flessenpost|derwent]
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
echo "each flow is listed in $RUN/flows"
