"""Measures and invariant violations of a replay."""

import collections

import attrs

# Measures that must stay 0 in every trace; each violation is recorded with its time.
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
    """Violation of an invariant or expectation, with the step at which it was found."""

    measure: str
    time_s: float
    step: int
    detail: str

    def __str__(self) -> str:
        """Return a one-line description."""
        return f"{self.measure} at {self.time_s:.3f} s, step {self.step}: {self.detail}"


class Measures:
    """Measured values, counters and violations of a run.

    Attributes
    ----------
    values : dict of str to float
        Value of each measure.
    counters : Counter of str
        Counters of the decision modules, by ``name{reason}``.
    violations : list of Violation
        Violations in order of time.
    """

    def __init__(self) -> None:
        self.values: dict[str, float] = dict.fromkeys(INVARIANTS, 0.0)
        self.counters: collections.Counter[str] = collections.Counter()
        self.violations: list[Violation] = []
        self.now = 0.0
        self.step = 0

    def increment(self, measure: str, amount: float = 1.0) -> None:
        """Add `amount` to a measure."""
        self.values[measure] = self.values.get(measure, 0.0) + amount

    def record_maximum(self, measure: str, value: float) -> None:
        """Set a measure to `value` if that is larger."""
        self.values[measure] = max(value, self.values.get(measure, 0.0))

    def record_violation(self, measure: str, detail: str) -> None:
        """Count a violation and record its details."""
        self.increment(measure)
        self.violations.append(Violation(measure, self.now, self.step, detail))
