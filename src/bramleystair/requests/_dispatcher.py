"""Dispatcher: forwards callers' requests from the balancer to agents."""

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
from bramleystair.requests._selection import AgentSelector
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

# HTTP statuses of replies.
CREATED = 201
OK = 200
NOT_FOUND = 404
CONFLICT = 409
GONE = 410
CONTENT_TOO_LARGE = 413
TOO_MANY_REQUESTS = 429
BAD_GATEWAY = 502
SERVICE_UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504

NOT_RUN_STATUS_BY_REASON = {
    "cancelled": CONFLICT,
    "expired": GONE,
    "too_large": CONTENT_TOO_LARGE,
    "cap": TOO_MANY_REQUESTS,
    "cold": TOO_MANY_REQUESTS,
    "overload": TOO_MANY_REQUESTS,
    "deadline": GATEWAY_TIMEOUT,
}
UNKNOWN_OUTCOME_STATUS_BY_REASON = {
    "cancelled": CONFLICT,
    "done": CONFLICT,
    "body_mismatch": CONFLICT,
    "not_started": NOT_FOUND,
    "deadline": GATEWAY_TIMEOUT,
}
MAX_RESEND_FACTOR = 8
MAX_DELIVERED_RESERVATIONS = 10_000
MAX_RETRY_AFTER_JITTER = 3.0
# The fence is sent `fence_lead_s` before the deadline, but at most this fraction of the
# total time before it, so that a request with a short deadline keeps most of its time.
MAX_FENCE_LEAD_FRACTION = 0.25
MAX_DEADLINE_MS = 2**32 - 1


class Phase(enum.StrEnum):
    """Protocol phase of a pending call.

    Each phase is named after the message sent, if any, and waits for:

    - WAIT: the end of the delay before the next agent is chosen
    - RESERVE: a ticket (`Reserved`) or a refusal of the agent
    - RUN: the response (`Answer`) or a refusal of the started request
    - FENCE: near the deadline, the confirmation that the request has not run and will
      not, or the response
    - FETCH: the response to a request that an earlier call started
    - CANCEL: the confirmation that the request is cancelled, or a refusal
    """

    WAIT = "wait"
    RESERVE = "reserve"
    RUN = "run"
    FENCE = "fence"
    FETCH = "fetch"
    CANCEL = "cancel"


@attrs.define(eq=False)
class PendingCall:
    """A call that has not been replied to.

    Parameters
    ----------
    peer, incarnation : str, int
        Server name and incarnation of the agent that the call was sent to.
    request_id : int
        Identifier of the current attempt in the messages to and from the agent.
    """

    call: CallArrived
    service_id: int
    deadline_at_s: float
    phase: Phase = Phase.WAIT
    peer: str = ""
    incarnation: int = 0
    request_id: int = 0
    ticket: bytes = b""
    due_at_s: float = 0.0
    send_count: int = 0
    retries: int = 0
    tried_servers: set[str] = attrs.field(factory=set)
    may_have_run: bool = False

    @property
    def can_choose_agent(self) -> bool:
        """Return whether any agent may serve the call, as it carries no ticket.

        Only such a call is retried at another agent, fenced before its deadline, and
        cancelled when it is abandoned: the ticket of any other call is known to a
        caller, who may still use it.
        """
        return self.call.kind in (CallKind.POST, CallKind.RESERVE)


class Dispatcher:
    """Forward callers' requests to agents and return their responses.

    Not thread-safe: threads that share a dispatcher have to hold a lock around each
    call of a method.

    Parameters
    ----------
    settings : DispatcherSettings
        Timeouts and retry limits.
    rng : random.Random
        Random number generator for agent selection and jitter.
    """

    def __init__(self, settings: DispatcherSettings, rng: random.Random) -> None:
        self._settings = settings
        self._rng = rng
        self._view = View()
        self._selector = AgentSelector(rng)
        self._budgets: dict[int, RetryBudget] = {}
        # All pending calls by call ID, and those with an open attempt at an agent by
        # request ID.
        self._calls: dict[int, PendingCall] = {}
        self._calls_by_request_id: dict[int, PendingCall] = {}
        self._timers: list[tuple[float, int, PendingCall]] = []
        self._sequence = itertools.count()
        # Request IDs of reservations whose ticket was given to a caller. A reservation
        # that arrives late is cancelled, except for these: it is a duplicate.
        self._delivered_reservations: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        # A random start keeps a restarted balancer from accepting answers to requests
        # that it sent before the restart.
        self._request_ids = itertools.count(rng.getrandbits(62))

    def handle(self, event: DispatcherEvent, now: float) -> list[DispatcherAction]:
        """Process one event and return the resulting actions.

        While calls are pending, a `Tick` has to come regularly: it triggers resends,
        retries and replies at the deadline. Each call gets one `Reply`, or none if the
        caller disconnects first.
        """
        match event:
            case MessageArrived(sender, message):
                return self._handle_message(sender, message, now)
            case CallArrived():
                return self._accept_call(event, now)
            case CallerDisconnected(call_id):
                return self._handle_caller_disconnected(call_id)
            case PeerDisconnected(peer):
                return self._handle_peer_disconnected(peer, now)
            case LoadReported(server, loads):
                self._selector.set_loads(server, loads, now)
                return []
            case ViewChanged(view):
                return self._set_view(view, now)
            case Tick():
                return self._run_due_timers(now)
        return []

    def count_pending(self) -> int:
        """Return the number of pending calls."""
        return len(self._calls)

    # Calls

    def _accept_call(self, event: CallArrived, now: float) -> list[DispatcherAction]:
        deadline_s = event.deadline_s or self._settings.default_deadline_s
        if event.kind in (CallKind.POST, CallKind.RESERVE):
            return self._accept_new_request(event, now, now + deadline_s)
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
        pending = PendingCall(event, ticket.service_id, now + deadline_s)
        pending.peer = ticket.server
        pending.incarnation = ticket.incarnation
        pending.ticket = event.ticket
        self._calls[event.call_id] = pending
        fault = self._find_agent_fault(pending)
        if fault:
            return self._reply_unknown(pending, fault)
        match event.kind:
            case CallKind.PUT:
                return self._start_phase(pending, Phase.RUN, now)
            case CallKind.GET:
                return self._start_phase(pending, Phase.FETCH, now)
        return self._start_phase(pending, Phase.CANCEL, now)

    def _accept_new_request(
        self, event: CallArrived, now: float, deadline_at_s: float
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
        pending = PendingCall(event, table.service_id, deadline_at_s)
        self._calls[event.call_id] = pending
        self._get_budget(pending).add_request(now)
        return self._choose_agent(pending, now)

    def _choose_agent(self, pending: PendingCall, now: float) -> list[DispatcherAction]:
        selected = self._selector.choose(
            self._view, pending.service_id, pending.tried_servers, now
        )
        if selected.is_err():
            return self._reply_not_run(pending, selected.err(), 0.0)
        candidate = selected.ok()
        pending.peer = candidate.server
        pending.incarnation = candidate.incarnation
        pending.ticket = b""
        pending.tried_servers.add(candidate.server)
        return self._start_phase(pending, Phase.RESERVE, now)

    def _start_phase(
        self, pending: PendingCall, phase: Phase, now: float
    ) -> list[DispatcherAction]:
        if (
            phase is not Phase.FENCE
            and pending.request_id not in self._calls_by_request_id
        ):
            pending.request_id = next(self._request_ids)
            self._calls_by_request_id[pending.request_id] = pending
            self._selector.add_request(pending.peer, pending.service_id)
        pending.phase = phase
        pending.send_count = 0
        return self._send_message(pending, now)

    def _send_message(self, pending: PendingCall, now: float) -> list[DispatcherAction]:
        message = self._build_message(pending, now)
        factor = min(2**pending.send_count, MAX_RESEND_FACTOR)
        pending.send_count += 1
        self._schedule(pending, now + self._settings.resend_s * factor)
        return [Send(pending.peer, message)]

    def _build_message(self, pending: PendingCall, now: float) -> Message:
        remaining_s = max(pending.deadline_at_s - now, 0.001)
        remaining_ms = min(max(1, int(remaining_s * 1000)), MAX_DEADLINE_MS)
        request_id, ticket = pending.request_id, pending.ticket
        match pending.phase:
            case Phase.RESERVE:
                # The caller specifies the deadline later, with the request body.
                if pending.call.kind is CallKind.RESERVE:
                    remaining_ms = 0
                return Reserve(request_id, pending.service_id, remaining_ms)
            case Phase.RUN if pending.send_count == 0:
                call = pending.call
                return Run(
                    request_id, ticket, call.body, remaining_ms, call.content_type
                )
            case Phase.FENCE:
                return Fence(request_id, ticket)
            case Phase.CANCEL:
                return Cancel(request_id, ticket)
        return Fetch(request_id, ticket)

    # Messages from agents

    def _handle_message(
        self, sender: str, message: Message, now: float
    ) -> list[DispatcherAction]:
        pending = self._calls_by_request_id.get(getattr(message, "request_id", 0))
        if pending is None or pending.peer != sender:
            return self._drop_late_message(sender, message)
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

    def _drop_late_message(
        self, sender: str, message: Message
    ) -> list[DispatcherAction]:
        count = Count("answers_dropped", "late")
        if (
            isinstance(message, Reserved)
            and message.request_id not in self._delivered_reservations
        ):
            # The ticket will not be used; let the agent release its slot.
            return [Send(sender, Cancel(message.request_id, message.ticket)), count]
        return [count]

    def _handle_reserved(
        self, pending: PendingCall, message: Reserved, now: float
    ) -> list[DispatcherAction]:
        if pending.phase is not Phase.RESERVE:
            if message.ticket == pending.ticket:
                return [Count("answers_dropped", "duplicate")]
            return self._drop_late_message(pending.peer, message)
        ticket = parse_ticket(message.ticket).unwrap_or(None)
        if ticket is None or ticket.server != pending.peer:
            return [Count("answers_dropped", "mismatched")]
        pending.ticket = message.ticket
        pending.incarnation = ticket.incarnation
        if pending.call.kind is CallKind.POST:
            return self._start_phase(pending, Phase.RUN, now)
        self._delivered_reservations[pending.request_id] = None
        if len(self._delivered_reservations) > MAX_DELIVERED_RESERVATIONS:
            self._delivered_reservations.popitem(last=False)
        return self._reply(pending, CREATED, None, "", None)

    def _handle_refused(
        self, pending: PendingCall, message: Refused, now: float
    ) -> list[DispatcherAction]:
        if message.ticket != pending.ticket:
            return [Count("answers_dropped", "mismatched")]
        retry_after_s = message.retry_after_ms / 1000
        match pending.phase:
            case Phase.RESERVE:
                return self._retry(pending, message.reason, retry_after_s, now)
            case Phase.RUN if message.reason == "not_started":
                return self._start_phase(pending, Phase.RUN, now)
            case Phase.FENCE if message.reason == "not_started":
                return [Count("answers_dropped", "crossed")]
            case Phase.CANCEL if message.reason == "cancelled":
                outcome = Outcome.NOT_RUN if message.not_run else Outcome.UNKNOWN
                return self._reply(pending, OK, outcome, "cancelled", None)
        if message.not_run:
            return self._retry(pending, message.reason, retry_after_s, now)
        if pending.call.is_idempotent:
            pending.may_have_run = True
            return self._retry(pending, message.reason, retry_after_s, now)
        return self._reply_unknown(pending, message.reason)

    def _handle_answer(
        self, pending: PendingCall, message: Answer
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
        self._remove_call(pending)
        return [reply, Count("requests_answered", str(message.status))]

    def _handle_fenced(
        self, pending: PendingCall, message: Fenced
    ) -> list[DispatcherAction]:
        if message.ticket != pending.ticket or not pending.ticket:
            return [Count("answers_dropped", "mismatched")]
        if pending.phase is not Phase.FENCE or not message.not_run:
            # The request is running; its response may still arrive before the deadline.
            return []
        return self._reply_not_run(pending, "deadline", 0.0)

    # Timeouts, failures and disconnected callers

    def _run_due_timers(self, now: float) -> list[DispatcherAction]:
        actions = []
        while self._timers and self._timers[0][0] <= now:
            due_at_s, _, pending = heapq.heappop(self._timers)
            is_current = self._calls.get(pending.call.call_id) is pending
            if is_current and pending.due_at_s == due_at_s:
                actions += self._handle_timeout(pending, now)
        return actions

    def _handle_timeout(
        self, pending: PendingCall, now: float
    ) -> list[DispatcherAction]:
        if now >= pending.deadline_at_s:
            return self._expire(pending)
        if now >= self._compute_fence_time(pending) and pending.phase is Phase.RUN:
            return self._start_phase(pending, Phase.FENCE, now)
        if pending.phase is Phase.WAIT:
            return self._choose_agent(pending, now)
        is_exhausted = pending.send_count >= self._settings.reserve_attempts
        if pending.phase is Phase.RESERVE and is_exhausted:
            return self._retry(pending, "no_answer", 0.0, now)
        resent = Count("messages_resent", str(pending.phase))
        return [*self._send_message(pending, now), resent]

    def _expire(self, pending: PendingCall) -> list[DispatcherAction]:
        if pending.phase in (Phase.WAIT, Phase.RESERVE):
            return self._reply_not_run(pending, "deadline", 0.0)
        actions = self._cancel_request(pending)
        return actions + self._reply_unknown(pending, "deadline")

    def _cancel_request(self, pending: PendingCall) -> list[DispatcherAction]:
        """Return the message that cancels the request of an abandoned call.

        There is none if the agent has issued no ticket, or if the ticket came from the
        caller, who may still use it.
        """
        if not pending.can_choose_agent or not pending.ticket:
            return []
        return [Send(pending.peer, Cancel(pending.request_id, pending.ticket))]

    def _handle_caller_disconnected(self, call_id: int) -> list[DispatcherAction]:
        pending = self._calls.get(call_id)
        if pending is None:
            return []
        actions = self._cancel_request(pending)
        self._remove_call(pending)
        return [*actions, Count("callers_gone", str(pending.phase))]

    def _handle_peer_disconnected(
        self, peer: str, now: float
    ) -> list[DispatcherAction]:
        actions = []
        for pending in [
            p for p in self._calls_by_request_id.values() if p.peer == peer
        ]:
            if pending.phase is Phase.RESERVE:
                actions += self._retry(pending, "connection_lost", 0.0, now)
                continue
            # A disconnect is reported after each failed connection attempt. Most calls
            # are therefore scheduled for an early resend already, and keep their time.
            if pending.due_at_s > now + self._settings.resend_s:
                delay_s = self._rng.uniform(0, self._settings.resend_s)
                self._schedule(pending, now + delay_s)
        return actions

    def _set_view(self, view: View, now: float) -> list[DispatcherAction]:
        self._view = view
        actions = []
        for pending in list(self._calls_by_request_id.values()):
            fault = self._find_agent_fault(pending)
            if fault:
                actions += self._handle_agent_fault(pending, fault, now)
        return actions

    def _handle_agent_fault(
        self, pending: PendingCall, fault: str, now: float
    ) -> list[DispatcherAction]:
        if pending.phase is Phase.RESERVE:
            return self._retry(pending, fault, 0.0, now)
        if pending.call.is_idempotent and pending.phase is Phase.RUN:
            pending.may_have_run = True
            return self._retry(pending, fault, 0.0, now)
        return self._reply_unknown(pending, fault)

    def _find_agent_fault(self, pending: PendingCall) -> str:
        """Return why the agent of a call cannot answer; empty if it can."""
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
        self, pending: PendingCall, reason: str, retry_after_s: float, now: float
    ) -> list[DispatcherAction]:
        """Schedule a retry with another agent, or reply if none is permitted."""
        limit_s = self._settings.backoff_s * 2**pending.retries
        delay_s = self._rng.uniform(0, min(limit_s, self._settings.backoff_max_s))
        blocker = self._find_retry_blocker(pending, now + delay_s, now)
        if blocker:
            actions = self._reply_not_run(pending, reason, retry_after_s)
            return [*actions, Count("retries_refused", blocker)]
        self._end_attempt(pending)
        pending.phase = Phase.WAIT
        pending.retries += 1
        self._schedule(pending, now + delay_s)
        return [Count("requests_retried", reason)]

    def _find_retry_blocker(
        self, pending: PendingCall, retry_at_s: float, now: float
    ) -> str:
        if not pending.can_choose_agent or pending.phase is Phase.FENCE:
            return "final"
        if retry_at_s >= self._compute_fence_time(pending):
            return "deadline"
        candidates = self._view.list_candidates(pending.service_id)
        if all(item.server in pending.tried_servers for item in candidates):
            return "no_candidate"
        if not self._get_budget(pending).try_acquire_retry(now):
            return "budget"
        return ""

    def _reply_not_run(
        self, pending: PendingCall, reason: str, retry_after_s: float
    ) -> list[DispatcherAction]:
        if pending.may_have_run:
            return self._reply_unknown(pending, reason)
        status = NOT_RUN_STATUS_BY_REASON.get(reason, SERVICE_UNAVAILABLE)
        retry_after_s = retry_after_s or self._settings.retry_after_s
        # Jitter keeps callers that were refused together from retrying together.
        retry_after_s *= self._rng.uniform(1.0, MAX_RETRY_AFTER_JITTER)
        return self._reply(pending, status, Outcome.NOT_RUN, reason, retry_after_s)

    def _reply_unknown(
        self, pending: PendingCall, reason: str
    ) -> list[DispatcherAction]:
        status = UNKNOWN_OUTCOME_STATUS_BY_REASON.get(reason, BAD_GATEWAY)
        retry_after_s = self._settings.retry_after_s
        return self._reply(pending, status, Outcome.UNKNOWN, reason, retry_after_s)

    def _reply(
        self,
        pending: PendingCall,
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
        self._remove_call(pending)
        # Calls that concern the request of an earlier call, including its cancellation,
        # are counted as queries.
        is_query = pending.call.kind in (CallKind.GET, CallKind.DELETE)
        subject = "queries" if is_query else "requests"
        return [reply, Count(f"{subject}_{outcome or 'reserved'}", reason)]

    def _remove_call(self, pending: PendingCall) -> None:
        self._end_attempt(pending)
        del self._calls[pending.call.call_id]

    def _end_attempt(self, pending: PendingCall) -> None:
        if self._calls_by_request_id.pop(pending.request_id, None) is not None:
            self._selector.remove_request(pending.peer, pending.service_id)

    def _get_budget(self, pending: PendingCall) -> RetryBudget:
        budget = self._budgets.get(pending.service_id)
        if budget is None:
            settings = self._settings
            budget = RetryBudget(settings.retry_fraction, settings.retry_window_s)
            self._budgets[pending.service_id] = budget
        return budget

    def _compute_fence_time(self, pending: PendingCall) -> float:
        if not pending.can_choose_agent:
            return pending.deadline_at_s
        total_s = pending.call.deadline_s or self._settings.default_deadline_s
        lead_s = min(self._settings.fence_lead_s, total_s * MAX_FENCE_LEAD_FRACTION)
        return pending.deadline_at_s - lead_s

    def _schedule(self, pending: PendingCall, due_at_s: float) -> None:
        limit_s = pending.deadline_at_s
        if pending.phase is Phase.RUN:
            limit_s = self._compute_fence_time(pending)
        pending.due_at_s = min(due_at_s, limit_s)
        heapq.heappush(self._timers, (pending.due_at_s, next(self._sequence), pending))
