#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They are Python programs without dependencies, so this checks that they compile.
set -e
cd "$(dirname "$0")"
for file in standins-2/*.py */case.py; do
    case "$file" in [1-5]/*) continue ;; esac
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
