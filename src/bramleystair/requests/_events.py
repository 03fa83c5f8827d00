"""Events and actions of the request ledger and the dispatcher."""

import enum

import attrs

from bramleystair.actions import Count, Send
from bramleystair.flows import DrainRequested, MessageArrived, Tick, ViewChanged
from bramleystair.wire import ServiceLoad


class CallKind(enum.StrEnum):
    """Operation that a caller requests."""

    RESERVE = "reserve"
    PUT = "put"
    GET = "get"
    DELETE = "delete"
    POST = "post"


class Outcome(enum.StrEnum):
    """Execution status of a request that has no response."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@attrs.frozen
class BackendResponded:
    """The backend server responded to the request of `ticket`."""

    ticket: bytes
    status: int
    body: bytes
    content_type: str = ""


@attrs.frozen
class BackendShed:
    """The backend server shed the request of `ticket`; it was not run."""

    ticket: bytes
    retry_after_s: float = 0.0
    reason: str = "shed"


@attrs.frozen
class BackendFailed:
    """The request of `ticket` failed; the backend server may have run it."""

    ticket: bytes
    reason: str


@attrs.frozen
class StopRequested:
    """The agent stops: running requests are cancelled, with unknown outcome."""


@attrs.frozen
class StartBackendRequest:
    """Send a request to the backend server.

    Parameters
    ----------
    ticket : bytes
        Ticket under which the outcome is reported.
    service : str
        Name of the service.
    request_name : str
        Identifier of the request at the backend server.
    body : bytes
        Body of the request.
    content_type : str
        Media type of the body; empty if not given.
    deadline_s : float
        Remaining time for the request, in seconds.
    """

    ticket: bytes
    service: str
    request_name: str
    body: bytes
    content_type: str
    deadline_s: float


@attrs.frozen
class CancelBackendRequest:
    """Ask the backend server to cancel a request."""

    ticket: bytes
    request_name: str


@attrs.frozen
class CallArrived:
    """An HTTP call from a caller arrived.

    Parameters
    ----------
    call_id : int
        Identifier that the reply refers to.
    kind : CallKind
        Requested operation.
    service : str
        Name of the service, for calls without a ticket.
    ticket : bytes
        Ticket in the request URL, for calls with one.
    body : bytes
        Body of the request.
    content_type : str
        Media type of the body; empty if not given.
    is_idempotent : bool
        Whether the request may run more than once.
    deadline_s : float or None
        Time limit of the request, in seconds; None for the default.
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
    """The agent of `server` sent a load report."""

    server: str
    loads: tuple[ServiceLoad, ...]


@attrs.frozen
class Reply:
    """Send the final reply to a caller.

    Parameters
    ----------
    call_id : int
        Identifier of the call.
    status : int
        HTTP status.
    outcome : Outcome or None
        Execution status of a request without a response; None with a response.
    reason, step, peer : str
        Why, at which step and at which agent a request ended without a response.
    retry_after_s : float or None
        Time after which the caller may retry; sent as Retry-After.
    ticket : bytes
        Ticket of the request, if one was issued.
    body : bytes
        Response body of the backend server.
    content_type : str
        Media type of the response body; empty if not given.
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
