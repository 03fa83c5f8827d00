"""Typed messages between agents, balancers and the operator's client."""

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
    """Reply to a forward that requested placement of its flow."""

    service_id: int = 0
    flow: bytes = b""
    accepted: bool = False
    reason: str = ""


@attrs.frozen
class RedirectPut:
    """Register `owner` as the owner of flows at their home.

    The home replies with the same message, without flows and with `is_reply` set.
    """

    service_id: int = 0
    flows: tuple[bytes, ...] = ()
    owner: str = ""
    sequence: int = 0
    is_reply: bool = False


@attrs.frozen
class RedirectDrop:
    """Remove redirects of flows to `owner`."""

    service_id: int = 0
    flows: tuple[bytes, ...] = ()
    owner: str = ""


@attrs.frozen
class FlowQuery:
    """Query a member for the owner of a flow, which it may own or redirect."""

    service_id: int = 0
    flow: bytes = b""


@attrs.frozen
class FlowQueryReply:
    """Reply with the owner of a flow; `owner` is empty when unknown.

    `is_owner` is set when the sender owns the flow and the flow is established. It is
    not set for a redirect, a pending placement or a flow whose placement request may
    be a duplicate.
    """

    service_id: int = 0
    flow: bytes = b""
    owner: str = ""
    is_owner: bool = False


@attrs.frozen
class ServiceLoad:
    """Load and current limits of one member for one service."""

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
    """Object as stored on the platform, with its version."""

    key: str = ""
    version: int = 0
    nonce: str = ""
    body: bytes = b""


@attrs.frozen
class VersionHeader:
    """Key and version of an object, without its body."""

    key: str = ""
    version: int = 0


@attrs.frozen
class VersionHeaders:
    """Announce new versions of objects to a peer."""

    headers: tuple[VersionHeader, ...] = ()
    hops: int = 0
    path: tuple[str, ...] = ()


@attrs.frozen
class Pull:
    """Request the bodies of objects from a peer."""

    keys: tuple[str, ...] = ()


@attrs.frozen
class Objects:
    """Carry objects with their bodies."""

    objects: tuple[StoredObject, ...] = ()


@attrs.frozen
class Digest:
    """Summarise the versions that the sender holds, with one hash per bucket."""

    buckets: tuple[int, ...] = ()


@attrs.frozen
class BucketVersions:
    """List the versions held in the buckets whose hashes differ."""

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
    """Reply to a heartbeat with the versions of the objects that the agent needs."""

    sequence: int = 0
    headers: tuple[VersionHeader, ...] = ()


@attrs.frozen
class Reserve:
    """Request a ticket from an agent."""

    request_id: int = 0
    service_id: int = 0
    deadline_ms: int = 0


@attrs.frozen
class Reserved:
    """Reply to a reservation with a new ticket."""

    request_id: int = 0
    ticket: bytes = b""


@attrs.frozen
class Refused:
    """Refuse a request; `not_run` is set only when it can never run."""

    request_id: int = 0
    ticket: bytes = b""
    reason: str = ""
    not_run: bool = False
    retry_after_ms: int = 0


@attrs.frozen
class Run:
    """Run the request that a ticket was issued for."""

    request_id: int = 0
    ticket: bytes = b""
    body: bytes = b""
    deadline_ms: int = 0
    content_type: str = ""


@attrs.frozen
class Answer:
    """Carry the complete response of a backend server."""

    request_id: int = 0
    ticket: bytes = b""
    status: int = 0
    body: bytes = b""
    length: int = 0
    digest: bytes = b""
    content_type: str = ""


@attrs.frozen
class Fetch:
    """Request the response of an earlier run."""

    request_id: int = 0
    ticket: bytes = b""


@attrs.frozen
class Cancel:
    """Cancel a request."""

    request_id: int = 0
    ticket: bytes = b""


@attrs.frozen
class Fence:
    """Request that a ticket can no longer be run."""

    request_id: int = 0
    ticket: bytes = b""


@attrs.frozen
class Fenced:
    """Confirm a fence; `not_run` is set when the ticket had not run before."""

    request_id: int = 0
    ticket: bytes = b""
    not_run: bool = False


@attrs.frozen
class HandoverPart:
    """Carry one part of an agent's state during a planned upgrade."""

    server: str = ""
    incarnation: int = 0
    part: int = 0
    parts: int = 0
    data: bytes = b""


@attrs.frozen
class HandoverGet:
    """Request the state that was stored for a restarted agent."""

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
