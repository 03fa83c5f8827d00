"""Running of a trace and comparison with its stated outcomes."""

from collections.abc import Iterator

import attrs

from bramleystair.replay._measures import INVARIANTS, Violation
from bramleystair.replay._nodes import NodeFactories
from bramleystair.replay._trace import Expectation, Trace
from bramleystair.replay._world import DEFAULT_FACTORIES, WARM_UP_S, World

MAX_SHOWN_VIOLATIONS = 5


@attrs.frozen
class UnmetExpectation:
    """A stated outcome or an invariant that was not kept."""

    measure: str
    value: float
    allowed: str

    def __str__(self) -> str:
        """Return a single line for terminals."""
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
        What the decision modules counted.
    failures : tuple of UnmetExpectation
        Stated outcomes and invariants that were not kept.
    violations : tuple of Violation
        The first violations.
    """

    trace: str
    seed: int
    measures: dict[str, float]
    counters: dict[str, int]
    failures: tuple[UnmetExpectation, ...]
    violations: tuple[Violation, ...]

    def list_lines(self) -> Iterator[str]:
        """Yield the lines for a terminal."""
        word = "FAILED" if self.failures else "ok"
        yield f"{self.trace} seed {self.seed}: {word}"
        yield from (f"  {failure}" for failure in self.failures)
        for violation in self.violations[:MAX_SHOWN_VIOLATIONS]:
            yield f"  {violation}"


def run_trace(
    trace: Trace, seed: int | None = None, factories: NodeFactories = DEFAULT_FACTORIES
) -> ReplayResult:
    """Replay a trace and compare the measures with the stated outcomes.

    Parameters
    ----------
    trace : Trace
        Setup, events and stated outcomes.
    seed : int or None
        Seed of every random choice; by default that of the setup.
    factories : NodeFactories
        Decision modules of the nodes.
    """
    seed = int(trace.setup.get("seed", 1)) if seed is None else seed
    world = World(trace.setup, seed, factories)
    _advance(world, WARM_UP_S)
    for event in trace.events:
        _advance(world, WARM_UP_S + event.time_s)
        world.apply(event)
    _advance(world, WARM_UP_S + trace.end_s)
    world.finish()
    measures = world.measures
    bounds = [*trace.bounds, *(Expectation(name, None, 0.0) for name in INVARIANTS)]
    failures = tuple(_find_failures(bounds, measures.values))
    return ReplayResult(
        trace.name,
        seed,
        dict(measures.values),
        dict(measures.counters),
        failures,
        tuple(measures.violations),
    )


def _advance(world: World, end_s: float) -> None:
    measures = world.measures
    while world.carrier.step(end_s):
        measures.step += 1
        measures.now = world.carrier.now - WARM_UP_S


def _find_failures(
    bounds: list[Expectation], values: dict[str, float]
) -> Iterator[UnmetExpectation]:
    for bound in bounds:
        value = values.get(bound.measure, 0.0)
        if not bound.is_met(value):
            yield UnmetExpectation(bound.measure, value, str(bound))
