"""Options of the steering parts that an operator switches on.

A part applies beside backend servers that process at most `max_slots` requests at a
time, so that one settings file serves deployments with servers of different sizes.
"""

import json
import math
from collections.abc import Mapping
from typing import Any

import attrs
from result import Err, Ok, Result

from bramleystair.errors import StepError
from bramleystair.steering._types import MAX_SLOTS

COMMENT_PREFIX = "//"


def bounded(default: float, lowest: float, highest: float) -> Any:
    """Return an attrs field for a number in the given range."""
    kind = "an integer" if type(default) is int else "a number"
    return attrs.field(
        default=default,
        metadata={
            "lowest": lowest,
            "highest": highest,
            "allowed": f"{kind} from {lowest} to {highest}",
        },
    )


@attrs.frozen
class RequestGateSettings:
    """Options of the order of requests on open flows.

    Parameters
    ----------
    max_slots : int
        Highest number of slots of a server beside which the part applies; 0: none.
    queue_factor : float
        Number of requests that a server may have at a time, per slot. Above 1, it has
        the next one at hand when a response is on its way.
    max_hold_fraction : float
        Maximum time for which a request is held, as a fraction of the objective of its
        route. The rest is left for the server, or for a further try of the caller.
    max_held : int
        Maximum number of held requests per slot.
    """

    max_slots: int = bounded(0, 0, MAX_SLOTS)
    queue_factor: float = bounded(2.0, 1.0, 16.0)
    max_hold_fraction: float = bounded(0.2, 0.0, 0.25)
    max_held: int = bounded(8, 1, 64)


@attrs.frozen
class PaceSettings:
    """Options of the pace of a server that has started or recovered.

    Parameters
    ----------
    max_slots : int
        Highest number of slots of a server beside which the part applies; 0: none.
    response_s : float
        Time in seconds within which a server answers a request while its pace is kept,
        including the time in its own queue; a part of the objective of its routes.
    max_per_slot : float
        Highest number of requests in progress per slot; the pace of a server that
        reaches it is full.
    """

    max_slots: int = bounded(0, 0, MAX_SLOTS)
    response_s: float = bounded(0.1, 0.001, 60.0)
    max_per_slot: float = bounded(3.0, 1.0, 1024.0)


@attrs.frozen
class ServerFaultSettings:
    """Options of the avoidance of servers that fail or hang.

    Parameters
    ----------
    max_slots : int
        Highest number of slots of a server beside which the part applies; 0: none.
    overdue_s : float
        Age in seconds from which a request without a response counts as failed, if the
        server is usually faster. Callers notice delays of this length.
    overdue_factor : float
        The same limit as a multiple of the server's usual response time.
    failure_share : float
        Share of failed requests among the last ones from which new flows are refused.
    pause_s, max_pause_s : float
        Time in seconds for which they are refused at first, and at most. It doubles
        with each pause.
    memory_s : float
        Time in seconds without a failure after which the pauses start from the first.
    """

    max_slots: int = bounded(0, 0, MAX_SLOTS)
    overdue_s: float = bounded(0.3, 0.05, 10.0)
    overdue_factor: float = bounded(8.0, 2.0, 100.0)
    failure_share: float = bounded(0.5, 0.05, 0.95)
    pause_s: float = bounded(0.5, 0.05, 60.0)
    max_pause_s: float = bounded(4.0, 0.05, 600.0)
    memory_s: float = bounded(10.0, 1.0, 3600.0)


@attrs.frozen
class SteeringOptions:
    """Options of all parts; by default, all are off."""

    request_gate: RequestGateSettings = RequestGateSettings()
    pace: PaceSettings = PaceSettings()
    server_faults: ServerFaultSettings = ServerFaultSettings()


def read_options(path: str) -> Result[SteeringOptions, StepError]:
    """Read the options from a JSON file; lines that start with // are comments.

    Returns
    -------
    Result of SteeringOptions or StepError
        The error names the option, its value and what is allowed.
    """
    try:
        with open(path, encoding="utf-8") as file:
            lines = file.read().splitlines()
        kept = [line for line in lines if not line.lstrip().startswith(COMMENT_PREFIX)]
        return Ok(_parse(json.loads("\n".join(kept))))
    except OSError as error:
        return Err(StepError("read options", path, error.strerror or "unreadable"))
    except ValueError as error:
        return Err(StepError("read options", path, str(error)))


def _parse(document: Any) -> SteeringOptions:
    parts = {field.name: type(field.default) for field in attrs.fields(SteeringOptions)}
    _check_names(document, parts, "")
    return SteeringOptions(
        **{name: _parse_part(name, parts[name], document[name]) for name in document}
    )


def _parse_part(part: str, kind: type, document: Any) -> Any:
    fields = attrs.fields_dict(kind)
    _check_names(document, fields, part + ".")
    for name, value in document.items():
        _check_number(f"{part}.{name}", value, fields[name])
    return kind(**document)


def _check_names(document: Any, allowed: Mapping[str, Any], prefix: str) -> None:
    names = ", ".join(allowed)
    if not isinstance(document, dict):
        where = prefix.rstrip(".") or "file"
        raise ValueError(f"{where} is {document!r}; allowed: an object of {names}")
    for name in document:
        if name not in allowed:
            raise ValueError(f"option '{prefix}{name}' is unknown; allowed: {names}")


def _check_number(name: str, value: Any, field: attrs.Attribute) -> None:
    lowest, highest = field.metadata["lowest"], field.metadata["highest"]
    is_integer = type(field.default) is int
    has_type = type(value) is int or (not is_integer and type(value) is float)
    if not has_type or not math.isfinite(value) or not lowest <= value <= highest:
        allowed = field.metadata["allowed"]
        raise ValueError(f"option '{name}' is {value!r}; allowed: {allowed}")
