"""Command line of `bramleystair-agent`."""

import logging
from pathlib import Path

import attrs
import defopt

from bramleystair.agent._daemon import run_agent
from bramleystair.daemons import read_settings, require_seeds
from bramleystair.logs import configure_logging
from bramleystair.settings import AgentSettings


def serve(settings: Path, *, verbose: bool = False) -> None:
    """Run the agent beside a backend server until SIGTERM.

    Parameters
    ----------
    settings : Path
        File of JSON with comments.
    verbose : bool
        Whether debug messages are logged too.
    """
    values = read_settings(settings, AgentSettings)
    seeds = require_seeds(values.seeds, values.platform)
    values = attrs.evolve(values, seeds=seeds)
    level = logging.DEBUG if verbose else logging.INFO
    configure_logging(values.server, level)
    raise SystemExit(run_agent(values))


def main() -> None:
    """Run the command line."""
    defopt.run(serve)
