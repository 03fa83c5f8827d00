"""Command line of `bramleystair-standin`."""

import defopt

from bramleystair.logs import configure_logging
from bramleystair.standins._backend import run_backend
from bramleystair.standins._caller import run_caller
from bramleystair.standins._fabric import run_fabric
from bramleystair.standins._platform import run_platform


def main() -> None:
    """Run the stand-in selected by the first argument."""
    configure_logging("standin")
    defopt.run(
        {
            "platform": run_platform,
            "fabric": run_fabric,
            "backend": run_backend,
            "caller": run_caller,
        }
    )
