#!/bin/bash
# The stand-ins of the cases 11 to 15 are Python files: there is nothing to build, only to check.
cd "$(dirname "$0")" || exit 2
for file in world3.py 1[1-5]/case.py; do
    [ -e "$file" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file" || exit 1
done
