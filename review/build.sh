#!/bin/sh
# The stand-ins are Python scripts of this folder and testsuite/soak/wirehttp.py; nothing has to be compiled. The
# router itself is built by the command of deploy/system.toml.
cd "$(dirname "$0")/.." || exit 1
python3 - <<'PY'
import ast
import pathlib
for path in [pathlib.Path("testsuite/soak/wirehttp.py"), *sorted(pathlib.Path("review").rglob("*.py"))]:
    ast.parse(path.read_text(encoding="utf8"), str(path))
PY
