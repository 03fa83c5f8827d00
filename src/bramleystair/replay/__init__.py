"""Replay of recorded traces through the decision modules of balancers and agents."""

from bramleystair.replay._cli import main
from bramleystair.replay._nodes import NodeFactories
from bramleystair.replay._run import ReplayResult, UnmetExpectation, run_trace
from bramleystair.replay._trace import (
    Event,
    Expectation,
    Trace,
    build_trace,
    read_trace,
    write_trace,
)

__all__ = [
    "Expectation",
    "Event",
    "UnmetExpectation",
    "ReplayResult",
    "NodeFactories",
    "Trace",
    "build_trace",
    "main",
    "read_trace",
    "run_trace",
    "write_trace",
]
