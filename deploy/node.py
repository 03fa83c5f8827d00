"""Runs a node of a deployment: `node.py balancer` or `node.py agent`."""

import gc

# Garbage collection during the imports would free nothing; `run_node` enables it again.
gc.disable()

import os.path  # noqa: E402
import sys  # noqa: E402

# After a loss of power, callers wait for the imports; pathlib would add five modules.
_FOLDER = os.path.dirname(os.path.dirname(os.path.realpath(__file__)))
sys.path.insert(0, os.path.join(_FOLDER, "src"))

from bramleystair.platform import main  # noqa: E402

sys.exit(main(sys.argv[1:]))
