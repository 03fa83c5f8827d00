#!/bin/sh
# Builds the stand-ins of the cases 6 to 8: compiles them, and checks that the
# libraries that they use were built with the deploy file.
cd "$(dirname "$0")/.." || exit 1
PYTHONPATH=target/deps python3 -c "import attrs, h11" || exit 1
exec python3 -m compileall -q review/standins-2
