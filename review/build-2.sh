#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. They are Python programs without dependencies, so they are
# only checked: those of the cases and those of tests/process that they use.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - review/loopback.py review/[0-9]*/case.py tests/process/*.py <<'PROGRAM'
import sys

for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as source:
        compile(source.read(), name, "exec")
PROGRAM
