#!/bin/sh
# Builds every stand-in that the scripts of review/6 to review/10 start: Python files
# of this project, which need the libraries in target/deps alone.
set -e
cd "$(dirname "$0")/.."
test -d target/deps
PYTHONPATH=target/deps python3 -S -m compileall -q review/common2 tests/platform/store_standin.py
PYTHONPATH=target/deps:. python3 -S -c "import tests.platform.store_standin"
