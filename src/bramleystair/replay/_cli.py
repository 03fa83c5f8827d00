"""Command line of `bramleystair-replay`."""

import json
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Literal

import attrs
import defopt

from bramleystair.replay._run import Outcome, run_trace
from bramleystair.replay._trace import read_trace

OK, FAILED, USAGE = 0, 1, 2


def main(argv: Sequence[str] | None = None) -> None:
    """Run the command line and exit with 0, or 1 when an outcome was not kept."""
    sys.exit(
        defopt.run(replay, argv=argv, no_negated_flags=True, cli_options="has_default")
    )


def replay(
    *traces: Path,
    seed: int = -1,
    format: Literal["text", "json"] = "text",
    verbose: bool = False,
) -> int:
    """Replay recorded traces and compare the outcomes with the stated ones.

    Parameters
    ----------
    traces
        Files of JSON Lines; see docs/traces.md.
    seed
        Seed of every random choice; -1 takes that of the trace.
    format
        Output as text or JSON.
    verbose
        Print every measure and counter.
    """
    code = OK
    for path in traces:
        result = read_trace(path)
        if result.is_err():
            print(result.unwrap_err(), file=sys.stderr)
            return USAGE
        outcome = run_trace(result.unwrap(), None if seed < 0 else seed)
        _show(outcome, format, verbose)
        code = FAILED if outcome.failures else code
    return code


def _show(outcome: Outcome, style: str, is_verbose: bool) -> None:
    if style == "json":
        print(json.dumps(attrs.asdict(outcome)))
        return
    print("\n".join(outcome.list_lines()))
    if is_verbose:
        for name, value in sorted((outcome.measures | outcome.counters).items()):
            print(f"    {name}: {value:g}")
