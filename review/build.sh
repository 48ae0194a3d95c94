#!/bin/sh
# Nothing to build: the stand-ins of the cases are Python files. This checks only that they can be read.
cd "$(dirname "$0")" || exit 2
exec python3 -c "import ast, glob; [ast.parse(open(f).read(), f) for f in glob.glob(\"*.py\") + glob.glob(\"*/*.py\")]"
