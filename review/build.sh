#!/bin/sh
# The stand-ins of the cases are Python programs of the standard library: there is nothing to
# compile. This checks the interpreter and the build of the deploy file.
cd "$(dirname "$0")/.." || exit 1
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' || exit 1
test -d target/deps || { echo "target/deps is missing: run the build of the deploy file first"; exit 1; }
for case in review/[0-9]*/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$case" || exit 1
done
