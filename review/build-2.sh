#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They are Python modules without dependencies beyond the standard
# library, so this only compiles them, with the interpreter that the build of the deploy file has installed.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review/standins-2
for case in 6 7 8 9 10; do
    test ! -d "review/$case" || .venv/bin/python -m compileall -q "review/$case"
done
