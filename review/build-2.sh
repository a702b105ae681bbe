#!/bin/sh
# Builds the stand-ins that the scripts of review/6 to review/10 start. They are
# Python programs (review/rig.py and test/harness/platform_standins.py), so this
# only checks that they compile.
set -e
cd "$(dirname "$0")/.."
for file in review/rig.py test/harness/platform_standins.py \
    review/6/case.py review/7/case.py review/8/case.py review/9/case.py \
    review/10/case.py; do
    if [ -f "$file" ]; then
        python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
    fi
done
