"""Command line that compares steering policies on the model."""

import json
import statistics

import attrs
import defopt

from bramleystair.model._patterns import PATTERNS, POLICIES, Result, measure_pattern


def compare_policies(
    *, seeds: int = 3, pattern: str = "", as_json: bool = False
) -> int:
    """Compare steering policies under load patterns.

    Parameters
    ----------
    seeds : int
        Number of runs of each pattern and policy, with seeds from 1 on.
    pattern : str
        Pattern to run; all by default.
    as_json : bool
        Whether to print each run as a JSON document instead of a row of averages per
        policy.
    """
    if pattern and pattern not in PATTERNS:
        print(f"unknown pattern {pattern!r}; allowed patterns: {', '.join(PATTERNS)}")
        return 2
    names = [pattern] if pattern else list(PATTERNS)
    for name in names:
        for policy in POLICIES:
            results = [measure_pattern(name, policy, seed + 1) for seed in range(seeds)]
            if as_json:
                for result in results:
                    print(json.dumps(attrs.asdict(result)))
            else:
                print(_format_row(results))
    return 0


def _format_row(results: list[Result]) -> str:
    first = results[0]
    columns = [
        f"{name} {statistics.mean(getattr(r, name) for r in results):.0f}"
        for name in ("in_time", "late", "refused", "expired", "broken_flows")
    ]
    return f"{first.pattern:14} {first.policy:24} " + "  ".join(columns)


def main() -> int:
    """Parse the command line, run the comparison and return the exit code."""
    return defopt.run(compare_policies)
