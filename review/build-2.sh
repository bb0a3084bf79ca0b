#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. They are Python files without
# requirements; this checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
for file in 6/*.py 7/*.py 8/*.py 9/*.py 10/*.py; do
    [ -e "$file" ] || continue
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
