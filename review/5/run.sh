#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/programs/kingcuplock-gateway ] || { echo "build target/programs/kingcuplock-gateway first"; exit 2; }
command -v python3 >/dev/null || { echo "python3 is missing"; exit 2; }
exec python3 -B review/5/case.py
