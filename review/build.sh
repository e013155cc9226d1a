#!/bin/sh
# Builds the stand-ins of the review's scripts. They are Python programs that need the standard library only, so this
# compiles them to find errors early; no program of the project is needed besides the gateway of the deploy file.
cd "$(dirname "$0")" || exit 1
python3 - <<'PY' || exit 1
import pathlib
import sys

if sys.version_info < (3, 9):
    sys.exit("Python 3.9 or later is needed")
for it in sorted(pathlib.Path(".").glob("*/*.py")):
    compile(it.read_text(encoding="utf-8"), str(it), "exec")
PY
