"""Runs a stand-in: `python -m bramleystair.platform.standins KIND OPTIONS`."""

import json
import sys

from bramleystair.platform.standins._caller import run_callers
from bramleystair.platform.standins._server import run_server
from bramleystair.platform.standins._store import run_store


def main(kind: str, options: dict) -> None:
    """Run the stand-in `kind` until the process is killed."""
    match kind:
        case "store":
            run_store(options["host"], options["port"])
        case "server":
            run_server(options)
        case "callers":
            run_callers(options)
        case _:
            sys.exit(f"unknown stand-in {kind}")


if __name__ == "__main__":
    main(sys.argv[1], json.loads(sys.argv[2]))
