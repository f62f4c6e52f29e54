#!/usr/bin/env bash
# Checks what the scripts of cases 6 to 10 start beside the program of the
# deploy file: stand-ins in Python, which need no build.
set -euo pipefail
cd "$(dirname "$0")/.."
test -x target/bin/bronzeward-fleet ||
  { echo "build the system as deploy/system.toml says first" >&2; exit 1; }
python3 -B - <<'CHECK'
import ast
import pathlib
for folder in ("standins/platform", "review/harness-2", *map(
        str, pathlib.Path("review").glob("[0-9]*"))):
    for path in pathlib.Path(folder).glob("*.py"):
        ast.parse(path.read_text(), str(path))
CHECK
