#!/usr/bin/env bash
# Builds what the scripts of review/4 to review/8 start: their stand-ins are
# Python files without dependencies, so that this only checks that they load.
# What the project's own programs need is built by platform/build.py.
set -eu
cd "$(dirname "$0")"
for file in [4-8]/*.py; do
  [ -e "$file" ] || continue
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
