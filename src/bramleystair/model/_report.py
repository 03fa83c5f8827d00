"""Measurements of a model run."""

from collections import Counter

import attrs

from bramleystair.model._callers import Outcome


@attrs.define
class Report:
    """Outcomes of requests and flows.

    Parameters
    ----------
    outcomes : Counter
        Number of requests by second of their first attempt and outcome.
    broken_flows : int
        Established flows that were reset although a server still held them.
    processed : dict of str to int
        Requests processed, by server.
    groups : dict of int to Report
        Report of each group of callers.
    """

    outcomes: Counter[tuple[int, Outcome]] = attrs.field(factory=Counter)
    broken_flows: int = 0
    processed: dict[str, int] = attrs.field(factory=dict)
    groups: "dict[int, Report]" = attrs.field(factory=dict)

    def record(self, outcome: Outcome, started_s: float, group: int) -> None:
        """Count a completed request of a group of callers."""
        second = int(started_s)
        self.outcomes[second, outcome] += 1
        self.groups.setdefault(group, Report()).outcomes[second, outcome] += 1

    def count(
        self, outcome: Outcome, start_s: float = 0, end_s: float = float("inf")
    ) -> int:
        """Return the number of requests first sent in the interval with `outcome`."""
        return sum(
            number
            for (second, recorded), number in self.outcomes.items()
            if recorded is outcome and start_s <= second < end_s
        )

    def compute_share(
        self, outcome: Outcome, start_s: float = 0, end_s: float = float("inf")
    ) -> float:
        """Return the share of requests first sent in the interval with `outcome`."""
        total = sum(self.count(recorded, start_s, end_s) for recorded in Outcome)
        return self.count(outcome, start_s, end_s) / total if total else 0.0
