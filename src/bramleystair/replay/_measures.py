"""Measures and violations of a replay."""

import collections

import attrs

# Measures that must stay 0 whatever a trace states; a violation is kept with its time.
INVARIANTS = (
    "wrong_service",
    "split_flows",
    "over_cap",
    "over_cold_curve",
    "late_zone_packets",
    "late_drain_work",
    "version_reverted",
    "duplicated_runs",
    "false_not_run",
    "wrong_responses",
)


@attrs.frozen
class Violation:
    """A broken invariant, with the step at which it was found."""

    measure: str
    time_s: float
    step: int
    detail: str

    def __str__(self) -> str:
        """Return a single line for terminals."""
        return f"{self.measure} at {self.time_s:.3f} s, step {self.step}: {self.detail}"


class Measures:
    """Counters, largest values and violations.

    Attributes
    ----------
    values : dict of str to float
        By name of the measure.
    counters : Counter of str
        What the decision modules counted, by ``name{reason}``.
    violations : list of Violation
        Broken invariants in order of time.
    """

    def __init__(self) -> None:
        self.values: dict[str, float] = dict.fromkeys(INVARIANTS, 0.0)
        self.counters: collections.Counter[str] = collections.Counter()
        self.violations: list[Violation] = []
        self.now = 0.0
        self.step = 0

    def add(self, measure: str, amount: float = 1.0) -> None:
        """Raise a measure."""
        self.values[measure] = self.values.get(measure, 0.0) + amount

    def raise_to(self, measure: str, value: float) -> None:
        """Keep the largest value of a measure."""
        self.values[measure] = max(value, self.values.get(measure, 0.0))

    def violate(self, measure: str, detail: str) -> None:
        """Count a violation and keep what led to it."""
        self.add(measure)
        self.violations.append(Violation(measure, self.now, self.step, detail))
