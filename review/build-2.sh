#!/usr/bin/env bash
# Checks that the stand-ins of the cases 6 to 10 can start; they are plain Python.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
for file in review/[6-9]/*.py review/10/*.py; do
  [ -f "$file" ] && python3 -m py_compile "$file"
done
PYTHONPATH=target/deps python3 -c 'import sardinesaddle.direct.entryrole'
