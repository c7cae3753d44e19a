#!/usr/bin/env bash
# The stand-ins of the cases 6 to 10 are Python programs without dependencies, so only their syntax is checked.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 11), "Python 3.11 is needed"'
for file in harness/*.py {6,7,8,9,10}/play.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file"
done
