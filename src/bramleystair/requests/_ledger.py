"""The agent's ledger: which requests ran, run, or can never run."""

import hashlib
import random

import xxhash

from bramleystair.actions import Count, Send
from bramleystair.flows import DrainRequested, MessageArrived, Tick, ViewChanged
from bramleystair.requests._admission import Admission
from bramleystair.requests._entries import Entry, EntryStore, State, Waiter
from bramleystair.requests._events import (
    BackendFailed,
    BackendResponded,
    BackendShed,
    CancelBackendRequest,
    LedgerAction,
    LedgerEvent,
    StartBackendRequest,
    StopRequested,
)
from bramleystair.requests._settings import LedgerSettings
from bramleystair.requests._tickets import KeyRing, Ticket, parse_ticket
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


# The backend server keeps the deadline itself; this covers its answer to a miss.
DEADLINE_GRACE_S = 0.5


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
        self.admission = Admission(server, settings)
        self.entries = EntryStore(settings.max_kept_bytes)

    def handle(self, event: LedgerEvent, now: float) -> list[LedgerAction]:
        """Take one event and return the actions that it causes."""
        self._rotate_keys(now)
        match event:
            case MessageArrived(peer, message):
                return self._handle_message(peer, message, now)
            case BackendResponded():
                return self._record_answer(event, now)
            case BackendShed():
                return self._record_shed(event, now)
            case BackendFailed():
                return self._record_failure(event, now)
            case ViewChanged(view):
                self.admission.set_view(view)
                return []
            case DrainRequested():
                self.admission.start_drain()
                return []
            case StopRequested():
                self.admission.start_drain()
                return self._stop_all(self.entries.list_running(), "stopping")
            case Tick():
                self.admission.drop_old_holds(now)
                self.entries.drop_expired(now, self.settings.retention_s)
                return self._stop_all(self.entries.pop_overdue(now), "deadline")
        return []

    def count_active(self) -> int:
        """Return the number of requests that run or are about to start."""
        return self.admission.count_active()

    def count_entries(self) -> int:
        """Return the number of entries."""
        return len(self.entries)

    def list_loads(self, now: float) -> tuple[ServiceLoad, ...]:
        """Return the present requests and limits by service."""
        return self.admission.list_loads(now)

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
        reason = self.admission.check(message.service_id, deadline_s, now)
        if reason:
            refusal = self._refuse(message, b"", reason, not_run=True)
            return [Send(peer, refusal), Count("requests_refused", reason)]
        expiry_s = now + self.settings.ticket_lifetime_s
        data = self.keys.issue(message.service_id, expiry_s)
        self.admission.hold(message.service_id, parse_ticket(data).ok().nonce, now)
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
        entry = self.entries.get(ticket.nonce)
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
        reason = self.admission.check_run(ticket, message, deadline_s, now)
        if reason:
            self._add(ticket, State.FENCED, reason, not_run=True)
            return self._reject(peer, message, reason, not_run=True)
        entry = self._add(ticket, State.RUNNING, "", not_run=False)
        entry.waiters = (Waiter(peer, message.request_id),)
        entry.is_at_backend = True
        entry.started_s = now
        entry.body_hash = xxhash.xxh3_64_intdigest(message.body)
        entry.load_at_start = self.admission.start(ticket.service_id)
        limit_s = now + deadline_s + DEADLINE_GRACE_S
        self.entries.set_limit(ticket.nonce, message.ticket, limit_s)
        start = StartBackendRequest(
            message.ticket,
            self.admission.get_service(ticket.service_id),
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
            case Run(), _ if _has_other_body(message, entry):
                return self._reject(peer, message, "body_mismatch", not_run=False)
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
        entry.waiters += (Waiter(peer, message.request_id),)
        actions = self._finish(message.ticket, entry)
        return [
            CancelBackendRequest(message.ticket, ticket.request_name),
            *actions,
            Count("requests_cancelled", "running"),
        ]

    def _record_answer(self, event: BackendResponded, now: float) -> list[LedgerAction]:
        entry = self._release(event.ticket, now, is_shed=False)
        if entry is None:
            return [Count("outcomes_dropped", "late")]
        entry.state = State.DONE
        entry.status = event.status
        entry.body = event.body
        entry.content_type = event.content_type
        entry.digest = hashlib.sha256(event.body).digest()
        nonce = parse_ticket(event.ticket).ok().nonce
        actions = self._finish(event.ticket, entry)
        dropped = self.entries.keep_response(nonce, entry)
        if dropped:
            actions.append(Count("responses_dropped", "kept_bytes", dropped))
        return [*actions, Count("requests_done", str(event.status))]

    def _record_shed(self, event: BackendShed, now: float) -> list[LedgerAction]:
        entry = self._release(event.ticket, now, is_shed=True)
        if entry is None:
            return [Count("outcomes_dropped", "late")]
        entry.state = State.FENCED
        entry.reason = event.reason
        entry.not_run = True
        return [
            *self._finish(event.ticket, entry, event.retry_after_s),
            Count("requests_refused", event.reason),
        ]

    def _record_failure(self, event: BackendFailed, now: float) -> list[LedgerAction]:
        entry = self._release(event.ticket, now, is_shed=False)
        if entry is None:
            return [Count("outcomes_dropped", "late")]
        return self._end_without_response(event.ticket, entry, event.reason)

    def _release(self, data: bytes, now: float, is_shed: bool) -> Entry | None:
        """Return the entry whose request has left the backend server.

        None when the outcome is reported twice or nobody waits for it any more.
        """
        entry = self.entries.get(parse_ticket(data).ok().nonce)
        if entry is None or not entry.is_at_backend:
            return None
        entry.is_at_backend = False
        self.admission.finish(entry, is_shed, now)
        if entry.state is State.RUNNING:
            return entry
        # A request that was cancelled while it waited for a slot has not run.
        entry.not_run = entry.not_run or is_shed
        return None

    def _stop_all(
        self, running: list[tuple[bytes, Entry]], reason: str
    ) -> list[LedgerAction]:
        actions = []
        for data, entry in running:
            name = parse_ticket(data).ok().request_name
            actions.append(CancelBackendRequest(data, name))
            actions += self._end_without_response(data, entry, reason)
        return actions

    def _end_without_response(
        self, data: bytes, entry: Entry, reason: str
    ) -> list[LedgerAction]:
        entry.state = State.DONE
        entry.reason = reason
        return [*self._finish(data, entry), Count("requests_unknown", reason)]

    def _finish(
        self, data: bytes, entry: Entry, retry_after_s: float = 0.0
    ) -> list[LedgerAction]:
        waiters, entry.waiters = entry.waiters, ()
        return [
            Send(waiter.peer, self._report(waiter, data, entry, retry_after_s))
            for waiter in waiters
        ]

    def _report(
        self, waiter: Waiter, data: bytes, entry: Entry, retry_after_s: float = 0.0
    ) -> Message:
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
            int(max(retry_after_s, self.settings.retry_after_s) * 1000),
        )

    def _reject(
        self, peer: str, message: Message, reason: str, not_run: bool
    ) -> list[LedgerAction]:
        refusal = self._refuse(message, message.ticket, reason, not_run)
        return [Send(peer, refusal), Count("requests_refused", reason)]

    def _refuse(
        self, message: Message, data: bytes, reason: str, not_run: bool
    ) -> Refused:
        retry_after_ms = int(self.settings.retry_after_s * 1000)
        return Refused(message.request_id, data, reason, not_run, retry_after_ms)

    def _add(self, ticket: Ticket, state: State, reason: str, not_run: bool) -> Entry:
        self.admission.drop_hold(ticket.nonce)
        entry = Entry(state, ticket.service_id, not_run, reason)
        until_s = ticket.expiry_s + self.settings.retention_s
        self.entries.add(ticket.nonce, entry, until_s)
        return entry

    def _rotate_keys(self, now: float) -> None:
        keep_s = self.settings.ticket_lifetime_s + self.settings.retention_s
        self.keys.rotate(now, self.settings.key_period_s, keep_s)


def _has_other_body(message: Run, entry: Entry) -> bool:
    if not entry.body_hash:
        return False
    return entry.body_hash != xxhash.xxh3_64_intdigest(message.body)
