#!/bin/sh
# Exit code 1: the system reset an open flow; TROUBLE=0: no balancer is added.
cd "$(dirname "$0")" || exit 2
PYTHONPATH="$(cd ../.. && pwd)/target/deps"
export PYTHONPATH
python3 -c "import attrs, h11" || exit 2
exec python3 case.py
