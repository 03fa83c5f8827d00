"""Request ledger of the agent: which requests have run, are running or cannot run."""

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
# The backend server enforces the deadline itself; the grace period leaves time for its
# deadline error to arrive.
DEADLINE_GRACE_S = 0.5


class RequestLedger:
    """Issue tickets for one backend server and run the request of each at most once.

    Parameters
    ----------
    server : str
        Name of the backend server.
    incarnation : int
        Incarnation of the agent.
    settings : LedgerSettings
        Limits and periods.
    rng : random.Random
        Generator of keys and nonces; `random.SystemRandom` outside tests.
    """

    def __init__(
        self,
        server: str,
        incarnation: int,
        settings: LedgerSettings,
        rng: random.Random,
    ) -> None:
        self.server = server
        self.incarnation = incarnation
        self.settings = settings
        self.keys = KeyRing(server, incarnation, rng)
        self.admission = Admission(server, settings)
        self.entries = EntryStore(settings.max_kept_bytes)

    def handle(self, event: LedgerEvent, now: float) -> list[LedgerAction]:
        """Process one event and return the resulting actions."""
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
                return self._cancel_running_requests(
                    self.entries.list_running(), "stopping"
                )
            case Tick():
                self.admission.release_expired_slots(now)
                self.entries.drop_expired(now, self.settings.retention_s)
                return self._cancel_running_requests(
                    self.entries.pop_overdue(now), "deadline"
                )
        return []

    def count_active(self) -> int:
        """Return the number of running requests and reserved slots."""
        return self.admission.count_active()

    def count_entries(self) -> int:
        """Return the number of ledger entries."""
        return len(self.entries)

    def list_loads(self, now: float) -> tuple[ServiceLoad, ...]:
        """Return the current requests and limits by service."""
        return self.admission.list_loads(now)

    def _handle_message(
        self, peer: str, message: Message, now: float
    ) -> list[LedgerAction]:
        match message:
            case Reserve():
                return self._issue_ticket(peer, message, now)
            case Run() | Fetch() | Cancel() | Fence():
                return self._handle_ticket_message(peer, message, now)
        return []

    def _issue_ticket(
        self, peer: str, message: Reserve, now: float
    ) -> list[LedgerAction]:
        deadline_s = message.deadline_ms / 1000
        reason = self.admission.check(message.service_id, deadline_s, now)
        if reason:
            refusal = self._build_refusal(message, b"", reason, not_run=True)
            return [Send(peer, refusal), Count("requests_refused", reason)]
        expiry_s = now + self.settings.ticket_lifetime_s
        ticket_bytes = self.keys.issue(message.service_id, expiry_s)
        self.admission.reserve_slot(
            message.service_id, parse_ticket(ticket_bytes).ok().nonce, now
        )
        return [
            Send(peer, Reserved(message.request_id, ticket_bytes)),
            Count("requests_reserved", ""),
        ]

    def _handle_ticket_message(
        self, peer: str, message: Run | Fetch | Cancel | Fence, now: float
    ) -> list[LedgerAction]:
        verified = self.keys.verify(message.ticket)
        if verified.is_err():
            reason = str(verified.err())
            return [
                Send(peer, self._build_refusal(message, message.ticket, reason, False)),
                Count("tickets_rejected", reason),
            ]
        ticket = verified.ok()
        entry = self.entries.get(ticket.nonce)
        if entry is None:
            return self._handle_unused_ticket(peer, message, ticket, now)
        return self._handle_known_ticket(peer, message, ticket, entry)

    def _handle_unused_ticket(
        self,
        peer: str,
        message: Run | Fetch | Cancel | Fence,
        ticket: Ticket,
        now: float,
    ) -> list[LedgerAction]:
        late_s = now - ticket.expiry_s
        if late_s >= self.settings.retention_s:
            # The entry may have expired, so whether the request ran is unknown.
            return self._reject(peer, message, "forgotten", not_run=False)
        if late_s >= 0:
            return self._reject(peer, message, "expired", not_run=True)
        match message:
            case Run():
                return self._start_request(peer, message, ticket, now)
            case Fetch():
                return self._reject(peer, message, "not_started", not_run=False)
            case Cancel():
                self._add_entry(ticket, State.CANCELLED, "cancelled", not_run=True)
                return self._reject(peer, message, "cancelled", not_run=True)
            case Fence():
                self._add_entry(ticket, State.FENCED, "fenced", not_run=True)
                return [
                    Send(peer, Fenced(message.request_id, message.ticket, True)),
                    Count("requests_fenced", "reserved"),
                ]
        return []

    def _start_request(
        self, peer: str, message: Run, ticket: Ticket, now: float
    ) -> list[LedgerAction]:
        deadline_s = min(message.deadline_ms / 1000, MAX_DEADLINE_S)
        reason = self.admission.check_run(ticket, message, deadline_s, now)
        if reason:
            self._add_entry(ticket, State.FENCED, reason, not_run=True)
            return self._reject(peer, message, reason, not_run=True)
        entry = self._add_entry(ticket, State.RUNNING, "", not_run=False)
        entry.waiters = (Waiter(peer, message.request_id),)
        entry.is_at_backend = True
        entry.started_s = now
        entry.body_hash = xxhash.xxh3_64_intdigest(message.body)
        entry.load_at_start = self.admission.start(ticket.service_id)
        limit_s = now + deadline_s + DEADLINE_GRACE_S
        self.entries.set_deadline(ticket.nonce, message.ticket, limit_s)
        start = StartBackendRequest(
            message.ticket,
            self.admission.get_service_name(ticket.service_id),
            ticket.request_name,
            message.body,
            message.content_type,
            deadline_s,
        )
        return [start, Count("requests_started", "")]

    def _handle_known_ticket(
        self,
        peer: str,
        message: Run | Fetch | Cancel | Fence,
        ticket: Ticket,
        entry: Entry,
    ) -> list[LedgerAction]:
        match message, entry.state:
            case Run(), _ if _has_different_body(message, entry):
                return self._reject(peer, message, "body_mismatch", not_run=False)
            case ((Run() | Fetch()), State.RUNNING):
                waiter = Waiter(peer, message.request_id)
                if waiter not in entry.waiters:
                    entry.waiters += (waiter,)
                return []
            case Cancel(), State.RUNNING:
                return self._cancel_running(peer, message, ticket, entry)
            case Cancel(), State.DONE:
                return self._reject(peer, message, "done", not_run=False)
            case Fence(), _:
                fenced = Fenced(message.request_id, message.ticket, entry.not_run)
                state = entry.state.name.lower()
                return [Send(peer, fenced), Count("requests_fenced", state)]
        waiter = Waiter(peer, message.request_id)
        return [Send(peer, self._build_outcome_message(waiter, message.ticket, entry))]

    def _cancel_running(
        self, peer: str, message: Cancel, ticket: Ticket, entry: Entry
    ) -> list[LedgerAction]:
        entry.state = State.CANCELLED
        entry.reason = "cancelled"
        entry.waiters += (Waiter(peer, message.request_id),)
        actions = self._notify_waiters(message.ticket, entry)
        return [
            CancelBackendRequest(message.ticket, ticket.request_name),
            *actions,
            Count("requests_cancelled", "running"),
        ]

    def _record_answer(self, event: BackendResponded, now: float) -> list[LedgerAction]:
        entry = self._complete_at_backend(event.ticket, now, is_shed=False)
        if entry is None:
            return [Count("outcomes_dropped", "late")]
        entry.state = State.DONE
        entry.status = event.status
        entry.body = event.body
        entry.content_type = event.content_type
        entry.digest = hashlib.sha256(event.body).digest()
        nonce = parse_ticket(event.ticket).ok().nonce
        actions = self._notify_waiters(event.ticket, entry)
        dropped = self.entries.keep_response(nonce, entry)
        if dropped:
            actions.append(Count("responses_dropped", "kept_bytes", dropped))
        return [*actions, Count("requests_done", str(event.status))]

    def _record_shed(self, event: BackendShed, now: float) -> list[LedgerAction]:
        entry = self._complete_at_backend(event.ticket, now, is_shed=True)
        if entry is None:
            return [Count("outcomes_dropped", "late")]
        entry.state = State.FENCED
        entry.reason = event.reason
        entry.not_run = True
        return [
            *self._notify_waiters(event.ticket, entry, event.retry_after_s),
            Count("requests_refused", event.reason),
        ]

    def _record_failure(self, event: BackendFailed, now: float) -> list[LedgerAction]:
        entry = self._complete_at_backend(event.ticket, now, is_shed=False)
        if entry is None:
            return [Count("outcomes_dropped", "late")]
        return self._end_without_response(event.ticket, entry, event.reason)

    def _complete_at_backend(
        self, ticket_bytes: bytes, now: float, is_shed: bool
    ) -> Entry | None:
        """Mark a request as no longer at the backend server and return its entry.

        Return None if the outcome was reported before, or if the request has already
        ended, for example by cancellation.
        """
        entry = self.entries.get(parse_ticket(ticket_bytes).ok().nonce)
        if entry is None or not entry.is_at_backend:
            return None
        entry.is_at_backend = False
        self.admission.finish(entry, is_shed, now)
        if entry.state is State.RUNNING:
            return entry
        # A request that was cancelled and then shed by the backend server has not run.
        entry.not_run = entry.not_run or is_shed
        return None

    def _cancel_running_requests(
        self, running: list[tuple[bytes, Entry]], reason: str
    ) -> list[LedgerAction]:
        actions = []
        for ticket_bytes, entry in running:
            name = parse_ticket(ticket_bytes).ok().request_name
            actions.append(CancelBackendRequest(ticket_bytes, name))
            actions += self._end_without_response(ticket_bytes, entry, reason)
        return actions

    def _end_without_response(
        self, ticket_bytes: bytes, entry: Entry, reason: str
    ) -> list[LedgerAction]:
        entry.state = State.DONE
        entry.reason = reason
        return [
            *self._notify_waiters(ticket_bytes, entry),
            Count("requests_unknown", reason),
        ]

    def _notify_waiters(
        self, ticket_bytes: bytes, entry: Entry, retry_after_s: float = 0.0
    ) -> list[LedgerAction]:
        waiters, entry.waiters = entry.waiters, ()
        return [
            Send(
                waiter.peer,
                self._build_outcome_message(waiter, ticket_bytes, entry, retry_after_s),
            )
            for waiter in waiters
        ]

    def _build_outcome_message(
        self,
        waiter: Waiter,
        ticket_bytes: bytes,
        entry: Entry,
        retry_after_s: float = 0.0,
    ) -> Message:
        if entry.state is State.DONE and not entry.reason:
            return Answer(
                waiter.request_id,
                ticket_bytes,
                entry.status,
                entry.body,
                len(entry.body),
                entry.digest,
                entry.content_type,
            )
        return Refused(
            waiter.request_id,
            ticket_bytes,
            entry.reason,
            entry.not_run,
            int(max(retry_after_s, self.settings.retry_after_s) * 1000),
        )

    def _reject(
        self, peer: str, message: Message, reason: str, not_run: bool
    ) -> list[LedgerAction]:
        refusal = self._build_refusal(message, message.ticket, reason, not_run)
        return [Send(peer, refusal), Count("requests_refused", reason)]

    def _build_refusal(
        self, message: Message, ticket_bytes: bytes, reason: str, not_run: bool
    ) -> Refused:
        retry_after_ms = int(self.settings.retry_after_s * 1000)
        return Refused(
            message.request_id, ticket_bytes, reason, not_run, retry_after_ms
        )

    def _add_entry(
        self, ticket: Ticket, state: State, reason: str, not_run: bool
    ) -> Entry:
        self.admission.release_slot(ticket.nonce)
        entry = Entry(state, ticket.service_id, not_run, reason)
        until_s = ticket.expiry_s + self.settings.retention_s
        self.entries.add(ticket.nonce, entry, until_s)
        return entry

    def _rotate_keys(self, now: float) -> None:
        keep_s = self.settings.ticket_lifetime_s + self.settings.retention_s
        self.keys.rotate(now, self.settings.key_period_s, keep_s)


def _has_different_body(message: Run, entry: Entry) -> bool:
    if not entry.body_hash:
        return False
    return entry.body_hash != xxhash.xxh3_64_intdigest(message.body)
