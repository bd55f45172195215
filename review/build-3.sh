#!/usr/bin/env bash
# The stand-ins of review/lib-3 are Python files that need the standard library only.
# Checks that they and the cases can be loaded.
set -eu
cd "$(dirname "$0")"
for file in lib-3/*.py 1[1-5]/*.py; do
    if [ -f "$file" ]; then
        python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
    fi
done
