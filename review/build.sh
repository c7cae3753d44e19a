#!/usr/bin/env bash
# The stand-ins of the cases are Python programs without dependencies, so only their syntax is checked.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins/*.py [1-5]/*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file"
done
