#!/bin/sh
# Builds the stand-ins of cases 6 to 10. They are plain Python without
# dependencies, so that they only have to compile.
set -e
cd "$(dirname "$0")"
for file in world2/world.py [0-9]*/case.py; do
    [ -f "$file" ] || continue
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
