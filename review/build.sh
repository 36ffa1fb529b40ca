#!/bin/sh
# The stand-ins are Python files that need the standard library alone (3.11 or later); nothing is compiled.
cd "$(dirname "$0")" || exit 1
exec python3 -c 'import ast, pathlib, sys
assert sys.version_info >= (3, 11), "Python 3.11 or later is needed"
for path in pathlib.Path(".").rglob("*.py"):
    ast.parse(path.read_text(encoding="utf-8"), str(path))'
