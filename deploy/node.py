"""Runs a node of a deployment: `node.py balancer` or `node.py agent`."""

import gc

# Garbage collection during the imports would free nothing; `run_node` enables it again.
gc.disable()

import sys  # noqa: E402
from pathlib import Path  # noqa: E402

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from bramleystair.platform import main  # noqa: E402

sys.exit(main(sys.argv[1:]))
