"""Replay of one trace and comparison with its expectations."""

from collections.abc import Iterator

import attrs

from bramleystair.replay._measures import INVARIANTS, Violation
from bramleystair.replay._nodes import NodeFactories
from bramleystair.replay._simulation import DEFAULT_FACTORIES, WARM_UP_S, Simulation
from bramleystair.replay._trace import Expectation, Trace

MAX_SHOWN_VIOLATIONS = 5


@attrs.frozen
class UnmetExpectation:
    """An expectation or invariant that was not met, with the measured value."""

    measure: str
    value: float
    allowed: str

    def __str__(self) -> str:
        """Return a one-line description."""
        return f"{self.measure} is {self.value:g}, allowed is {self.allowed}"


@attrs.frozen
class ReplayResult:
    """Result of a replay.

    Parameters
    ----------
    trace : str
        Name of the trace.
    seed : int
        Seed of the replay.
    measures : dict of str to float
        Measured values.
    counters : dict of str to int
        Counters of the decision modules.
    failures : tuple of UnmetExpectation
        Expectations and invariants that were not met.
    violations : tuple of Violation
        Recorded violations in order of time.
    """

    trace: str
    seed: int
    measures: dict[str, float]
    counters: dict[str, int]
    failures: tuple[UnmetExpectation, ...]
    violations: tuple[Violation, ...]

    def list_lines(self) -> Iterator[str]:
        """Yield the lines of the text output."""
        word = "FAILED" if self.failures else "ok"
        yield f"{self.trace} seed {self.seed}: {word}"
        yield from (f"  {failure}" for failure in self.failures)
        for violation in self.violations[:MAX_SHOWN_VIOLATIONS]:
            yield f"  {violation}"


def run_trace(
    trace: Trace, seed: int | None = None, factories: NodeFactories = DEFAULT_FACTORIES
) -> ReplayResult:
    """Replay a trace and compare the measures with the expectations.

    Parameters
    ----------
    trace : Trace
        Setup, events and expectations.
    seed : int or None
        Seed of all random number generators; by default that of the setup.
    factories : NodeFactories
        Constructors of the decision modules.
    """
    seed = int(trace.setup.get("seed", 1)) if seed is None else seed
    simulation = Simulation(trace.setup, seed, factories)
    _advance(simulation, WARM_UP_S)
    for event in trace.events:
        _advance(simulation, WARM_UP_S + event.time_s)
        simulation.apply(event)
    _advance(simulation, WARM_UP_S + trace.end_s)
    simulation.finish()
    measures = simulation.measures
    expectations = [
        *trace.expectations,
        *(Expectation(name, None, 0.0) for name in INVARIANTS),
    ]
    failures = tuple(_find_unmet_expectations(expectations, measures.values))
    return ReplayResult(
        trace.name,
        seed,
        dict(measures.values),
        dict(measures.counters),
        failures,
        tuple(measures.violations),
    )


def _advance(simulation: Simulation, end_s: float) -> None:
    measures = simulation.measures
    while simulation.scheduler.step(end_s):
        measures.step += 1
        measures.now = simulation.scheduler.now - WARM_UP_S


def _find_unmet_expectations(
    expectations: list[Expectation], values: dict[str, float]
) -> Iterator[UnmetExpectation]:
    for expectation in expectations:
        value = values.get(expectation.measure, 0.0)
        if not expectation.is_met(value):
            yield UnmetExpectation(expectation.measure, value, str(expectation))
