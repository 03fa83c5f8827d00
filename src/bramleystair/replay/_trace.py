"""Trace files: reading, validation and writing."""

import json
from collections.abc import Iterable
from pathlib import Path

import attrs
from result import Err, Ok, Result

from bramleystair.errors import StepError


@attrs.frozen
class Event:
    """One line of a trace.

    Parameters
    ----------
    time_s : float
        Time since the start of the trace in seconds.
    place : str
        Subject of the event: a backend server, a balancer, or a fixed name such as
        ``network``.
    name : str
        Type of the event.
    values : dict
        Other fields of the line.
    line : int
        Line number, from 1; 0 for a generated event.
    """

    time_s: float
    place: str
    name: str
    values: dict[str, object] = attrs.field(factory=dict)
    line: int = 0

    def get(self, name: str, default: object) -> object:
        """Return the value of another field, or `default`."""
        return self.values.get(name, default)


@attrs.frozen
class Expectation:
    """Expected range of a measure, with inclusive limits."""

    measure: str
    minimum: float | None
    maximum: float | None

    def is_met(self, value: float) -> bool:
        """Return whether `value` is within the range."""
        if self.minimum is not None and value < self.minimum:
            return False
        return self.maximum is None or value <= self.maximum

    def __str__(self) -> str:
        """Return a description of the range."""
        parts = []
        if self.minimum is not None:
            parts.append(f"at least {self.minimum:g}")
        if self.maximum is not None:
            parts.append(f"at most {self.maximum:g}")
        return " and ".join(parts)


@attrs.frozen
class Trace:
    """A setup, events in order of time, and expectations."""

    name: str
    setup: dict[str, object]
    events: tuple[Event, ...]
    expectations: tuple[Expectation, ...]
    end_s: float


def read_trace(path: Path) -> Result[Trace, StepError]:
    """Read the trace file at `path`."""
    events = []
    try:
        lines = path.read_text().splitlines()
    except (OSError, UnicodeDecodeError) as error:
        return Err(StepError("read trace", str(path), str(error)))
    for number, line in enumerate(lines, 1):
        if not line.strip():
            continue
        try:
            events.append(_read_event(json.loads(line), number))
        except (ValueError, TypeError, KeyError, AttributeError) as error:
            detail = f"line {number}: {type(error).__name__} {error}"
            return Err(StepError("read trace", str(path), detail))
    return build_trace(path.stem, events)


def build_trace(name: str, events: Iterable[Event]) -> Result[Trace, StepError]:
    """Build a trace from all its events, including setup, expectations and end."""
    setup: dict[str, object] = {}
    expectations, trace_events = [], []
    end_s = None
    for event in events:
        match event.place, event.name:
            case "trace", "setup":
                setup = event.values
            case "trace", "expect":
                expectations.append(_read_bound(event))
            case "trace", "end":
                end_s = event.time_s
            case _:
                trace_events.append(event)
    if end_s is None:
        return Err(StepError("read trace", name, 'no event "end" at "trace"'))
    if not expectations:
        return Err(StepError("read trace", name, 'no event "expect" at "trace"'))
    trace_events.sort(key=lambda event: event.time_s)
    return Ok(Trace(name, setup, tuple(trace_events), tuple(expectations), end_s))


def write_trace(path: Path, trace: Trace) -> None:
    """Write a trace in the format that `read_trace` reads."""
    lines = [Event(0.0, "trace", "setup", trace.setup), *trace.events]
    lines.append(Event(trace.end_s, "trace", "end"))
    for expectation in trace.expectations:
        values = {"measure": expectation.measure}
        if expectation.minimum is not None:
            values["min"] = expectation.minimum
        if expectation.maximum is not None:
            values["max"] = expectation.maximum
        lines.append(Event(trace.end_s, "trace", "expect", values))
    path.write_text("".join(_format_event(event) + "\n" for event in lines))


def _format_event(event: Event) -> str:
    head = {"time": event.time_s, "place": event.place, "event": event.name}
    return json.dumps(head | event.values)


def _read_event(document: dict[str, object], line: int) -> Event:
    values = dict(document)
    time_s = float(values.pop("time"))
    return Event(
        time_s, str(values.pop("place")), str(values.pop("event")), values, line
    )


def _read_bound(event: Event) -> Expectation:
    return Expectation(
        str(event.values["measure"]), event.get("min", None), event.get("max", None)
    )
