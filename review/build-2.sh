#!/usr/bin/env bash
# Builds every stand-in that the scripts of review/6 and later start. They are Python modules without dependencies, so
# it compiles them, and checks that the build of the deploy file has run.
set -euo pipefail
cd "$(dirname "$0")/.."
for source in review/standins_2.py review/6/case.py review/7/case.py review/8/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$source"
done
test -x target/bin/bilberryyard-node || { echo "target/bin/bilberryyard-node is missing: run the build of the deploy file" >&2; exit 1; }
echo "the stand-ins are ready"
