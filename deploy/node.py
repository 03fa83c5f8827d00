"""Start a node of the deployment: `node.py balancer` or `node.py agent`."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from bramleystair.platform import main  # noqa: E402

sys.exit(main(sys.argv[1:]))
