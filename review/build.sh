#!/bin/sh
# Builds the stand-ins that the scripts start: all are Python, and need no more than the
# libraries in target/deps.
cd "$(dirname "$0")/.." || exit 2
exec python3 -m compileall -q review tests/platform/store_standin.py
