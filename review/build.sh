#!/usr/bin/env bash
# Checks the stand-ins of the scripts. They are Python programs without dependencies, so nothing has to be compiled; python3 is among the
# packages that Meta/anvilyard.sh installs. The nodes come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")"
python3 -B - standins/*.py [0-9]/case.py <<'CHECK'
import ast
import sys

if sys.version_info < (3, 11):
    sys.exit("the stand-ins need python3 3.11 or later, for tomllib")
for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as file:
        ast.parse(file.read(), name)
CHECK
