"""Command line of the soak test."""

import concurrent.futures
import functools
import json
import sys
from pathlib import Path

import defopt

from bramleystair.soak._check import SoakResult
from bramleystair.soak._faults import FAULT_MIXES
from bramleystair.soak._run import run_seed

MEASURES = (
    "broken_flows",
    "flows_elsewhere",
    "misrouted_flows",
    "doubled",
    "misdelivered",
    "false_not_run",
    "exceeded_memory",
)


def run_soak(
    *,
    seeds: int = 1,
    seconds: float = 20.0,
    seed: int = 1,
    faults: str = "all",
    processes: int = 1,
    output: str = "",
) -> int:
    """Run the programs under random faults and check the invariants.

    Parameters
    ----------
    seeds : int
        Number of runs, with consecutive seeds.
    seconds : float
        Duration of the faults in each run.
    seed : int
        Seed of the first run.
    faults : str
        Mix of faults: all, writer, reports, large, restarts, clock or ports.
    processes : int
        Number of concurrent runs; each has 13 programs.
    output : str
        Folder for the settings, outputs and faults of each run; discarded by default.
    """
    if faults not in FAULT_MIXES:
        print(f"unknown faults {faults}, not in {list(FAULT_MIXES)}", file=sys.stderr)
        return 2
    run = functools.partial(_run, seconds=seconds, faults=faults, output=output)
    with concurrent.futures.ProcessPoolExecutor(processes) as executor:
        results = list(executor.map(run, range(seed, seed + seeds)))
    totals = {name: sum(getattr(r, name) for r in results) for name in MEASURES}
    failed = [result.seed for result in results if result.is_failed]
    print(json.dumps({"faults": faults, "seeds": seeds, "failed": failed, **totals}))
    return 1 if failed else 0


def _run(seed: int, seconds: float, faults: str, output: str) -> SoakResult:
    folder = None
    if output:
        folder = Path(output) / str(seed)
        folder.mkdir(parents=True, exist_ok=True)
    result = run_seed(seed, seconds, faults, folder)
    counts = {name: getattr(result, name) for name in MEASURES}
    print(
        f"seed {seed}: {result.requests} requests, "
        f"final share {result.final_share:.3f}, "
        f"{'failed' if result.is_failed else 'passed'} "
        f"{ {name: count for name, count in counts.items() if count} } "
        f"{result.details[:3]}",
        file=sys.stderr,
        flush=True,
    )
    return result


def main() -> int:
    """Parse the command line, run the soak test and return the exit code."""
    return defopt.run(run_soak)
