"""Encoding of a member entry as an object in the store."""

from typing import Any

from result import Err, Ok, Result

from bramleystair.errors import StepError
from bramleystair.steering._types import MemberEntry, ServerState

_FIELDS = {
    "host": str,
    "port": int,
    "zone": str,
    "service": str,
    "state": str,
    "slots": int,
    "server": str,
    "started_ms": int,
}


def encode_entry(entry: MemberEntry) -> dict[str, Any]:
    """Return the content of the stored object."""
    return {
        "host": entry.address[0],
        "port": entry.address[1],
        "zone": entry.zone,
        "service": entry.service,
        "state": entry.state.value,
        "slots": entry.slots,
        "server": entry.server,
        "started_ms": entry.started_ms,
    }


def decode_entry(value: Any) -> Result[MemberEntry, StepError]:
    """Return the entry, or an error for content that an agent did not write."""
    if not isinstance(value, dict):
        return Err(StepError("read member", "store", "expected an object"))
    for name, kind in _FIELDS.items():
        if type(value.get(name)) is not kind:
            return Err(
                StepError("read member", "store", f"{name} is missing or of wrong type")
            )
    try:
        state = ServerState(value["state"])
    except ValueError:
        return Err(StepError("read member", "store", "unknown server state"))
    address = (value["host"], value["port"])
    return Ok(
        MemberEntry(
            address,
            value["zone"],
            value["service"],
            state,
            value["slots"],
            value["server"],
            value["started_ms"],
        )
    )
