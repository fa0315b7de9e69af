#!/usr/bin/env bash
# The stand-ins of cases 11 to 15 are Python without packages; there is nothing to build
# but the check that this Python can run them.
cd "$(dirname "$0")/.." || exit 2
for file in review/standins-3/*.py review/1[1-5]/run.py; do
  python3 - "$file" <<'PY' || exit 1
import ast, asyncio, sys
assert hasattr(asyncio, "timeout"), "Python 3.11 or later is needed"
ast.parse(open(sys.argv[1]).read())
PY
done
