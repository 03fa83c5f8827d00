"""Serialised state of the flow controller for a planned upgrade."""

import struct

import attrs
import xxhash
from result import Err, Ok, Result

from bramleystair.errors import StepError

FORMAT_VERSION = 1
CHECKSUM_BYTES = 8

_HEADER = struct.Struct("!BdII")
_FLOW = struct.Struct("!QBBIII")
_REDIRECT = struct.Struct("!QBB")
ESTABLISHED, CALLER_FIN, SERVER_FIN = 1, 2, 4


@attrs.frozen
class SavedFlow:
    """An open flow; `flags` combines ESTABLISHED, CALLER_FIN and SERVER_FIN."""

    service_id: int
    flow: bytes
    flags: int
    caller_next: int
    caller_ack: int
    server_next: int


@attrs.frozen
class SavedRedirect:
    """A redirect to the owner of a flow."""

    service_id: int
    flow: bytes
    owner: str


@attrs.frozen
class SavedState:
    """State of a flow controller that is kept in a planned upgrade.

    Parameters
    ----------
    age_s : float
        Seconds since the cold start of the backend server.
    """

    age_s: float
    flows: tuple[SavedFlow, ...] = ()
    redirects: tuple[SavedRedirect, ...] = ()


def pack_state(state: SavedState) -> bytes:
    """Serialise `state` and append a checksum."""
    parts = [
        _HEADER.pack(
            FORMAT_VERSION, state.age_s, len(state.flows), len(state.redirects)
        )
    ]
    for saved in state.flows:
        numbers = (saved.caller_next, saved.caller_ack, saved.server_next)
        parts.append(
            _FLOW.pack(saved.service_id, len(saved.flow), saved.flags, *numbers)
        )
        parts.append(saved.flow)
    for saved in state.redirects:
        owner = saved.owner.encode()
        parts.append(_REDIRECT.pack(saved.service_id, len(saved.flow), len(owner)))
        parts += (saved.flow, owner)
    data = b"".join(parts)
    return data + xxhash.xxh64_digest(data)


def unpack_state(data: bytes) -> Result[SavedState, StepError]:
    """Deserialise `data`; fail if it is truncated, damaged or of another format."""
    body, checksum = data[:-CHECKSUM_BYTES], data[-CHECKSUM_BYTES:]
    if len(body) < _HEADER.size or xxhash.xxh64_digest(body) != checksum:
        return Err(StepError("import flows", "", "checksum mismatch in exported state"))
    version, age_s, flow_count, redirect_count = _HEADER.unpack_from(body)
    if version != FORMAT_VERSION:
        detail = f"unsupported format {version}, allowed is {FORMAT_VERSION}"
        return Err(StepError("import flows", "", detail))
    offset = _HEADER.size
    flows = []
    for _ in range(flow_count):
        service_id, size, flags, *numbers = _FLOW.unpack_from(body, offset)
        offset += _FLOW.size
        flows.append(
            SavedFlow(service_id, body[offset : offset + size], flags, *numbers)
        )
        offset += size
    redirects = []
    for _ in range(redirect_count):
        service_id, size, owner_size = _REDIRECT.unpack_from(body, offset)
        offset += _REDIRECT.size
        flow = body[offset : offset + size]
        owner = body[offset + size : offset + size + owner_size].decode()
        redirects.append(SavedRedirect(service_id, flow, owner))
        offset += size + owner_size
    return Ok(SavedState(age_s, tuple(flows), tuple(redirects)))
