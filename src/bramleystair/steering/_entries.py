"""Encoding of a member entry as an object in the store."""

import enum
import socket
from typing import Any

import attrs
from result import Err, Ok, Result

from bramleystair.documents import DECODE_ERRORS, MAX_PORT, read_int, read_text
from bramleystair.errors import StepError
from bramleystair.steering._types import MAX_SLOTS, Address, MemberEntry, ServerState

# First bytes of the addresses that may be a node's: neither "this network" nor
# multicast or reserved ones.
_NODE_PREFIXES = range(1, 224)


class EntryCondition(enum.StrEnum):
    """Condition of a member's entry that has changed in the store.

    `OTHER_PORT` is that of an entry which names another port than all nodes have.
    """

    READABLE = "readable"
    UNREADABLE = "unreadable"
    OTHER_PORT = "other_port"
    MISSING = "missing"


@attrs.frozen
class EntryChange:
    """Change of a member's entry in the store.

    Parameters
    ----------
    address : tuple of str and int
        Where the member's agent would be if the entry does not tell.
    epoch : int
        Epoch of the store; 0 if unknown.
    revision : int
        Revision of the entry, or store revision at which it was missing.
    """

    address: Address
    condition: EntryCondition
    epoch: int
    revision: int


def is_node_host(name: str) -> bool:
    """Return whether the name of an object may be the address of an agent."""
    try:
        return socket.inet_pton(socket.AF_INET, name)[0] in _NODE_PREFIXES
    except (OSError, ValueError):
        return False


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


def decode_entry(name: str, value: Any) -> Result[MemberEntry, StepError]:
    """Return the entry, or an error for content that an agent did not write.

    Parameters
    ----------
    name : str
        Name of the stored object, which is the host of its agent.
    """
    try:
        return Ok(_read_entry(name, value))
    except DECODE_ERRORS as error:
        return Err(StepError("read member", "store", repr(error)))


def condense_entry(name: str, value: Any) -> dict[str, Any]:
    """Return the content of an entry without what no agent writes.

    Raises one of `DECODE_ERRORS` for content that an agent did not write.
    """
    return encode_entry(_read_entry(name, value))


def _read_entry(name: str, value: Any) -> MemberEntry:
    host = read_text(value["host"], "host")
    socket.inet_pton(socket.AF_INET, host)
    if host != name:
        # It would replace the entry of the agent at that address.
        raise ValueError(f"host {host} is not the object's name")
    return MemberEntry(
        (host, read_int(value["port"], "port", 1, MAX_PORT)),
        read_text(value["zone"], "zone"),
        read_text(value["service"], "service"),
        ServerState(value["state"]),
        read_int(value["slots"], "slots", highest=MAX_SLOTS),
        read_text(value["server"], "server"),
        read_int(value["started_ms"], "started_ms"),
    )
