#!/bin/sh
# Builds the stand-ins of the cases: they are Python without dependencies, so they are only compiled.
cd "$(dirname "$0")" || exit 2
exec python3 - <<'END'
import pathlib
import sys

for path in sorted(pathlib.Path().rglob("*.py")):
    compile(path.read_bytes(), str(path), "exec")
sys.exit(0)
END
