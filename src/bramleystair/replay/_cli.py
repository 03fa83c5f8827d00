"""Command line of `bramleystair-replay`."""

import concurrent.futures
import json
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Literal

import attrs
import defopt

from bramleystair.replay._histories import generate_histories
from bramleystair.replay._run import ReplayResult, run_trace
from bramleystair.replay._trace import Trace, read_trace, write_trace

OK, FAILED, USAGE = 0, 1, 2


def main(argv: Sequence[str] | None = None) -> None:
    """Parse the command line and exit with 0, 1 on unmet expectations, 2 on errors."""
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
    """Replay recorded traces and compare the measures with the expectations.

    Parameters
    ----------
    traces
        Trace files in JSON Lines format; see docs/traces.md.
    seed
        Seed of all random number generators; -1 uses that of the trace.
    soak
        Run this many generated histories of pairs of faults instead of trace files.
    processes
        Number of processes that run the generated histories.
    output
        Directory to which the trace of each failed history is written.
    format
        Output format.
    verbose
        Print all measures and counters.
    """
    if soak:
        return _run_soak(soak, max(seed, 0), processes, output, format)
    exit_code = OK
    for path in traces:
        trace = read_trace(path)
        if trace.is_err():
            print(trace.unwrap_err(), file=sys.stderr)
            return USAGE
        result = run_trace(trace.unwrap(), None if seed < 0 else seed)
        _print_result(result, format, verbose)
        exit_code = FAILED if result.failures else exit_code
    return exit_code


def _run_soak(
    count: int, seed: int, processes: int, output: Path, output_format: str
) -> int:
    failed = 0
    with concurrent.futures.ProcessPoolExecutor(processes) as pool:
        traces = (history.trace for history in generate_histories(count, seed))
        for trace, result in pool.map(_run_history, traces):
            if not result.failures:
                continue
            failed += 1
            write_trace(output / f"{trace.name}.jsonl", trace)
            _print_result(result, output_format, False)
    print(f"{count} histories with seed {seed}, {failed} failed", file=sys.stderr)
    return FAILED if failed else OK


def _run_history(trace: Trace) -> tuple[Trace, ReplayResult]:
    return trace, run_trace(trace)


def _print_result(result: ReplayResult, output_format: str, is_verbose: bool) -> None:
    if output_format == "json":
        print(json.dumps(attrs.asdict(result)))
        return
    print("\n".join(result.list_lines()))
    if is_verbose:
        for name, value in sorted((result.measures | result.counters).items()):
            print(f"    {name}: {value:g}")
