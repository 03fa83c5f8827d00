#!/bin/sh
# Exit code 1: the system reset an open flow; TROUBLE=0: no balancer is added.
cd "$(dirname "$0")" || exit 2
PYTHONPATH="$(cd ../.. && pwd)/target/deps" exec python3 case.py
