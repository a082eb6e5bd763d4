#!/usr/bin/env bash
# Builds the stand-ins of the scripts. They are Python programs that need only the standard library, so building them
# is checking that this Python (3.11 or later, for tomllib) compiles them.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys, tomllib; sys.exit(sys.version_info < (3, 11))'
for source in *.py */case.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$source"
done
