#!/bin/sh
# Prepares the stand-ins of the cases 6 to 10. They are Python programs and need no build; this
# checks that they can be read, that the five copies of world.py are the same, and that the program of
# the deploy file is there.
set -e
cd "$(dirname "$0")/.."
for n in 6 7 8 9 10; do
    for file in "review/$n/world.py" "review/$n/case.py"; do
        python3 -B -c "import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])" "$file"
    done
    cmp review/6/world.py "review/$n/world.py"
done
test -x target/release/coriandernotch
