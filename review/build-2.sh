#!/bin/bash
# Builds every stand-in that a script of review/6 and later starts. They are
# Python: platform/testing/standin.py, review/lib-2 and the scripts themselves.
# Python 3.11 or later with its standard library is needed; nothing is built.
cd "$(dirname "$0")/.." || exit 1
test -x target/bin/nutmegd || {
  echo "run the build of deploy/system.toml first" >&2
  exit 1
}
python3 - <<'CHECK'
import ast
import glob
import tomllib  # Python 3.11

for name in glob.glob("review/lib-2/*.py") + glob.glob("review/*/case.py"):
    with open(name, encoding="utf-8") as file:
        ast.parse(file.read(), name)
CHECK
