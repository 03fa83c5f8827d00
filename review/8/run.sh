#!/bin/sh
# Exit code 1: processes ended by themselves again and again; TROUBLE=0: no odd entries.
cd "$(dirname "$0")" || exit 2
PYTHONPATH="$(cd ../.. && pwd)/target/deps"
export PYTHONPATH
python3 -c "import attrs, h11" || exit 2
exec python3 case.py
