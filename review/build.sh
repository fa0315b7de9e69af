#!/usr/bin/env bash
# Builds the stand-ins of the cases. They are Python files that use the standard library
# only, so nothing has to be fetched or compiled; this checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins/*.py [1-5]/*.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
test -d ../target/deps || { echo "run the build of deploy/system.toml first"; exit 1; }
echo "stand-ins are ready"
