"""Run the regression days of a deployment's benchmark and print a summary table.

Run with ``.venv/bin/python scripts/regression.py BENCH SITE...``; ``--help`` lists the
options. The output of each run is stored in ``var/regression``.
"""

import json
import re
import statistics
import subprocess
import sys
from pathlib import Path

import defopt

OUTPUT = Path(__file__).resolve().parent.parent / "var" / "regression"
JOURNAL = Path(__file__).resolve().parent.parent / "journal"
# The benchmark prints the journal entry of a run at the end of its output.
JOURNAL_ENTRY_PATTERN = re.compile(r"^snapshot (\w+)$", re.MULTILINE)
DISTURBED_DAY_PREFIXES = ("trouble", "scale")


def run_bench(bench: str, command: str, site: str, options: list[str]) -> list[dict]:
    """Run the benchmark, store its output and return the days of its journal entry."""
    command_line = [bench, command, site, *options, "--why", "regression run"]
    completed = subprocess.run(
        command_line, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True
    )
    OUTPUT.mkdir(parents=True, exist_ok=True)
    (OUTPUT / f"{Path(site).stem}-{command}.txt").write_text(completed.stdout)
    match = JOURNAL_ENTRY_PATTERN.search(completed.stdout)
    if match is None:
        return []
    (entry,) = JOURNAL.glob(f"*-{match[1]}.json")
    return json.loads(entry.read_text())["days"]


def format_row(site: str, scored_days: list[dict], random_days: list[dict]) -> str:
    """Return the table row of a site."""
    disturbed = [
        day["G"]
        for day in scored_days
        if day["name"].startswith(DISTURBED_DAY_PREFIXES)
    ]
    mean = f"{statistics.mean(disturbed):.3f}" if disturbed else "-"
    lowest = min((day["G"] for day in scored_days + random_days), default=0.0)
    gate = "passed" if has_passed(scored_days) else "failed"
    violations = (
        f"{count_violations(random_days)} of {len(random_days)}"
        if random_days
        else "not run"
    )
    return f"| {Path(site).stem} | {gate} | {mean} | {lowest:.3f} | {violations} |"


def has_passed(days: list[dict]) -> bool:
    """Return whether there are days and all of them passed the gate."""
    return bool(days) and all(day["gate"] for day in days)


def count_violations(days: list[dict]) -> int:
    """Return the number of days with a violated rule or a fault."""
    return sum(bool(day["rules"] or day["fault"]) for day in days)


def run(bench: str, *sites: str, jobs: int = 3, hunt: int = 0) -> int:
    """Run the scored days of each site, then random days.

    Parameters
    ----------
    bench : str
        Path of the benchmark program.
    sites : str
        Paths of site files.
    jobs : int
        Number of days run in parallel.
    hunt : int
        Number of random days for each site.

    Returns
    -------
    int
        1 if a gate failed, a rule was violated or a day is missing.
    """
    options = ["--jobs", str(jobs)]
    rows = [
        "| site | gate | mean of trouble and scale | lowest | random days violated |"
    ]
    rows.append("|---" * 5 + "|")
    is_passed = True
    for site in sites:
        scored_days = run_bench(bench, "score", site, options)
        random_days = []
        if hunt:
            days = ["--days", str(hunt)]
            random_days = run_bench(bench, "hunt", site, options + days)
            is_passed &= len(random_days) >= hunt
        is_passed &= has_passed(scored_days) and not count_violations(random_days)
        rows.append(format_row(site, scored_days, random_days))
    print("\n".join(rows))
    return 0 if is_passed else 1


if __name__ == "__main__":
    sys.exit(defopt.run(run))
