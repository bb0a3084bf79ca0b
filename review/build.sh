#!/bin/bash
# The stand-ins need nothing but Python's standard library. This checks that
# they compile with the Python of the deploy file's commands.
set -e
cd "$(dirname "$0")"
for file in common/standins.py [1-5]/case.py; do
    [ -e "$file" ] && python3 - "$file" <<'CHECK'
import sys

with open(sys.argv[1], encoding="utf-8") as source:
    compile(source.read(), sys.argv[1], "exec")
CHECK
done
exit 0
