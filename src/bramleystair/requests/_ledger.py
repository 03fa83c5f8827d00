"""The agent's ledger: which requests ran, run, or can never run."""

import collections
import enum
import hashlib
import heapq
import random

import attrs
from result import Err, Ok, Result

from bramleystair.actions import Count, Send
from bramleystair.flows import DrainRequested, MessageArrived, Tick, ViewChanged
from bramleystair.requests._admission import Admission
from bramleystair.requests._events import (
    BackendAnswered,
    BackendFailed,
    BackendShed,
    CancelBackend,
    LedgerAction,
    LedgerEvent,
    StartBackend,
)
from bramleystair.requests._settings import LedgerSettings
from bramleystair.requests._tickets import KeyRing, Ticket, TicketFault
from bramleystair.wire import (
    Answer,
    Cancel,
    Fence,
    Fenced,
    Fetch,
    Message,
    Refused,
    Reserve,
    Reserved,
    Run,
    ServiceLoad,
)

MAX_DEADLINE_S = 3600.0


class State(enum.IntEnum):
    """State of an entry; a valid ticket without an entry is reserved."""

    RUNNING = 1
    DONE = 2
    FENCED = 3
    CANCELLED = 4


@attrs.frozen
class Waiter:
    """A balancer that waits for the outcome of a request."""

    peer: str
    request_id: int


@attrs.define
class Entry:
    """What the ledger holds of one request."""

    state: State
    service_id: int
    expiry_s: float
    not_run: bool = False
    reason: str = ""
    is_at_backend: bool = False
    started_s: float = 0.0
    waiters: tuple[Waiter, ...] = ()
    status: int = 0
    body: bytes = b""
    content_type: str = ""
    digest: bytes = b""


class RequestLedger:
    """Decide on tickets and runs of one backend server.

    Parameters
    ----------
    server : str
        Name of the backend server.
    incarnation : int
        Lifetime of the agent.
    settings : LedgerSettings
        Lifetimes and limits.
    source : random.Random
        Source of keys and nonces; `random.SystemRandom` outside tests.
    """

    def __init__(
        self,
        server: str,
        incarnation: int,
        settings: LedgerSettings,
        source: random.Random,
    ) -> None:
        self.server = server
        self.incarnation = incarnation
        self.settings = settings
        self.keys = KeyRing(server, incarnation, source)
        self._admission = Admission(server, settings)
        self._entries: dict[bytes, Entry] = {}
        self._expiries: list[tuple[float, bytes]] = []

    def handle(self, event: LedgerEvent, now: float) -> list[LedgerAction]:
        """Take one event and return the actions that it causes."""
        self._rotate_keys(now)
        match event:
            case MessageArrived(peer, message):
                return self._handle_message(peer, message, now)
            case BackendAnswered():
                return self._record_answer(event, now)
            case BackendShed():
                return self._record_shed(event, now)
            case BackendFailed():
                return self._record_failure(event, now)
            case ViewChanged(view):
                self._admission.set_view(view)
                return []
            case DrainRequested():
                self._admission.start_drain()
                return []
            case Tick():
                self._drop_expired(now)
                return []
        return []

    def count_running(self) -> int:
        """Return the number of requests at the backend server."""
        return self._admission.count_running()

    def count_entries(self) -> int:
        """Return the number of entries."""
        return len(self._entries)

    def list_loads(self, now: float) -> tuple[ServiceLoad, ...]:
        """Return the present requests and limits by service."""
        return self._admission.list_loads(now)

    def _handle_message(
        self, peer: str, message: Message, now: float
    ) -> list[LedgerAction]:
        match message:
            case Reserve():
                return self._reserve(peer, message, now)
            case Run() | Fetch() | Cancel() | Fence():
                return self._handle_ticket(peer, message, now)
        return []

    def _reserve(self, peer: str, message: Reserve, now: float) -> list[LedgerAction]:
        deadline_s = message.deadline_ms / 1000
        reason = self._admission.check(message.service_id, deadline_s, now)
        if reason:
            refusal = self._refuse(message, b"", reason, not_run=True)
            return [Send(peer, refusal), Count("requests_refused", reason)]
        expiry_s = now + self.settings.ticket_lifetime_s
        data = self.keys.issue(message.service_id, expiry_s)
        self._admission.hold(message.service_id, data, now)
        return [
            Send(peer, Reserved(message.request_id, data)),
            Count("requests_reserved", ""),
        ]

    def _handle_ticket(
        self, peer: str, message: Run | Fetch | Cancel | Fence, now: float
    ) -> list[LedgerAction]:
        verified = self.keys.verify(message.ticket)
        if verified.is_err():
            reason = str(verified.err())
            return [
                Send(peer, self._refuse(message, message.ticket, reason, False)),
                Count("tickets_rejected", reason),
            ]
        ticket = verified.ok()
        entry = self._entries.get(ticket.nonce)
        if entry is None:
            return self._handle_reserved(peer, message, ticket, now)
        return self._handle_entry(peer, message, ticket, entry)

    def _handle_reserved(
        self,
        peer: str,
        message: Run | Fetch | Cancel | Fence,
        ticket: Ticket,
        now: float,
    ) -> list[LedgerAction]:
        late_s = now - ticket.expiry_s
        if late_s >= self.settings.retention_s:
            # The entry may have been dropped, so nothing is known any more.
            return self._reject(peer, message, "forgotten", not_run=False)
        if late_s >= 0:
            return self._reject(peer, message, "expired", not_run=True)
        match message:
            case Run():
                return self._start(peer, message, ticket, now)
            case Fetch():
                return self._reject(peer, message, "not_started", not_run=False)
            case Cancel():
                self._add(ticket, State.CANCELLED, "cancelled", not_run=True)
                return self._reject(peer, message, "cancelled", not_run=True)
            case Fence():
                self._add(ticket, State.FENCED, "fenced", not_run=True)
                return [
                    Send(peer, Fenced(message.request_id, message.ticket, True)),
                    Count("requests_fenced", "reserved"),
                ]
        return []

    def _start(
        self, peer: str, message: Run, ticket: Ticket, now: float
    ) -> list[LedgerAction]:
        deadline_s = min(message.deadline_ms / 1000, MAX_DEADLINE_S)
        reason = self._admission.check_run(ticket, message, deadline_s, now)
        if reason:
            self._add(ticket, State.FENCED, reason, not_run=True)
            return self._reject(peer, message, reason, not_run=True)
        entry = self._add(ticket, State.RUNNING, "", not_run=False)
        entry.waiters = (Waiter(peer, message.request_id),)
        entry.is_at_backend = True
        entry.started_s = now
        self._admission.start(ticket.service_id)
        start = StartBackend(
            message.ticket,
            self._admission.get_service(ticket.service_id),
            ticket.request_name,
            message.body,
            message.content_type,
            deadline_s,
        )
        return [start, Count("requests_started", "")]

    def _handle_entry(
        self,
        peer: str,
        message: Run | Fetch | Cancel | Fence,
        ticket: Ticket,
        entry: Entry,
    ) -> list[LedgerAction]:
        match message, entry.state:
            case ((Run() | Fetch()), State.RUNNING):
                waiter = Waiter(peer, message.request_id)
                if waiter not in entry.waiters:
                    entry.waiters += (waiter,)
                return []
            case Cancel(), State.RUNNING:
                return self._cancel(peer, message, ticket, entry)
            case Cancel(), State.DONE:
                return self._reject(peer, message, "done", not_run=False)
            case Fence(), _:
                fenced = Fenced(message.request_id, message.ticket, entry.not_run)
                state = entry.state.name.lower()
                return [Send(peer, fenced), Count("requests_fenced", state)]
        waiter = Waiter(peer, message.request_id)
        return [Send(peer, self._report(waiter, message.ticket, entry))]

    def _cancel(
        self, peer: str, message: Cancel, ticket: Ticket, entry: Entry
    ) -> list[LedgerAction]:
        entry.state = State.CANCELLED
        entry.reason = "cancelled"
        waiters = (*entry.waiters, Waiter(peer, message.request_id))
        actions = self._tell(waiters, message.ticket, entry)
        entry.waiters = ()
        return [
            CancelBackend(message.ticket, ticket.request_name),
            *actions,
            Count("requests_cancelled", "running"),
        ]

    def _record_answer(self, event: BackendAnswered, now: float) -> list[LedgerAction]:
        entry = self._release(event.ticket, now).ok()
        if entry is None:
            return [Count("outcomes_dropped", "late")]
        entry.state = State.DONE
        entry.status = event.status
        entry.body = event.body
        entry.content_type = event.content_type
        entry.digest = hashlib.sha256(event.body).digest()
        return [
            *self._finish(event.ticket, entry),
            Count("requests_done", str(event.status)),
        ]

    def _record_shed(self, event: BackendShed, now: float) -> list[LedgerAction]:
        entry = self._release(event.ticket, now).ok()
        if entry is None:
            return [Count("outcomes_dropped", "late")]
        entry.state = State.FENCED
        entry.reason = event.reason
        entry.not_run = True
        return [
            *self._finish(event.ticket, entry),
            Count("requests_refused", event.reason),
        ]

    def _record_failure(self, event: BackendFailed, now: float) -> list[LedgerAction]:
        entry = self._release(event.ticket, now).ok()
        if entry is None:
            return [Count("outcomes_dropped", "late")]
        entry.state = State.DONE
        entry.reason = event.reason
        return [
            *self._finish(event.ticket, entry),
            Count("requests_unknown", event.reason),
        ]

    def _release(self, data: bytes, now: float) -> Result[Entry, TicketFault]:
        """Return the entry whose request has left the backend server."""
        verified = self.keys.verify(data)
        if verified.is_err():
            return verified
        entry = self._entries.get(verified.ok().nonce)
        if entry is None or not entry.is_at_backend:
            return Err(TicketFault.MALFORMED)
        entry.is_at_backend = False
        self._admission.finish(entry.service_id)
        if entry.state is not State.RUNNING:
            return Err(TicketFault.MALFORMED)
        return Ok(entry)

    def _finish(self, data: bytes, entry: Entry) -> list[LedgerAction]:
        waiters, entry.waiters = entry.waiters, ()
        return self._tell(waiters, data, entry)

    def _tell(
        self, waiters: tuple[Waiter, ...], data: bytes, entry: Entry
    ) -> list[LedgerAction]:
        return [
            Send(waiter.peer, self._report(waiter, data, entry)) for waiter in waiters
        ]

    def _report(self, waiter: Waiter, data: bytes, entry: Entry) -> Message:
        if entry.state is State.DONE and not entry.reason:
            return Answer(
                waiter.request_id,
                data,
                entry.status,
                entry.body,
                len(entry.body),
                entry.digest,
                entry.content_type,
            )
        return Refused(
            waiter.request_id,
            data,
            entry.reason,
            entry.not_run,
            self._get_retry_after_ms(),
        )

    def _reject(
        self, peer: str, message: Message, reason: str, not_run: bool
    ) -> list[LedgerAction]:
        refusal = self._refuse(message, message.ticket, reason, not_run)
        return [Send(peer, refusal), Count("requests_refused", reason)]

    def _refuse(
        self, message: Message, data: bytes, reason: str, not_run: bool
    ) -> Refused:
        retry_after_ms = self._get_retry_after_ms()
        return Refused(message.request_id, data, reason, not_run, retry_after_ms)

    def _get_retry_after_ms(self) -> int:
        return int(self.settings.retry_after_s * 1000)

    def _add(self, ticket: Ticket, state: State, reason: str, not_run: bool) -> Entry:
        self._admission.drop_hold(ticket)
        entry = Entry(state, ticket.service_id, ticket.expiry_s, not_run, reason)
        self._entries[ticket.nonce] = entry
        due = ticket.expiry_s + self.settings.retention_s
        heapq.heappush(self._expiries, (due, ticket.nonce))
        return entry

    def _drop_expired(self, now: float) -> None:
        running = collections.deque()
        while self._expiries and self._expiries[0][0] <= now:
            _, nonce = heapq.heappop(self._expiries)
            if self._entries[nonce].is_at_backend:
                running.append(nonce)
                continue
            del self._entries[nonce]
        for nonce in running:
            due = now + self.settings.retention_s
            heapq.heappush(self._expiries, (due, nonce))

    def _rotate_keys(self, now: float) -> None:
        keep_s = self.settings.ticket_lifetime_s + self.settings.retention_s
        self.keys.rotate(now, self.settings.key_period_s, keep_s)
