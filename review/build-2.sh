#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They are Python of the standard library, so that they only have to compile.
# The program under test is built by the deploy file.
set -e
cd "$(dirname "$0")"
python3 - standins_2.py 6/case.py 7/case.py 8/case.py 9/case.py 10/case.py <<'PY'
import sys
for path in sys.argv[1:]:
    compile(open(path, encoding="utf-8").read(), path, "exec")
print(f"{len(sys.argv) - 1} files compile")
PY
