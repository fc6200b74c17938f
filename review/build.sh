#!/usr/bin/env bash
# Prepares everything that the scripts start besides the program of the deploy file. The stand-ins are Python modules
# without dependencies, so there is nothing to compile; this checks that they can be loaded by the installed Python.
set -euo pipefail
cd "$(dirname "$0")"
python3 - standins.py common_case.py [0-9]/run.py <<'PYTHON'
import ast
import sys
import tomllib  # noqa: F401: part of Python 3.11, which the scripts need

for path in sys.argv[1:]:
    with open(path) as file:
        ast.parse(file.read(), path)
print(f"{len(sys.argv) - 1} modules of the review can be loaded")
PYTHON
