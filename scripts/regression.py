"""Play the regression days of a deployment's bench and print one table.

Run with ``.venv/bin/python scripts/regression.py BENCH SITE...``; ``--help`` lists the
options. The output of each run is kept below ``var/regression``.
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
# The bench names the journal entry of a run at the end of its output.
SNAPSHOT = re.compile(r"^snapshot (\w+)$", re.MULTILINE)
WITH_TROUBLE = ("trouble", "scale")


def play(bench: str, verb: str, site: str, options: list[str]) -> list[dict]:
    """Run the bench, keep its output and return the days of its journal entry."""
    command = [bench, verb, site, *options, "--why", "regression run"]
    done = subprocess.run(
        command, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True
    )
    OUTPUT.mkdir(parents=True, exist_ok=True)
    (OUTPUT / f"{Path(site).stem}-{verb}.txt").write_text(done.stdout)
    match = SNAPSHOT.search(done.stdout)
    if match is None:
        return []
    (entry,) = JOURNAL.glob(f"*-{match[1]}.json")
    return json.loads(entry.read_text())["days"]


def format_row(site: str, scored: list[dict], hunted: list[dict]) -> str:
    """Return a site's row of the table."""
    hard = [day["G"] for day in scored if day["name"].startswith(WITH_TROUBLE)]
    mean = f"{statistics.mean(hard):.3f}" if hard else "-"
    lowest = min((day["G"] for day in scored + hunted), default=0.0)
    gate = "passed" if has_passed(scored) else "failed"
    broken = f"{count_broken(hunted)} of {len(hunted)}" if hunted else "not run"
    return f"| {Path(site).stem} | {gate} | {mean} | {lowest:.3f} | {broken} |"


def has_passed(days: list[dict]) -> bool:
    """Return whether days were played and all of them pass the gate."""
    return bool(days) and all(day["gate"] for day in days)


def count_broken(days: list[dict]) -> int:
    """Return the number of days on which a rule was broken or a fault happened."""
    return sum(bool(day["rules"] or day["fault"]) for day in days)


def run(bench: str, *sites: str, jobs: int = 3, hunt: int = 0) -> int:
    """Score each site, then hunt random days on it.

    Parameters
    ----------
    bench : str
        Path of the bench's program.
    sites : str
        Paths of site files.
    jobs : int
        Days played at a time.
    hunt : int
        Random days played on each site.

    Returns
    -------
    int
        1 if a gate failed, a rule was broken or a day is missing.
    """
    options = ["--jobs", str(jobs)]
    rows = ["| site | gate | mean of trouble and scale | lowest | hunted days broken |"]
    rows.append("|---" * 5 + "|")
    is_good = True
    for site in sites:
        scored = play(bench, "score", site, options)
        hunted = []
        if hunt:
            days = ["--days", str(hunt)]
            hunted = play(bench, "hunt", site, options + days)
            is_good &= len(hunted) >= hunt
        is_good &= has_passed(scored) and not count_broken(hunted)
        rows.append(format_row(site, scored, hunted))
    print("\n".join(rows))
    return 0 if is_good else 1


if __name__ == "__main__":
    sys.exit(defopt.run(run))
