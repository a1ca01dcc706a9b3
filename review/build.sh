#!/usr/bin/env bash
# The stand-ins are Python 3 programs with its standard library alone: there is
# nothing to compile, so this checks that they parse.
set -euo pipefail
cd "$(dirname "$0")"
for file in *.py ./*/*.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
