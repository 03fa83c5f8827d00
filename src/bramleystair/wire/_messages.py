"""Typed messages between the system's own processes."""

import attrs


@attrs.frozen
class Forward:
    """Carry a caller's packet to the home or owner of its flow."""

    service_id: int = 0
    table_version: int = 0
    flow: bytes = b""
    hops: int = 0
    place: bool = False
    packet: bytes = b""


@attrs.frozen
class PlaceReply:
    """Answer a forward that asked for placement."""

    service_id: int = 0
    flow: bytes = b""
    accepted: bool = False
    reason: str = ""


@attrs.frozen
class RedirectPut:
    """Register `owner` as the owner of flows at their home.

    The home returns the message without flows and with `is_reply` set.
    """

    service_id: int = 0
    flows: tuple[bytes, ...] = ()
    owner: str = ""
    sequence: int = 0
    is_reply: bool = False


@attrs.frozen
class RedirectDrop:
    """Remove redirects to `owner`."""

    service_id: int = 0
    flows: tuple[bytes, ...] = ()
    owner: str = ""


@attrs.frozen
class FlowQuery:
    """Ask a member whether it owns a flow or has a redirect for it."""

    service_id: int = 0
    flow: bytes = b""


@attrs.frozen
class FlowQueryReply:
    """Name the owner of a flow; empty when it is not known.

    `is_owner` is set when the sender holds the flow and it is established, as opposed
    to a redirect, an open placement or a flow that may be a repetition.
    """

    service_id: int = 0
    flow: bytes = b""
    owner: str = ""
    is_owner: bool = False


@attrs.frozen
class ServiceLoad:
    """Load and present limits of one member for one service."""

    service_id: int = 0
    flows: int = 0
    requests: int = 0
    flow_limit: int = 0
    request_limit: int = 0


@attrs.frozen
class LoadReport:
    """Report a member's loads to the other members of its services."""

    loads: tuple[ServiceLoad, ...] = ()


@attrs.frozen
class StoredObject:
    """Object of the platform with its version."""

    key: str = ""
    version: int = 0
    nonce: str = ""
    body: bytes = b""


@attrs.frozen
class VersionHeader:
    """Name a version of an object without its body."""

    key: str = ""
    version: int = 0


@attrs.frozen
class VersionHeaders:
    """Announce new versions to a peer."""

    headers: tuple[VersionHeader, ...] = ()
    hops: int = 0
    path: tuple[str, ...] = ()


@attrs.frozen
class Pull:
    """Ask a peer for the bodies of objects."""

    keys: tuple[str, ...] = ()


@attrs.frozen
class Objects:
    """Carry object bodies."""

    objects: tuple[StoredObject, ...] = ()


@attrs.frozen
class Digest:
    """Summarise the versions that the sender holds, one hash a bucket."""

    buckets: tuple[int, ...] = ()


@attrs.frozen
class BucketVersions:
    """List the versions held in the buckets that differ."""

    buckets: tuple[int, ...] = ()
    headers: tuple[VersionHeader, ...] = ()
    is_reply: bool = False


@attrs.frozen
class Heartbeat:
    """Report an agent's state, loads and versions to a balancer."""

    sequence: int = 0
    draining: bool = False
    digest: int = 0
    loads: tuple[ServiceLoad, ...] = ()
    services: tuple[str, ...] = ()


@attrs.frozen
class HeartbeatReply:
    """Answer a heartbeat with the versions that concern the agent."""

    sequence: int = 0
    headers: tuple[VersionHeader, ...] = ()


@attrs.frozen
class Reserve:
    """Ask an agent for a ticket."""

    request_id: int = 0
    service_id: int = 0
    deadline_ms: int = 0


@attrs.frozen
class Reserved:
    """Carry a new ticket."""

    request_id: int = 0
    ticket: bytes = b""


@attrs.frozen
class Refused:
    """Refuse a request; `not_run` only when it can never run."""

    request_id: int = 0
    ticket: bytes = b""
    reason: str = ""
    not_run: bool = False
    retry_after_ms: int = 0


@attrs.frozen
class Run:
    """Run the request that a ticket stands for."""

    request_id: int = 0
    ticket: bytes = b""
    body: bytes = b""
    deadline_ms: int = 0
    content_type: str = ""


@attrs.frozen
class Answer:
    """Carry the whole answer of a backend server."""

    request_id: int = 0
    ticket: bytes = b""
    status: int = 0
    body: bytes = b""
    length: int = 0
    digest: bytes = b""
    content_type: str = ""


@attrs.frozen
class Fetch:
    """Ask for the answer of an earlier run."""

    request_id: int = 0
    ticket: bytes = b""


@attrs.frozen
class Cancel:
    """Cancel a request."""

    request_id: int = 0
    ticket: bytes = b""


@attrs.frozen
class Fence:
    """Ask that a ticket can never run from now on."""

    request_id: int = 0
    ticket: bytes = b""


@attrs.frozen
class Fenced:
    """Confirm a fence; `not_run` when the ticket had not run before it."""

    request_id: int = 0
    ticket: bytes = b""
    not_run: bool = False


@attrs.frozen
class HandoverPart:
    """Carry a part of an agent's state during a planned upgrade."""

    server: str = ""
    incarnation: int = 0
    part: int = 0
    parts: int = 0
    data: bytes = b""


@attrs.frozen
class HandoverGet:
    """Ask for the state kept for a restarted agent."""

    server: str = ""


Message = (
    Forward
    | PlaceReply
    | RedirectPut
    | RedirectDrop
    | FlowQuery
    | FlowQueryReply
    | LoadReport
    | VersionHeaders
    | Pull
    | Objects
    | Digest
    | BucketVersions
    | Heartbeat
    | HeartbeatReply
    | Reserve
    | Reserved
    | Refused
    | Run
    | Answer
    | Fetch
    | Cancel
    | Fence
    | Fenced
    | HandoverPart
    | HandoverGet
)


@attrs.frozen
class Envelope:
    """A message with its sender and the sender's incarnation."""

    sender: str
    incarnation: int
    message: Message
