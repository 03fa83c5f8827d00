"""Placement of new flows, from their first packet to the member that accepts them.

Runs in the balancer process; the counterpart is the agent of each member, which accepts
or refuses a flow in `steering.agent`.
"""

from collections import deque
from collections.abc import Callable

import attrs

from bramleystair.steering._balancer_settings import BalancerSteeringSettings
from bramleystair.steering._member import Member
from bramleystair.steering._members import Members
from bramleystair.steering._messages import (
    TOKEN_MODULUS,
    OpenFlow,
    OpenReply,
    Refusal,
)
from bramleystair.steering._outbox import Outbox
from bramleystair.steering._segments import Segment, get_service_endpoint
from bramleystair.steering._types import (
    Address,
    Route,
    RoutingRules,
    compute_service_id,
)
from bramleystair.steering._wait_queue import PlacementRate, WaitingFlow, WaitQueue

# Refusals that a retry at the same member cannot change.
_PERMANENT_REFUSALS = frozenset({Refusal.WRONG_SERVICE, Refusal.DRAINING})


@attrs.define(eq=False)
class _PendingOpen:
    """A new flow for which a member is being chosen.

    Parameters
    ----------
    segment : Segment
        First packet of the flow.
    route : Route
        Route of the flow's endpoint; replaced by a new configuration while the flow
        waits.
    service : str
        Service at whose members the flow is being opened. Initially the route's choice;
        changes to another target of the route if that has a member for the flow.
    token : int
        Identifier repeated in each open request for this flow and in the replies.
    arrived_s : float
        Time at which the packet arrived at this balancer.
    started_s : float
        Time at which the caller first sent the packet, as far as known.
    expires_s : float
        Time after which the flow does not wait any longer. The caller is assumed to
        give up after `first_packet_s` or at the route's deadline, if that is earlier.
    last_copy_s : float
        Time at which the latest copy of the packet arrived at this balancer.
    last_open_sent_s : float
        Time at which the latest open request was sent.
    tried : list of address
        Members that were sent an open request in this round.
    refusals : set of Refusal
        Reasons for which members refused the flow in this round, or did not answer.
    current_member : address or None
        Member that was sent the latest open request, and the flow's owner once it has
        accepted; None between rounds and while the flow waits.
    is_accepted : bool
        Whether the current member has accepted the flow.
    """

    segment: Segment
    route: Route
    service: str
    token: int
    arrived_s: float
    started_s: float
    expires_s: float
    last_copy_s: float
    last_open_sent_s: float = 0.0
    tried: list[Address] = attrs.field(factory=list)
    refusals: set[Refusal] = attrs.field(factory=set)
    current_member: Address | None = None
    is_accepted: bool = False


class FlowOpener:
    """Send the first packets of flows to members until one accepts the flow.

    A round asks members one after the other. If one of them refuses the flow as busy,
    the flow waits for a slot after the round. After timeouts and refusals that may end
    soon, the next round starts after a delay, unless `hold_s` has passed.

    Parameters
    ----------
    settings : BalancerSteeringSettings
        Timeouts and limits.
    members : Members
        Members to choose from.
    outbox : Outbox
        Receives open requests and resets.
    initial_token : int
        Start of the sequence of tokens; the first flow gets the one after it.
    get_rules : callable
        Returns the configuration in force.
    on_accepted : callable
        Called with the first packet, the member that accepted it and the time.
    on_refused : callable
        Called with a flow that a member refused. A refusal may follow an acceptance if
        the server returns the first packet or does not answer it in time.
    """

    def __init__(
        self,
        settings: BalancerSteeringSettings,
        members: Members,
        outbox: Outbox,
        initial_token: int,
        get_rules: Callable[[], RoutingRules | None],
        on_accepted: Callable[[Segment, Address, float], None],
        on_refused: Callable[[bytes], None],
    ) -> None:
        self._settings = settings
        self._members = members
        self._outbox = outbox
        self._last_token = initial_token
        self._get_rules = get_rules
        self._on_accepted = on_accepted
        self._on_refused = on_refused
        self._pending: dict[bytes, _PendingOpen] = {}
        self._flows_by_token: dict[int, bytes] = {}
        self._wait_queue = WaitQueue(settings.max_waiting)
        self._next_poll_s = 0.0
        self._placement_rates: dict[str, PlacementRate] = {}
        self._retry_timers: deque[tuple[float, int, bytes]] = deque()
        self._open_timers: deque[tuple[float, int, bytes]] = deque()
        # Accepted flows are kept for `settle_s`, as a refusal may still follow.
        self._accepted_expiry_timers: deque[tuple[float, int, bytes]] = deque()

    @property
    def due_s(self) -> float:
        """Time at which `run_timers` has to be called next."""
        queues = (self._open_timers, self._retry_timers, self._accepted_expiry_timers)
        due_s = min((queue[0][0] for queue in queues if queue), default=float("inf"))
        return min(due_s, self._next_poll_s) if self._wait_queue else due_s

    def get_current_member(self, flow: bytes) -> Address | None:
        """Return the member that was sent the latest open request for `flow`, or None.

        None is also returned between rounds and while the flow waits.
        """
        pending = self._pending.get(flow)
        return None if pending is None else pending.current_member

    def handle_copy(self, segment: Segment, now: float) -> bool:
        """Handle a retransmitted first packet; return False if it is not a copy."""
        pending = self._pending.get(segment.flow)
        if pending is None or pending.segment.sequence != segment.sequence:
            return False
        pending.last_copy_s = now
        if pending.is_accepted:
            # A copy sent after the acceptance suggests that the server has not answered
            # the first packet. The agent delivers the copy to the server or, if the
            # server has not answered in time, refuses the flow.
            pending.segment = segment
            self._send_open(pending, pending.current_member, now)
        return True

    def start(self, segment: Segment, route: Route, now: float) -> None:
        """Choose a member for a first packet."""
        flow = segment.flow
        previous = self._pending.get(flow)
        if previous is not None:
            self._remove(previous)
        started_s = now - segment.age_s
        wait_limit_s = min(self._settings.first_packet_s, route.level.deadline_s)
        pending = _PendingOpen(
            segment,
            route,
            route.choose_service(flow),
            self._create_token(flow),
            now,
            started_s,
            started_s + wait_limit_s,
            now,
        )
        self._pending[flow] = pending
        self._try_next(pending, now)

    def drop_unless_member_asked(self, flow: bytes) -> None:
        """Drop a pending flow if no member is being asked to accept it.

        Called when a later packet of the flow arrives. The packet shows that a server
        has opened the flow, for example at a member whose reply came after the timeout.
        """
        pending = self._pending.get(flow)
        if pending is not None and pending.current_member is None:
            self._drop(pending, "opened_late")

    def apply_rules(self, rules: RoutingRules) -> None:
        """Apply a new configuration to the waiting flows.

        Other pending flows keep their route, and the service chosen from it.
        """
        for flow in list(self._wait_queue):
            pending = self._pending[flow]
            route = rules.routes.get(get_service_endpoint(flow))
            if route is None:
                self._refuse(pending, "no_route")
                continue
            pending.route = route
            if not self._is_route_target(flow, pending.service):
                pending.service = route.choose_service(flow)

    def assign_slot(self, member: Member, now: float) -> bool:
        """Send the most urgent waiting flow to a member that has offered a slot.

        The agent has reserved the slot for this balancer.

        Returns
        -------
        bool
            False if the member is not eligible or avoided, or no suitable flow waits.
        """
        if not self._members.is_eligible(member):
            return False
        if self._members.is_avoided(member, now):
            return False
        service = member.entry.service
        response_s = self._members.estimate_response_s(service)
        waiting = self._choose_waiting_flow(service, now, response_s)
        if waiting is None:
            return False
        pending = self._stop_waiting(waiting.flow)
        pending.service = service
        self._try_member(pending, member, now)
        return True

    def handle_reply(self, sender: Address, message: OpenReply, now: float) -> None:
        """Record that a member accepted a flow, or try the next one after a refusal."""
        flow = self._flows_by_token.get(message.token)
        pending = None if flow is None else self._pending.get(flow)
        if pending is None or pending.current_member != sender:
            return
        if message.refusal is Refusal.NONE:
            pending.is_accepted = True
            self._record_accepted(pending, sender, now)
            self._on_accepted(pending.segment, sender, now)
            due_s = now + self._settings.settle_s
            self._accepted_expiry_timers.append((due_s, pending.token, flow))
            return
        self._outbox.count("open_refused", message.refusal.name.lower())
        self._on_refused(flow)
        pending.refusals.add(message.refusal)
        if message.refusal is Refusal.BUSY:
            self._members.record_busy(sender, now)
        self._try_next(pending, now)

    def run_timers(self, now: float) -> None:
        """Handle the timeouts and retries that are due, and process the wait queue.

        Accepted flows are removed once `settle_s` has passed.
        """
        while self._open_timers and self._open_timers[0][0] <= now:
            _, token, flow = self._open_timers.popleft()
            self._handle_open_timeout(token, flow, now)
        while self._retry_timers and self._retry_timers[0][0] <= now:
            _, token, flow = self._retry_timers.popleft()
            pending = self._pending.get(flow)
            if pending is not None and pending.token == token:
                self._try_next(pending, now)
        while (
            self._accepted_expiry_timers and self._accepted_expiry_timers[0][0] <= now
        ):
            _, token, flow = self._accepted_expiry_timers.popleft()
            pending = self._pending.get(flow)
            if pending is not None and pending.token == token:
                self._remove(pending)
        if self._wait_queue and now >= self._next_poll_s:
            self._process_wait_queue(now)

    def shut_down(self, now: float) -> None:
        """Refuse or drop flows that no member has accepted, as the process stops."""
        for pending in list(self._pending.values()):
            if pending.is_accepted:
                continue
            if self._has_received_latest_copy(pending, now):
                self._refuse(pending, "stopping")
            else:
                self._drop(pending, "not_repeated")

    def _process_wait_queue(self, now: float) -> None:
        """Remove waiting flows that cannot be placed, and retry one per service.

        Runs every `poll_s` while flows wait, in case the offer of a slot was lost.
        """
        self._next_poll_s = now + self._settings.poll_s
        for waiting in self._wait_queue.list_expired(now):
            self._drop(self._pending[waiting.flow], "expired")
        for flow in list(self._wait_queue):
            if not self._has_received_latest_copy(self._pending[flow], now):
                self._drop(self._pending[flow], "not_repeated")
        for service in {self._pending[flow].service for flow in self._wait_queue}:
            self._process_waiting_flows(service, now)

    def _process_waiting_flows(self, service: str, now: float) -> None:
        """Refuse flows of `service` that would wait too long, and retry the next."""
        response_s = self._members.estimate_response_s(service)
        if response_s == 0:
            capacity = float("inf")
        else:
            capacity = self._members.count_total_slots(service, now) / response_s
        rate = self._get_placement_rate(service).estimate(now, max(1.0, capacity))

        def is_of_service(flow: bytes) -> bool:
            return self._pending[flow].service == service

        for waiting in self._wait_queue.list_unservable(
            now, response_s, rate, is_of_service
        ):
            pending = self._pending[waiting.flow]
            self._refuse(
                pending,
                "no_slot_in_time",
                rate=round(rate, 1),
                waiting=len(self._wait_queue),
                waited_ms=round((now - pending.arrived_s) * 1000, 1),
            )
        waiting = self._wait_queue.choose(now, response_s, is_of_service)
        if waiting is not None:
            self._try_next(self._stop_waiting(waiting.flow), now)

    def _stop_waiting(self, flow: bytes) -> _PendingOpen:
        """Remove a flow from the wait queue and start a new round for it."""
        self._wait_queue.discard(flow)
        pending = self._pending[flow]
        _start_round(pending)
        return pending

    def _choose_waiting_flow(
        self, service: str, now: float, response_s: float
    ) -> WaitingFlow | None:
        """Return the most urgent waiting flow that `service` may serve, or None."""

        def is_suitable(flow: bytes) -> bool:
            has_received_copy = self._has_received_latest_copy(self._pending[flow], now)
            return has_received_copy and self._is_route_target(flow, service)

        return self._wait_queue.choose(now, response_s, is_suitable)

    def _has_received_latest_copy(self, pending: _PendingOpen, now: float) -> bool:
        """Return whether the caller's latest expected retransmission has arrived.

        If the copy is missing, the caller has given up or its packets now reach another
        balancer. The flow may be open there: opening it at a second server or resetting
        the caller would break it.
        """
        margin_s = self._settings.copy_margin_s
        due_s = [
            pending.started_s + delay_s
            for delay_s in self._settings.copy_delays_s
            if pending.started_s + delay_s <= now - margin_s
        ]
        return not due_s or pending.last_copy_s >= due_s[-1] - margin_s

    def _is_route_target(self, flow: bytes, service: str) -> bool:
        targets = self._pending[flow].route.targets
        return any(target.service == service for target in targets)

    def _try_next(self, pending: _PendingOpen, now: float) -> None:
        member = None
        if len(pending.tried) < self._settings.open_attempts:
            member = self._choose_member(pending, pending.service, now)
        if member is None:
            member = self._choose_from_other_services(pending, now)
        if member is None:
            self._end_round(pending, now)
            return
        self._try_member(pending, member, now)

    def _choose_member(
        self, pending: _PendingOpen, service: str, now: float
    ) -> Member | None:
        # After a busy refusal, the flow can wait for a slot of that member; an open
        # request to an unresponsive one would probably time out.
        responsive_only = Refusal.BUSY in pending.refusals
        return self._members.choose(
            pending.segment.flow, service, pending.tried, responsive_only, now
        )

    def _choose_from_other_services(
        self, pending: _PendingOpen, now: float
    ) -> Member | None:
        """Return a member of another service of the same route, or None."""
        for target in pending.route.targets:
            if target.service == pending.service:
                continue
            member = self._choose_member(pending, target.service, now)
            if member is not None:
                pending.service = target.service
                return member
        return None

    def _try_member(self, pending: _PendingOpen, member: Member, now: float) -> None:
        address = member.entry.address
        pending.tried.append(address)
        pending.current_member = address
        pending.is_accepted = False
        member.flows_since_report += 1
        self._send_open(pending, address, now)

    def _send_open(self, pending: _PendingOpen, address: Address, now: float) -> None:
        rules = self._get_rules().services.get(pending.service)
        # New flows per second that a cold server of the service accepts; 0: no limit.
        cold_rate = 0.0 if rules is None else rules.cold_rate
        service_id = compute_service_id(pending.service)
        response_s = self._members.estimate_response_s(pending.service)
        # A rank is an urgency and a number that orders equally urgent flows; the flow
        # with the lowest rank is served first.
        urgency, _ = _build_waiting_flow(pending).compute_rank(now, response_s)
        waiting = self._choose_waiting_flow(pending.service, now, response_s)
        member = self._members.get(address)
        message = OpenFlow(
            pending.token,
            service_id,
            cold_rate,
            urgency,
            None if waiting is None else waiting.compute_rank(now, response_s)[0],
            pending.segment.data,
            member is not None and self._members.is_failing(member, now),
            *self._get_times(pending, member, now),
        )
        self._outbox.send(address, message)
        self._members.record_request_sent(address, now)
        pending.last_open_sent_s = now
        due_s = now + self._settings.open_timeout_s
        self._open_timers.append((due_s, pending.token, pending.segment.flow))

    def _get_times(
        self, pending: _PendingOpen, member: Member | None, now: float
    ) -> tuple[float, float]:
        """Return the objective and the time waited, if the request gate uses them."""
        max_slots = self._settings.options.request_gate.max_slots
        if member is None or not 0 < member.entry.slots <= max_slots:
            return 0.0, 0.0
        return pending.route.level.objective_s, max(0.0, now - pending.started_s)

    def _end_round(self, pending: _PendingOpen, now: float) -> None:
        """Queue, refuse or retry a flow for which no further member can be asked.

        Every eligible member has been asked or is avoided for now, or `open_attempts`
        members have been asked.
        """
        settings = self._settings
        elapsed_s = now - pending.arrived_s
        if self._members.has_recent_busy_refusal(pending.service, now):
            pending.refusals.add(Refusal.BUSY)
        if Refusal.BUSY in pending.refusals:
            self._enqueue(pending, now)
            return
        if not pending.refusals - _PERMANENT_REFUSALS:
            self._refuse(pending, "no_member")
            return
        if elapsed_s >= settings.hold_s:
            self._refuse(pending, "not_accepted")
            return
        # Retry after refusals that may end soon: an agent that restarted, for example,
        # does not know its server until the next heartbeat.
        _start_round(pending)
        due_s = now + settings.round_delay_s
        self._retry_timers.append((due_s, pending.token, pending.segment.flow))

    def _enqueue(self, pending: _PendingOpen, now: float) -> None:
        """Add a flow to the wait queue until a busy member offers a slot."""
        pending.current_member = None
        if not self._wait_queue:
            self._next_poll_s = now + self._settings.poll_s
            # Placements made while no flow waited measure the demand and not the
            # capacity, so they are left out of the estimated placement rate.
            for rate in self._placement_rates.values():
                rate.clear_waiting_start()
        if not self._wait_queue.add(_build_waiting_flow(pending)):
            self._refuse(pending, "too_many_waiting")
            return
        self._get_placement_rate(pending.service).start_waiting(now)

    def _get_placement_rate(self, service: str) -> PlacementRate:
        window_s = self._settings.rate_window_s
        return self._placement_rates.setdefault(service, PlacementRate(window_s))

    def _handle_open_timeout(self, token: int, flow: bytes, now: float) -> None:
        pending = self._pending.get(flow)
        if pending is None or pending.token != token or pending.is_accepted:
            return
        address = pending.current_member
        if (
            address is None
            or pending.last_open_sent_s + self._settings.open_timeout_s > now
        ):
            # The member has refused and the flow waits or is between rounds, or a later
            # open request is in flight.
            return
        member = self._members.get(address)
        if member is not None:
            self._members.record_failure(member, now)
        self._outbox.count("open_refused", "timeout")
        pending.refusals.add(Refusal.NO_ANSWER)
        self._outbox.log("open", flow, "timeout", agent=address[0])
        self._try_next(pending, now)

    def _record_accepted(
        self, pending: _PendingOpen, owner: Address, now: float
    ) -> None:
        waited_s = now - pending.arrived_s
        self._get_placement_rate(pending.service).record(now)
        self._outbox.observe("open", waited_s)
        member = self._members.get(owner)
        self._outbox.log(
            "open",
            pending.segment.flow,
            "accepted",
            agent=owner[0],
            tried=len(pending.tried),
            waited_ms=round(waited_s * 1000, 1),
            utilization=round(member.compute_utilization(), 2) if member else None,
        )

    def _refuse(self, pending: _PendingOpen, reason: str, **inputs: object) -> None:
        self._remove(pending)
        self._outbox.count("flow_refused", reason)
        tried = len(pending.tried)
        self._outbox.reset_caller(pending.segment, reason, tried=tried, **inputs)

    def _drop(self, pending: _PendingOpen, reason: str) -> None:
        """Remove a flow without resetting its caller, unlike `_refuse`.

        The caller expects no answer from this balancer. Both are counted as
        `flow_refused`.
        """
        self._remove(pending)
        self._outbox.count("flow_refused", reason)
        self._outbox.log("open", pending.segment.flow, reason)

    def _remove(self, pending: _PendingOpen) -> None:
        self._wait_queue.discard(pending.segment.flow)
        self._pending.pop(pending.segment.flow, None)
        self._flows_by_token.pop(pending.token, None)

    def _create_token(self, flow: bytes) -> int:
        self._last_token = (self._last_token + 1) % TOKEN_MODULUS
        self._flows_by_token[self._last_token] = flow
        return self._last_token


def _start_round(pending: _PendingOpen) -> None:
    """Clear the members asked and their refusals, so that all can be asked again."""
    pending.tried.clear()
    pending.refusals.clear()
    pending.current_member = None
    pending.is_accepted = False


def _build_waiting_flow(pending: _PendingOpen) -> WaitingFlow:
    return WaitingFlow(
        pending.segment.flow,
        pending.route.level,
        pending.started_s,
        pending.expires_s,
    )
