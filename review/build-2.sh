#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases 6 to 10 start. All of them are Python programs, which are checked
# here; the project's programs come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
for file in small_site_2.py [6-9]/*.py 10/*.py; do
    [ -e "$file" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file"
done
