"""Tickets, the agent's ledger, the retry budget and the balancer's dispatcher."""

from bramleystair.requests._budget import RetryBudget
from bramleystair.requests._dispatcher import Dispatcher
from bramleystair.requests._events import (
    BackendAnswered,
    BackendFailed,
    BackendShed,
    Call,
    CallArrived,
    CallerGone,
    CancelBackend,
    DispatcherAction,
    DispatcherEvent,
    LedgerAction,
    LedgerEvent,
    LoadSeen,
    Outcome,
    PeerLost,
    Reply,
    StartBackend,
    StopRequested,
)
from bramleystair.requests._export import export_ledger, import_ledger
from bramleystair.requests._ledger import RequestLedger
from bramleystair.requests._settings import DispatcherSettings, LedgerSettings
from bramleystair.requests._tickets import (
    KeyRing,
    Ticket,
    TicketFault,
    format_ticket,
    parse_ticket,
    read_ticket,
)

__all__ = [
    "BackendAnswered",
    "BackendFailed",
    "BackendShed",
    "Call",
    "CallArrived",
    "CallerGone",
    "CancelBackend",
    "Dispatcher",
    "DispatcherAction",
    "DispatcherEvent",
    "DispatcherSettings",
    "KeyRing",
    "LedgerAction",
    "LedgerEvent",
    "LedgerSettings",
    "LoadSeen",
    "Outcome",
    "PeerLost",
    "Reply",
    "RequestLedger",
    "RetryBudget",
    "StartBackend",
    "StopRequested",
    "Ticket",
    "TicketFault",
    "export_ledger",
    "format_ticket",
    "import_ledger",
    "parse_ticket",
    "read_ticket",
]
