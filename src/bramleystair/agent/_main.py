"""Command line interface of `bramleystair-agent`."""

import logging
from pathlib import Path

import attrs
import defopt

from bramleystair.agent._daemon import run_agent
from bramleystair.daemons import read_settings, require_seeds
from bramleystair.logs import configure_logging
from bramleystair.settings import AgentSettings


def serve(settings: Path, *, verbose: bool = False) -> None:
    """Run the agent of a backend server until SIGTERM.

    Parameters
    ----------
    settings : Path
        Settings file, in JSON with comments.
    verbose : bool
        Also log debug messages.
    """
    values = read_settings(settings, AgentSettings)
    seeds = require_seeds(values.seeds, values.platform)
    values = attrs.evolve(values, seeds=seeds)
    level = logging.DEBUG if verbose else logging.INFO
    configure_logging(values.server, level)
    raise SystemExit(run_agent(values))


def main() -> None:
    """Parse the command line and run the agent."""
    defopt.run(serve)
