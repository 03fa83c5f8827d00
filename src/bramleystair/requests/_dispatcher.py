"""The balancer's decisions about requests."""

import collections
import enum
import hashlib
import heapq
import itertools
import random

import attrs

from bramleystair.actions import Count, Send
from bramleystair.flows import MessageArrived, Tick, ViewChanged
from bramleystair.requests._budget import RetryBudget
from bramleystair.requests._events import (
    CallArrived,
    CallerDisconnected,
    CallKind,
    DispatcherAction,
    DispatcherEvent,
    LoadReported,
    Outcome,
    PeerDisconnected,
    Reply,
)
from bramleystair.requests._selection import Selector
from bramleystair.requests._settings import DispatcherSettings
from bramleystair.requests._tickets import parse_ticket
from bramleystair.views import View
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
)

# Names of the statuses that replies carry.
CREATED = 201
OK = 200
NOT_FOUND = 404
CONFLICT = 409
GONE = 410
TOO_LARGE = 413
TOO_MANY = 429
BAD_GATEWAY = 502
UNAVAILABLE = 503
TIMED_OUT = 504

NOT_RUN_STATUSES = {
    "cancelled": CONFLICT,
    "expired": GONE,
    "too_large": TOO_LARGE,
    "cap": TOO_MANY,
    "cold": TOO_MANY,
    "overload": TOO_MANY,
    "deadline": TIMED_OUT,
}
UNKNOWN_STATUSES = {
    "cancelled": CONFLICT,
    "done": CONFLICT,
    "body_mismatch": CONFLICT,
    "not_started": NOT_FOUND,
    "deadline": TIMED_OUT,
}
MAX_RESEND_FACTOR = 8
MAX_HANDED_OUT = 10_000
RETRY_AFTER_SPREAD = 3.0
# The fence must leave most of a short deadline to the request itself.
MAX_FENCE_SHARE = 0.25
MAX_DEADLINE_MS = 2**32 - 1


class Phase(enum.StrEnum):
    """What a pending call waits for."""

    WAIT = "wait"
    RESERVE = "reserve"
    RUN = "run"
    FENCE = "fence"
    FETCH = "fetch"
    CANCEL = "cancel"


@attrs.define(eq=False)
class Pending:
    """A call without a reply."""

    call: CallArrived
    service_id: int
    stop_s: float
    phase: Phase = Phase.WAIT
    peer: str = ""
    incarnation: int = 0
    request_id: int = 0
    ticket: bytes = b""
    due_s: float = 0.0
    times_sent: int = 0
    retries: int = 0
    tried: set[str] = attrs.field(factory=set)
    may_have_run: bool = False

    @property
    def may_choose(self) -> bool:
        """Return whether the call is free to go to any agent."""
        return self.call.kind in (CallKind.POST, CallKind.RESERVE)


class Dispatcher:
    """Carry callers' requests to agents and answers back.

    Parameters
    ----------
    settings : DispatcherSettings
        Times and budgets.
    source : random.Random
        Source of choices and jitter.
    """

    def __init__(self, settings: DispatcherSettings, source: random.Random) -> None:
        self._settings = settings
        self._source = source
        self._view = View()
        self._selector = Selector(source)
        self._budgets: dict[int, RetryBudget] = {}
        self._calls: dict[int, Pending] = {}
        self._attempts: dict[int, Pending] = {}
        self._due: list[tuple[float, int, Pending]] = []
        self._order = itertools.count()
        # Attempts whose ticket a caller holds; late copies must not cancel it.
        self._handed_out: collections.OrderedDict[int, None] = collections.OrderedDict()
        # A restarted balancer must not take answers to its predecessor's requests.
        self._request_ids = itertools.count(source.getrandbits(62))

    def handle(self, event: DispatcherEvent, now: float) -> list[DispatcherAction]:
        """Take one event and return the actions that it causes."""
        match event:
            case MessageArrived(sender, message):
                return self._handle_message(sender, message, now)
            case CallArrived():
                return self._accept(event, now)
            case CallerDisconnected(call_id):
                return self._abandon(call_id)
            case PeerDisconnected(peer):
                return self._handle_lost(peer, now)
            case LoadReported(server, loads):
                self._selector.set_loads(server, loads, now)
                return []
            case ViewChanged(view):
                return self._set_view(view, now)
            case Tick():
                return self._run_due(now)
        return []

    def count_pending(self) -> int:
        """Return the number of calls without a reply."""
        return len(self._calls)

    # Calls

    def _accept(self, event: CallArrived, now: float) -> list[DispatcherAction]:
        deadline_s = event.deadline_s or self._settings.default_deadline_s
        if event.kind in (CallKind.POST, CallKind.RESERVE):
            return self._accept_new(event, now, now + deadline_s)
        parsed = parse_ticket(event.ticket)
        if parsed.is_err():
            reply = Reply(
                event.call_id,
                NOT_FOUND,
                Outcome.UNKNOWN,
                str(parsed.err()),
                "read ticket",
            )
            return [reply, Count("requests_refused", reply.reason)]
        ticket = parsed.ok()
        pending = Pending(event, ticket.service_id, now + deadline_s)
        pending.peer = ticket.server
        pending.incarnation = ticket.incarnation
        pending.ticket = event.ticket
        self._calls[event.call_id] = pending
        fault = self._find_fault(pending)
        if fault:
            return self._end_unknown(pending, fault)
        match event.kind:
            case CallKind.PUT:
                return self._begin(pending, Phase.RUN, now)
            case CallKind.GET:
                return self._begin(pending, Phase.FETCH, now)
        return self._begin(pending, Phase.CANCEL, now)

    def _accept_new(
        self, event: CallArrived, now: float, stop_s: float
    ) -> list[DispatcherAction]:
        table = self._view.tables.get(event.service)
        if table is None:
            reply = Reply(
                event.call_id,
                NOT_FOUND,
                Outcome.NOT_RUN,
                "unknown_service",
                "choose agent",
            )
            return [reply, Count("requests_refused", reply.reason)]
        pending = Pending(event, table.service_id, stop_s)
        self._calls[event.call_id] = pending
        self._get_budget(pending).add_request(now)
        return self._choose(pending, now)

    def _choose(self, pending: Pending, now: float) -> list[DispatcherAction]:
        chosen = self._selector.choose(
            self._view, pending.service_id, pending.tried, now
        )
        if chosen.is_err():
            return self._end_refused(pending, chosen.err(), 0.0)
        candidate = chosen.ok()
        pending.peer = candidate.server
        pending.incarnation = candidate.incarnation
        pending.ticket = b""
        pending.tried.add(candidate.server)
        return self._begin(pending, Phase.RESERVE, now)

    def _begin(
        self, pending: Pending, phase: Phase, now: float
    ) -> list[DispatcherAction]:
        if phase is not Phase.FENCE and pending.request_id not in self._attempts:
            pending.request_id = next(self._request_ids)
            self._attempts[pending.request_id] = pending
            self._selector.add(pending.peer, pending.service_id)
        pending.phase = phase
        pending.times_sent = 0
        return self._send(pending, now)

    def _send(self, pending: Pending, now: float) -> list[DispatcherAction]:
        message = self._build_message(pending, now)
        factor = min(2**pending.times_sent, MAX_RESEND_FACTOR)
        pending.times_sent += 1
        self._schedule(pending, now + self._settings.resend_s * factor)
        return [Send(pending.peer, message)]

    def _build_message(self, pending: Pending, now: float) -> Message:
        left_s = max(pending.stop_s - now, 0.001)
        left_ms = min(max(1, int(left_s * 1000)), MAX_DEADLINE_MS)
        request_id, ticket = pending.request_id, pending.ticket
        match pending.phase:
            case Phase.RESERVE:
                # A caller with a ticket names the deadline when it sends the body.
                if pending.call.kind is CallKind.RESERVE:
                    left_ms = 0
                return Reserve(request_id, pending.service_id, left_ms)
            case Phase.RUN if pending.times_sent == 0:
                call = pending.call
                return Run(request_id, ticket, call.body, left_ms, call.content_type)
            case Phase.FENCE:
                return Fence(request_id, ticket)
            case Phase.CANCEL:
                return Cancel(request_id, ticket)
        return Fetch(request_id, ticket)

    # Answers of agents

    def _handle_message(
        self, sender: str, message: Message, now: float
    ) -> list[DispatcherAction]:
        pending = self._attempts.get(getattr(message, "request_id", 0))
        if pending is None or pending.peer != sender:
            return self._drop_late(sender, message)
        match message:
            case Reserved():
                return self._handle_reserved(pending, message, now)
            case Refused():
                return self._handle_refused(pending, message, now)
            case Answer():
                return self._handle_answer(pending, message)
            case Fenced():
                return self._handle_fenced(pending, message)
        return []

    def _drop_late(self, sender: str, message: Message) -> list[DispatcherAction]:
        count = Count("answers_dropped", "late")
        if isinstance(message, Reserved) and message.request_id not in self._handed_out:
            # Nobody will use the ticket, so the agent need not hold a place for it.
            return [Send(sender, Cancel(message.request_id, message.ticket)), count]
        return [count]

    def _handle_reserved(
        self, pending: Pending, message: Reserved, now: float
    ) -> list[DispatcherAction]:
        if pending.phase is not Phase.RESERVE:
            if message.ticket == pending.ticket:
                return [Count("answers_dropped", "duplicate")]
            return self._drop_late(pending.peer, message)
        ticket = parse_ticket(message.ticket).unwrap_or(None)
        if ticket is None or ticket.server != pending.peer:
            return [Count("answers_dropped", "mismatched")]
        pending.ticket = message.ticket
        pending.incarnation = ticket.incarnation
        if pending.call.kind is CallKind.POST:
            return self._begin(pending, Phase.RUN, now)
        self._handed_out[pending.request_id] = None
        if len(self._handed_out) > MAX_HANDED_OUT:
            self._handed_out.popitem(last=False)
        return self._end(pending, CREATED, None, "", None)

    def _handle_refused(
        self, pending: Pending, message: Refused, now: float
    ) -> list[DispatcherAction]:
        if message.ticket != pending.ticket:
            return [Count("answers_dropped", "mismatched")]
        retry_after_s = message.retry_after_ms / 1000
        match pending.phase:
            case Phase.RESERVE:
                return self._retry(pending, message.reason, retry_after_s, now)
            case Phase.RUN if message.reason == "not_started":
                return self._begin(pending, Phase.RUN, now)
            case Phase.FENCE if message.reason == "not_started":
                return [Count("answers_dropped", "crossed")]
            case Phase.CANCEL if message.reason == "cancelled":
                outcome = Outcome.NOT_RUN if message.not_run else Outcome.UNKNOWN
                return self._end(pending, OK, outcome, "cancelled", None)
        if message.not_run:
            return self._retry(pending, message.reason, retry_after_s, now)
        if pending.call.is_idempotent:
            pending.may_have_run = True
            return self._retry(pending, message.reason, retry_after_s, now)
        return self._end_unknown(pending, message.reason)

    def _handle_answer(
        self, pending: Pending, message: Answer
    ) -> list[DispatcherAction]:
        if message.ticket != pending.ticket or not pending.ticket:
            return [Count("answers_dropped", "mismatched")]
        if message.length != len(message.body):
            return [Count("answers_dropped", "truncated")]
        if hashlib.sha256(message.body).digest() != message.digest:
            return [Count("answers_dropped", "corrupt")]
        reply = Reply(
            pending.call.call_id,
            message.status,
            ticket=pending.ticket,
            body=message.body,
            content_type=message.content_type,
        )
        self._forget(pending)
        return [reply, Count("requests_answered", str(message.status))]

    def _handle_fenced(
        self, pending: Pending, message: Fenced
    ) -> list[DispatcherAction]:
        if message.ticket != pending.ticket or not pending.ticket:
            return [Count("answers_dropped", "mismatched")]
        if pending.phase is not Phase.FENCE or not message.not_run:
            # It runs; the response may still come before the deadline.
            return []
        return self._end_refused(pending, "deadline", 0.0)

    # Time, faults and callers that leave

    def _run_due(self, now: float) -> list[DispatcherAction]:
        actions = []
        while self._due and self._due[0][0] <= now:
            due_s, _, pending = heapq.heappop(self._due)
            is_current = self._calls.get(pending.call.call_id) is pending
            if is_current and pending.due_s == due_s:
                actions += self._advance(pending, now)
        return actions

    def _advance(self, pending: Pending, now: float) -> list[DispatcherAction]:
        if now >= pending.stop_s:
            return self._give_up(pending)
        if now >= self._get_fence_time(pending) and pending.phase is Phase.RUN:
            return self._begin(pending, Phase.FENCE, now)
        if pending.phase is Phase.WAIT:
            return self._choose(pending, now)
        is_exhausted = pending.times_sent >= self._settings.reserve_attempts
        if pending.phase is Phase.RESERVE and is_exhausted:
            return self._retry(pending, "no_answer", 0.0, now)
        resent = Count("messages_resent", str(pending.phase))
        return [*self._send(pending, now), resent]

    def _give_up(self, pending: Pending) -> list[DispatcherAction]:
        if pending.phase in (Phase.WAIT, Phase.RESERVE):
            return self._end_refused(pending, "deadline", 0.0)
        actions = self._cancel(pending)
        return actions + self._end_unknown(pending, "deadline")

    def _cancel(self, pending: Pending) -> list[DispatcherAction]:
        """Cancel a request whose ticket no caller holds."""
        if not pending.may_choose or not pending.ticket:
            return []
        return [Send(pending.peer, Cancel(pending.request_id, pending.ticket))]

    def _abandon(self, call_id: int) -> list[DispatcherAction]:
        pending = self._calls.get(call_id)
        if pending is None:
            return []
        actions = self._cancel(pending)
        self._forget(pending)
        return [*actions, Count("callers_gone", str(pending.phase))]

    def _handle_lost(self, peer: str, now: float) -> list[DispatcherAction]:
        actions = []
        for pending in [p for p in self._attempts.values() if p.peer == peer]:
            if pending.phase is Phase.RESERVE:
                actions += self._retry(pending, "connection_lost", 0.0, now)
                continue
            # Each failed attempt to connect reports a loss, so most are due already.
            if pending.due_s > now + self._settings.resend_s:
                delay_s = self._source.uniform(0, self._settings.resend_s)
                self._schedule(pending, now + delay_s)
        return actions

    def _set_view(self, view: View, now: float) -> list[DispatcherAction]:
        self._view = view
        actions = []
        for pending in list(self._attempts.values()):
            fault = self._find_fault(pending)
            if fault:
                actions += self._handle_fault(pending, fault, now)
        return actions

    def _handle_fault(
        self, pending: Pending, fault: str, now: float
    ) -> list[DispatcherAction]:
        if pending.phase is Phase.RESERVE:
            return self._retry(pending, fault, 0.0, now)
        if pending.call.is_idempotent and pending.phase is Phase.RUN:
            pending.may_have_run = True
            return self._retry(pending, fault, 0.0, now)
        return self._end_unknown(pending, fault)

    def _find_fault(self, pending: Pending) -> str:
        """Return why the agent of a call can't answer; empty if it can."""
        agent = self._view.agents.get(pending.peer)
        if agent is None:
            return "agent_unknown"
        if agent.incarnation > pending.incarnation:
            return "incarnation_gone"
        if (pending.peer, pending.incarnation) in self._view.down:
            return "agent_down"
        table = self._view.tables_by_id.get(pending.service_id)
        member = table.get_member(pending.peer) if table else None
        zones = {agent.zone, member.zone} if member else {agent.zone}
        is_in_service = all(self._view.is_in_service(zone) for zone in zones)
        return "" if is_in_service else "zone_out"

    # Retries and replies

    def _retry(
        self, pending: Pending, reason: str, retry_after_s: float, now: float
    ) -> list[DispatcherAction]:
        """Try another agent unless something forbids it; else reply."""
        limit_s = self._settings.backoff_s * 2**pending.retries
        delay_s = self._source.uniform(0, min(limit_s, self._settings.backoff_max_s))
        obstacle = self._find_retry_obstacle(pending, now + delay_s, now)
        if obstacle:
            actions = self._end_refused(pending, reason, retry_after_s)
            return [*actions, Count("retries_refused", obstacle)]
        self._end_attempt(pending)
        pending.phase = Phase.WAIT
        pending.retries += 1
        self._schedule(pending, now + delay_s)
        return [Count("requests_retried", reason)]

    def _find_retry_obstacle(self, pending: Pending, retry_s: float, now: float) -> str:
        if not pending.may_choose or pending.phase is Phase.FENCE:
            return "final"
        if retry_s >= self._get_fence_time(pending):
            return "deadline"
        candidates = self._view.list_candidates(pending.service_id)
        if all(item.server in pending.tried for item in candidates):
            return "no_candidate"
        if not self._get_budget(pending).try_acquire_retry(now):
            return "budget"
        return ""

    def _end_refused(
        self, pending: Pending, reason: str, retry_after_s: float
    ) -> list[DispatcherAction]:
        if pending.may_have_run:
            return self._end_unknown(pending, reason)
        status = NOT_RUN_STATUSES.get(reason, UNAVAILABLE)
        retry_after_s = retry_after_s or self._settings.retry_after_s
        # Callers that were refused together must not return together.
        retry_after_s *= self._source.uniform(1.0, RETRY_AFTER_SPREAD)
        return self._end(pending, status, Outcome.NOT_RUN, reason, retry_after_s)

    def _end_unknown(self, pending: Pending, reason: str) -> list[DispatcherAction]:
        status = UNKNOWN_STATUSES.get(reason, BAD_GATEWAY)
        retry_after_s = self._settings.retry_after_s
        return self._end(pending, status, Outcome.UNKNOWN, reason, retry_after_s)

    def _end(
        self,
        pending: Pending,
        status: int,
        outcome: Outcome | None,
        reason: str,
        retry_after_s: float | None,
    ) -> list[DispatcherAction]:
        reply = Reply(
            pending.call.call_id,
            status,
            outcome,
            reason,
            str(pending.phase),
            pending.peer,
            retry_after_s,
            pending.ticket,
        )
        self._forget(pending)
        is_query = pending.call.kind in (CallKind.GET, CallKind.DELETE)
        subject = "queries" if is_query else "requests"
        return [reply, Count(f"{subject}_{outcome or 'reserved'}", reason)]

    def _forget(self, pending: Pending) -> None:
        self._end_attempt(pending)
        del self._calls[pending.call.call_id]

    def _end_attempt(self, pending: Pending) -> None:
        if self._attempts.pop(pending.request_id, None) is not None:
            self._selector.remove(pending.peer, pending.service_id)

    def _get_budget(self, pending: Pending) -> RetryBudget:
        budget = self._budgets.get(pending.service_id)
        if budget is None:
            settings = self._settings
            budget = RetryBudget(settings.retry_fraction, settings.retry_window_s)
            self._budgets[pending.service_id] = budget
        return budget

    def _get_fence_time(self, pending: Pending) -> float:
        if not pending.may_choose:
            return pending.stop_s
        total_s = pending.call.deadline_s or self._settings.default_deadline_s
        lead_s = min(self._settings.fence_lead_s, total_s * MAX_FENCE_SHARE)
        return pending.stop_s - lead_s

    def _schedule(self, pending: Pending, due_s: float) -> None:
        limit_s = pending.stop_s
        if pending.phase is Phase.RUN:
            limit_s = self._get_fence_time(pending)
        pending.due_s = min(due_s, limit_s)
        heapq.heappush(self._due, (pending.due_s, next(self._order), pending))
