#!/bin/sh
# The stand-ins of cases 6 to 10 are Python programs (review/standins-2): nothing has to be compiled. Checks that they
# can run: Python 3.11 or newer, standard library only.
set -eu
cd "$(dirname "$0")/standins-2"
python3 - <<'CHECK'
import ast
import sys
if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or newer is needed")
for name in ("endless.py", "engine.py", "runner.py", "store.py"):
    with open(name, encoding="utf8") as file:
        ast.parse(file.read(), name)
CHECK
