"""Command line interface of `bramleystair-balancer`."""

import logging
from pathlib import Path

import defopt

from bramleystair.balancer._daemon import run_balancer
from bramleystair.daemons import read_settings
from bramleystair.logs import configure_logging
from bramleystair.settings import BalancerSettings


def serve(settings: Path, *, verbose: bool = False) -> None:
    """Run a balancer until SIGTERM.

    Parameters
    ----------
    settings : Path
        Settings file, in JSON with comments.
    verbose : bool
        Also log debug messages.
    """
    values = read_settings(settings, BalancerSettings)
    level = logging.DEBUG if verbose else logging.INFO
    configure_logging(values.node, level)
    raise SystemExit(run_balancer(values))


def main() -> None:
    """Parse the command line and run the balancer."""
    defopt.run(serve)
