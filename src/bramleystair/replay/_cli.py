"""Command line of `bramleystair-replay`."""

import concurrent.futures
import json
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Literal

import attrs
import defopt

from bramleystair.replay._run import ReplayResult, run_trace
from bramleystair.replay._soak import generate_histories
from bramleystair.replay._trace import Trace, read_trace, write_trace

OK, FAILED, USAGE = 0, 1, 2


def main(argv: Sequence[str] | None = None) -> None:
    """Run the command line and exit with 0, or 1 when an outcome was not kept."""
    sys.exit(
        defopt.run(replay, argv=argv, no_negated_flags=True, cli_options="has_default")
    )


def replay(
    *traces: Path,
    seed: int = -1,
    soak: int = 0,
    processes: int = 1,
    output: Path = Path("."),
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
    soak
        Run this many generated histories of pairs of faults instead of files.
    processes
        Processes that share the generated histories.
    output
        Directory to which the trace of each failed history is written.
    format
        Output as text or JSON.
    verbose
        Print every measure and counter.
    """
    if soak:
        return _run_soak(soak, max(seed, 0), processes, output, format)
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


def _run_soak(count: int, seed: int, processes: int, output: Path, style: str) -> int:
    failed = 0
    with concurrent.futures.ProcessPoolExecutor(processes) as pool:
        traces = (history.trace for history in generate_histories(count, seed))
        for trace, outcome in pool.map(_run_history, traces):
            if not outcome.failures:
                continue
            failed += 1
            write_trace(output / f"{trace.name}.jsonl", trace)
            _show(outcome, style, False)
    print(f"{count} histories with seed {seed}, {failed} failed", file=sys.stderr)
    return FAILED if failed else OK


def _run_history(trace: Trace) -> tuple[Trace, ReplayResult]:
    return trace, run_trace(trace)


def _show(outcome: ReplayResult, style: str, is_verbose: bool) -> None:
    if style == "json":
        print(json.dumps(attrs.asdict(outcome)))
        return
    print("\n".join(outcome.list_lines()))
    if is_verbose:
        for name, value in sorted((outcome.measures | outcome.counters).items()):
            print(f"    {name}: {value:g}")
