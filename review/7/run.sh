#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -d target/deps/bronzerudder ] || { echo "target/deps is not built"; exit 2; }
export TROUBLE="${TROUBLE:-1}"
exec python3 -B review/7/case.py
