#!/usr/bin/env bash
# Builds the shipped program with the build command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
source Meta/compiler-cache.sh
command=$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml | sed 's/\\"/"/g')
bash -c "$command" >target-build.log 2>&1 || { cat target-build.log; exit 1; }
rm -f target-build.log
test -x target/bin/bilberryyard-node
