"""Command line of the soak test."""

import json
import sys
from pathlib import Path

import defopt

from bramleystair.soak._run import run_seed


def run_soak(
    *, seeds: int = 1, seconds: float = 20.0, seed: int = 1, output: str = ""
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
    output : str
        Folder for the settings and outputs of each run; discarded by default.
    """
    totals = dict.fromkeys(
        ("broken_flows", "doubled", "misdelivered", "false_not_run"), 0
    )
    failed = []
    for number in range(seed, seed + seeds):
        folder = None
        if output:
            folder = Path(output) / str(number)
            folder.mkdir(parents=True, exist_ok=True)
        result = run_seed(number, seconds, folder)
        for name in totals:
            totals[name] += getattr(result, name)
        if result.is_failed:
            failed.append(number)
        print(
            f"seed {number}: {result.requests} requests, "
            f"final share {result.final_share:.3f}, "
            f"{'failed' if result.is_failed else 'passed'} {result.details[:3]}",
            file=sys.stderr,
        )
    print(json.dumps({"seeds": seeds, "failed": failed, **totals}))
    return 1 if failed else 0


def main() -> int:
    """Parse the command line, run the soak test and return the exit code."""
    return defopt.run(run_soak)
