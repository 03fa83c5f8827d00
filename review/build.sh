#!/bin/sh
# Compiles the stand-ins. They need Python 3.11 and its standard library only.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q standins
