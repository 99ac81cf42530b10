#!/bin/sh
# The stand-ins of cases 6 to 10 are Python programs (review/standins-2 and review/standins-3): nothing has to be
# compiled. Checks that they can run: Python 3.11 or newer, standard library only.
set -eu
cd "$(dirname "$0")"
python3 - <<'CHECK'
import ast
import sys
if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or newer is needed")
for name in ("standins-2/endless.py", "standins-2/engine.py", "standins-2/runner.py", "standins-2/store.py",
             "standins-3/standins.py", "standins-3/limits.py"):
    with open(name, encoding="utf8") as file:
        ast.parse(file.read(), name)
CHECK
