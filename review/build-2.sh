#!/usr/bin/env bash
# Builds what the scripts of review/6 to review/10 start besides the gateway. The stand-ins are Python files of this
# repository that use the standard library only, so there is nothing to compile; this checks that they can be run.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - soak/platform_standin.py review/lib-2/*.py review/{6,7,8,9,10}/*.py review/found-2/*/*.py <<'CHECK'
import pathlib
import sys
for it in sys.argv[1:]:
    if pathlib.Path(it).exists():
        compile(pathlib.Path(it).read_text(), it, "exec")
print("the stand-ins are ready")
CHECK
