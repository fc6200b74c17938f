#!/usr/bin/env bash
# Builds what runs on the users' platform, by the command of its deployment file.
set -euo pipefail
cd "$(dirname "$0")/.."
source Meta/compiler-cache.sh
command=$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml | sed 's/\\"/"/g')
bash -c "$command" >target-build.log 2>&1 || { cat target-build.log; exit 1; }
rm -f target-build.log
test -x target/bin/bilberryyard-node
