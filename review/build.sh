#!/usr/bin/env bash
# Prepares the stand-ins of the cases. They are Python programs that use the
# standard library only, so that nothing is compiled: checks that they can run.
set -eu
cd "$(dirname "$0")/.."
python3 - platform/testing/standin.py review/lib/fleet.py review/*/case.py <<'PY'
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed (tomllib)")
for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as file:
        compile(file.read(), name, "exec")
PY
