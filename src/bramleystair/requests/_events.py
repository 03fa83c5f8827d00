"""Events and actions of the ledger and the dispatcher."""

import enum

import attrs

from bramleystair.actions import Count, Send
from bramleystair.flows import DrainRequested, MessageArrived, Tick, ViewChanged
from bramleystair.wire import ServiceLoad


class CallKind(enum.StrEnum):
    """What a caller asks for."""

    RESERVE = "reserve"
    PUT = "put"
    GET = "get"
    DELETE = "delete"
    POST = "post"


class Outcome(enum.StrEnum):
    """What is known of a request without a response."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@attrs.frozen
class BackendResponded:
    """The backend server finished the request of `ticket`."""

    ticket: bytes
    status: int
    body: bytes
    content_type: str = ""


@attrs.frozen
class BackendShed:
    """The backend server refused the request of `ticket` without running it."""

    ticket: bytes
    retry_after_s: float = 0.0
    reason: str = "shed"


@attrs.frozen
class BackendFailed:
    """The backend server may or may not have run the request of `ticket`."""

    ticket: bytes
    reason: str


@attrs.frozen
class StopRequested:
    """The agent stops: running requests are cancelled, their outcome is unknown."""


@attrs.frozen
class StartBackendRequest:
    """Run a request at the backend server.

    Parameters
    ----------
    ticket : bytes
        Ticket that the outcome is reported for.
    service : str
        Name of the service.
    request_name : str
        Name of the request at the backend server.
    body : bytes
        Body of the request.
    deadline_s : float
        Time left for the request, in seconds.
    """

    ticket: bytes
    service: str
    request_name: str
    body: bytes
    content_type: str
    deadline_s: float


@attrs.frozen
class CancelBackendRequest:
    """Cancel a request at the backend server."""

    ticket: bytes
    request_name: str


@attrs.frozen
class CallArrived:
    """A caller's HTTP call arrived.

    Parameters
    ----------
    call_id : int
        Number that the reply refers to.
    kind : CallKind
        What the caller asks for.
    service : str
        Name of the service, for calls without a ticket.
    ticket : bytes
        Ticket of the location, for calls with one.
    body : bytes
        Body of the request.
    is_idempotent : bool
        Whether the request may run more than once.
    deadline_s : float or None
        Time left for the request, in seconds; None for the default.
    """

    call_id: int
    kind: CallKind
    service: str = ""
    ticket: bytes = b""
    body: bytes = b""
    content_type: str = ""
    is_idempotent: bool = False
    deadline_s: float | None = None


@attrs.frozen
class CallerDisconnected:
    """The caller of `call_id` closed its connection."""

    call_id: int


@attrs.frozen
class PeerDisconnected:
    """The connection to the agent `peer` failed."""

    peer: str
    detail: str = ""


@attrs.frozen
class LoadReported:
    """The agent `server` reported its loads."""

    server: str
    loads: tuple[ServiceLoad, ...]


@attrs.frozen
class Reply:
    """Give a caller its final answer.

    Parameters
    ----------
    call_id : int
        Number of the call.
    status : int
        HTTP status.
    outcome : Outcome or None
        What is known of a request without a response; None with a response.
    reason, step, peer : str
        Why, where, and at which agent a request without a response ended.
    retry_after_s : float or None
        Time after which the caller may retry.
    ticket : bytes
        Ticket of the request, if one was issued.
    body : bytes
        Response of the backend server.
    """

    call_id: int
    status: int
    outcome: Outcome | None = None
    reason: str = ""
    step: str = ""
    peer: str = ""
    retry_after_s: float | None = None
    ticket: bytes = b""
    body: bytes = b""
    content_type: str = ""


LedgerEvent = (
    MessageArrived
    | BackendResponded
    | BackendShed
    | BackendFailed
    | ViewChanged
    | DrainRequested
    | StopRequested
    | Tick
)
LedgerAction = Send | StartBackendRequest | CancelBackendRequest | Count
DispatcherEvent = (
    CallArrived
    | CallerDisconnected
    | MessageArrived
    | PeerDisconnected
    | LoadReported
    | ViewChanged
    | Tick
)
DispatcherAction = Send | Reply | Count
