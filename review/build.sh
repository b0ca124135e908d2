#!/bin/sh
# The stand-ins are Python programs that need the standard library alone: nothing to compile. Checks that they
# can be run.
cd "$(dirname "$0")" || exit 1
for file in lib/*.py */*.py; do
  python3 -c 'import ast, sys, tomllib; ast.parse(open(sys.argv[1]).read())' "$file" || exit 1
done
