"""Replay of recorded traces through the decision modules."""

from bramleystair.replay._cli import main
from bramleystair.replay._nodes import Parts
from bramleystair.replay._run import Failure, Outcome, run_trace
from bramleystair.replay._trace import (
    Bound,
    Event,
    Trace,
    build_trace,
    read_trace,
    write_trace,
)

__all__ = [
    "Bound",
    "Event",
    "Failure",
    "Outcome",
    "Parts",
    "Trace",
    "build_trace",
    "main",
    "read_trace",
    "run_trace",
    "write_trace",
]
