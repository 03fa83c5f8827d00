"""Request path: tickets, the agent's request ledger and the balancer's dispatcher."""

from bramleystair.requests._budget import RetryBudget
from bramleystair.requests._dispatcher import Dispatcher
from bramleystair.requests._events import (
    BackendFailed,
    BackendResponded,
    BackendShed,
    CallArrived,
    CallerDisconnected,
    CallKind,
    CancelBackendRequest,
    DispatcherAction,
    DispatcherEvent,
    LedgerAction,
    LedgerEvent,
    LoadReported,
    Outcome,
    PeerDisconnected,
    Reply,
    StartBackendRequest,
    StopRequested,
)
from bramleystair.requests._export import export_ledger, import_ledger
from bramleystair.requests._ledger import RequestLedger
from bramleystair.requests._settings import DispatcherSettings, LedgerSettings
from bramleystair.requests._tickets import (
    KeyRing,
    Ticket,
    TicketError,
    decode_ticket,
    encode_ticket,
    parse_ticket,
)

__all__ = [
    "BackendFailed",
    "BackendResponded",
    "BackendShed",
    "CallArrived",
    "CallKind",
    "CallerDisconnected",
    "CancelBackendRequest",
    "Dispatcher",
    "DispatcherAction",
    "DispatcherEvent",
    "DispatcherSettings",
    "KeyRing",
    "LedgerAction",
    "LedgerEvent",
    "LedgerSettings",
    "LoadReported",
    "Outcome",
    "PeerDisconnected",
    "Reply",
    "RequestLedger",
    "RetryBudget",
    "StartBackendRequest",
    "StopRequested",
    "Ticket",
    "TicketError",
    "decode_ticket",
    "encode_ticket",
    "export_ledger",
    "import_ledger",
    "parse_ticket",
]
