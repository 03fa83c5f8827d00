"""First packets of a balancer, from their arrival to a member that takes the flow."""

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
from bramleystair.steering._waiting import ServiceRate, WaitingFlow, WaitingFlows

# A later attempt at the same member would be refused for the same reason.
_LASTING_REFUSALS = frozenset({Refusal.WRONG_SERVICE, Refusal.DRAINING})


@attrs.define(eq=False)
class _Opening:
    """A first packet for which a member is being chosen.

    Parameters
    ----------
    arrived_s : float
        Time of its arrival here.
    started_s, expires_s : float
        Times at which its caller sent it first, and gives it up.
    repeated_s : float
        Time of its newest copy here.
    """

    segment: Segment
    route: Route
    service: str
    token: int
    arrived_s: float
    started_s: float
    expires_s: float
    repeated_s: float
    sent_s: float = 0.0
    tried: list[Address] = attrs.field(factory=list)
    refusals: set[Refusal] = attrs.field(factory=set)
    current: Address | None = None
    is_accepted: bool = False


class Openings:
    """Offer first packets to members until one takes the flow.

    Parameters
    ----------
    settings : BalancerSteeringSettings
        Times and limits.
    members : Members
        Members to choose from.
    outbox : Outbox
        Takes offers and resets.
    first_token : int
        Token of the first attempt.
    get_rules : callable
        Returns the configuration in force.
    on_accepted : callable
        Called with the first packet and the member that took it.
    on_refused : callable
        Called with a flow that its member refused, perhaps after it had taken it.
    """

    def __init__(
        self,
        settings: BalancerSteeringSettings,
        members: Members,
        outbox: Outbox,
        first_token: int,
        get_rules: Callable[[], RoutingRules | None],
        on_accepted: Callable[[Segment, Address, float], None],
        on_refused: Callable[[bytes], None],
    ) -> None:
        self._settings = settings
        self._members = members
        self._outbox = outbox
        self._token = first_token
        self._get_rules = get_rules
        self._on_accepted = on_accepted
        self._on_refused = on_refused
        self._openings: dict[bytes, _Opening] = {}
        self._flows_by_token: dict[int, bytes] = {}
        self._waiting = WaitingFlows(settings.max_waiting)
        self._poll_due_s = 0.0
        self._rates: dict[str, ServiceRate] = {}
        self._retry_due: deque[tuple[float, int, bytes]] = deque()
        self._open_due: deque[tuple[float, int, bytes]] = deque()
        self._settle_due: deque[tuple[float, int, bytes]] = deque()

    @property
    def due_s(self) -> float:
        """Time at which `run_timers` has something to do."""
        queues = (self._open_due, self._retry_due, self._settle_due)
        due_s = min((queue[0][0] for queue in queues if queue), default=float("inf"))
        return min(due_s, self._poll_due_s) if self._waiting else due_s

    def get_member(self, flow: bytes) -> Address | None:
        """Return the member that was asked last to take `flow`, or None."""
        opening = self._openings.get(flow)
        return None if opening is None else opening.current

    def repeat(self, segment: Segment, now: float) -> bool:
        """Handle a copy of a first packet; return False if it is no copy."""
        opening = self._openings.get(segment.flow)
        if opening is None or opening.segment.sequence != segment.sequence:
            return False
        opening.repeated_s = now
        if opening.is_accepted:
            # The server may not have answered; its agent decides whether to refuse.
            opening.segment = segment
            self._send_open(opening, opening.current, now)
        return True

    def start(self, segment: Segment, route: Route, now: float) -> None:
        """Choose a member for a first packet."""
        flow = segment.flow
        former = self._openings.get(flow)
        if former is not None:
            self._end(former)
        started_s = now - segment.age_s
        patience_s = min(self._settings.first_packet_s, route.level.deadline_s)
        opening = _Opening(
            segment,
            route,
            route.choose_service(flow),
            self._create_token(flow),
            now,
            started_s,
            started_s + patience_s,
            now,
        )
        self._openings[flow] = opening
        self._try_next(opening, now)

    def forget_opened(self, flow: bytes) -> None:
        """End the attempt for a flow that has opened at a member given up before."""
        opening = self._openings.get(flow)
        if opening is not None and opening.current is None:
            self._forget(opening, "opened_late")

    def apply_rules(self, rules: RoutingRules) -> None:
        """Let the flows that wait follow a changed configuration."""
        for flow in list(self._waiting):
            opening = self._openings[flow]
            route = rules.routes.get(get_service_endpoint(flow))
            if route is None:
                self._give_up(opening, "no_route")
                continue
            opening.route = route
            if not self._may_use(flow, opening.service):
                opening.service = route.choose_service(flow)

    def use_slot(self, member: Member, now: float) -> bool:
        """Try the next waiting flow at a member that keeps a slot; False if none is."""
        if not self._members.is_ready(member):
            return False
        service = member.entry.service
        response_s = self._members.estimate_response_s(service)
        waiting = self._choose_waiting(service, now, response_s)
        if waiting is None:
            return False
        opening = self._resume(waiting.flow)
        opening.service = service
        self._try_member(opening, member, now)
        return True

    def handle_reply(self, sender: Address, message: OpenReply, now: float) -> None:
        """Take a member's answer."""
        flow = self._flows_by_token.get(message.token)
        opening = None if flow is None else self._openings.get(flow)
        if opening is None or opening.current != sender:
            return
        if message.refusal is Refusal.NONE:
            opening.is_accepted = True
            self._record_accepted(opening, sender, now)
            self._on_accepted(opening.segment, sender, now)
            due_s = now + self._settings.settle_s
            self._settle_due.append((due_s, opening.token, flow))
            return
        self._outbox.count("open_refused", message.refusal.name.lower())
        self._on_refused(flow)
        opening.refusals.add(message.refusal)
        if message.refusal is Refusal.BUSY:
            self._members.record_busy(sender, now)
        self._try_next(opening, now)

    def run_timers(self, now: float) -> None:
        """Handle missing answers, begin rounds, and forget settled flows."""
        while self._open_due and self._open_due[0][0] <= now:
            _, token, flow = self._open_due.popleft()
            self._expire_attempt(token, flow, now)
        while self._retry_due and self._retry_due[0][0] <= now:
            _, token, flow = self._retry_due.popleft()
            opening = self._openings.get(flow)
            if opening is not None and opening.token == token:
                self._try_next(opening, now)
        while self._settle_due and self._settle_due[0][0] <= now:
            _, token, flow = self._settle_due.popleft()
            opening = self._openings.get(flow)
            if opening is not None and opening.token == token:
                self._end(opening)
        if self._waiting and now >= self._poll_due_s:
            self._poll(now)

    def end(self, now: float) -> None:
        """Give up all flows that no member has taken."""
        for opening in list(self._openings.values()):
            if opening.is_accepted:
                continue
            if self._is_repeated(opening, now):
                self._give_up(opening, "stopping")
            else:
                self._forget(opening, "not_repeated")

    def _poll(self, now: float) -> None:
        """Give up flows that wait in vain, and ask the members for another one."""
        self._poll_due_s = now + self._settings.poll_s
        for waiting in self._waiting.list_expired(now):
            self._forget(self._openings[waiting.flow], "expired")
        for flow in list(self._waiting):
            if not self._is_repeated(self._openings[flow], now):
                self._forget(self._openings[flow], "not_repeated")
        for service in {self._openings[flow].service for flow in self._waiting}:
            self._poll_service(service, now)

    def _poll_service(self, service: str, now: float) -> None:
        response_s = self._members.estimate_response_s(service)
        if response_s == 0:
            capacity = float("inf")
        else:
            capacity = self._members.count_slots(service, now) / response_s
        rate = self._get_rate(service).estimate(now, max(1.0, capacity))

        def is_of_service(flow: bytes) -> bool:
            return self._openings[flow].service == service

        for waiting in self._waiting.list_hopeless(
            now, response_s, rate, is_of_service
        ):
            opening = self._openings[waiting.flow]
            self._give_up(
                opening,
                "no_slot_in_time",
                rate=round(rate, 1),
                waiting=len(self._waiting),
                waited_ms=round((now - opening.arrived_s) * 1000, 1),
            )
        waiting = self._waiting.choose(now, response_s, is_of_service)
        if waiting is not None:
            self._try_next(self._resume(waiting.flow), now)

    def _resume(self, flow: bytes) -> _Opening:
        """End the wait of a flow, so that all members may be tried."""
        self._waiting.discard(flow)
        opening = self._openings[flow]
        _begin_round(opening)
        return opening

    def _choose_waiting(
        self, service: str, now: float, response_s: float
    ) -> WaitingFlow | None:
        """Return the most urgent flow that a member of `service` may take."""

        def is_suitable(flow: bytes) -> bool:
            is_repeated = self._is_repeated(self._openings[flow], now)
            return is_repeated and self._may_use(flow, service)

        return self._waiting.choose(now, response_s, is_suitable)

    def _is_repeated(self, opening: _Opening, now: float) -> bool:
        """Return whether all copies of a first packet that are due have come here.

        Otherwise its caller has given up, or its copies reach another balancer, where
        the flow may be open by now: a second server or a reset would break it.
        """
        margin_s = self._settings.copy_margin_s
        due_s = [
            opening.started_s + delay_s
            for delay_s in self._settings.copy_delays_s
            if opening.started_s + delay_s <= now - margin_s
        ]
        return not due_s or opening.repeated_s >= due_s[-1] - margin_s

    def _may_use(self, flow: bytes, service: str) -> bool:
        targets = self._openings[flow].route.targets
        return any(target.service == service for target in targets)

    def _try_next(self, opening: _Opening, now: float) -> None:
        member = None
        if len(opening.tried) < self._settings.open_attempts:
            member = self._choose(opening, opening.service, now)
        if member is None:
            member = self._choose_elsewhere(opening, now)
        if member is None:
            self._end_round(opening, now)
            return
        self._try_member(opening, member, now)

    def _choose(self, opening: _Opening, service: str, now: float) -> Member | None:
        # With busy members that answer, silent ones are not worth the wait.
        live_only = Refusal.BUSY in opening.refusals
        return self._members.choose(service, opening.tried, live_only, now)

    def _choose_elsewhere(self, opening: _Opening, now: float) -> Member | None:
        """Return a member of another service that shares the route."""
        for target in opening.route.targets:
            if target.service == opening.service:
                continue
            member = self._choose(opening, target.service, now)
            if member is not None:
                opening.service = target.service
                return member
        return None

    def _try_member(self, opening: _Opening, member: Member, now: float) -> None:
        address = member.entry.address
        opening.tried.append(address)
        opening.current = address
        opening.is_accepted = False
        member.opened += 1
        self._send_open(opening, address, now)

    def _send_open(self, opening: _Opening, address: Address, now: float) -> None:
        rules = self._get_rules().services.get(opening.service)
        cold_rate = 0.0 if rules is None else rules.cold_rate
        service_id = compute_service_id(opening.service)
        response_s = self._members.estimate_response_s(opening.service)
        urgency, _ = _build_waiting(opening).compute_rank(now, response_s)
        waiting = self._choose_waiting(opening.service, now, response_s)
        message = OpenFlow(
            opening.token,
            service_id,
            cold_rate,
            urgency,
            None if waiting is None else waiting.compute_rank(now, response_s)[0],
            opening.segment.data,
        )
        self._outbox.send(address, message)
        self._members.expect_message(address, now)
        opening.sent_s = now
        due_s = now + self._settings.open_timeout_s
        self._open_due.append((due_s, opening.token, opening.segment.flow))

    def _end_round(self, opening: _Opening, now: float) -> None:
        """Decide after all members tried have refused or not answered."""
        settings = self._settings
        held_s = now - opening.arrived_s
        if self._members.has_busy(opening.service, now):
            opening.refusals.add(Refusal.BUSY)
        if Refusal.BUSY in opening.refusals:
            self._wait(opening, now)
            return
        if not opening.refusals - _LASTING_REFUSALS:
            self._give_up(opening, "no_member")
            return
        if held_s >= settings.hold_s:
            self._give_up(opening, "not_accepted")
            return
        # Agents that restart know their servers again within a heartbeat.
        _begin_round(opening)
        due_s = now + settings.round_delay_s
        self._retry_due.append((due_s, opening.token, opening.segment.flow))

    def _wait(self, opening: _Opening, now: float) -> None:
        """Let a flow wait until a busy member offers a slot."""
        opening.current = None
        if not self._waiting:
            self._poll_due_s = now + self._settings.poll_s
            for rate in self._rates.values():
                rate.end_wait()
        if not self._waiting.add(_build_waiting(opening)):
            self._give_up(opening, "too_many_waiting")
            return
        self._get_rate(opening.service).begin_wait(now)

    def _get_rate(self, service: str) -> ServiceRate:
        window_s = self._settings.rate_window_s
        return self._rates.setdefault(service, ServiceRate(window_s))

    def _expire_attempt(self, token: int, flow: bytes, now: float) -> None:
        opening = self._openings.get(flow)
        if opening is None or opening.token != token or opening.is_accepted:
            return
        address = opening.current
        if address is None or opening.sent_s + self._settings.open_timeout_s > now:
            # A reply to this attempt arrived, or a later one is on its way.
            return
        member = self._members.get(address)
        if member is not None:
            self._members.record_failure(member, now)
        self._outbox.count("open_refused", "timeout")
        opening.refusals.add(Refusal.NO_ANSWER)
        self._outbox.log("open", flow, "timeout", agent=address[0])
        self._try_next(opening, now)

    def _record_accepted(self, opening: _Opening, agent: Address, now: float) -> None:
        waited_s = now - opening.arrived_s
        self._get_rate(opening.service).record(now)
        self._outbox.observe("open", waited_s)
        member = self._members.get(agent)
        self._outbox.log(
            "open",
            opening.segment.flow,
            "accepted",
            agent=agent[0],
            tried=len(opening.tried),
            waited_ms=round(waited_s * 1000, 1),
            utilization=round(member.compute_utilization(), 2) if member else None,
        )

    def _give_up(self, opening: _Opening, reason: str, **inputs: object) -> None:
        self._end(opening)
        self._outbox.count("flow_refused", reason)
        tried = len(opening.tried)
        self._outbox.reset_caller(opening.segment, reason, tried=tried, **inputs)

    def _forget(self, opening: _Opening, reason: str) -> None:
        """End an attempt of which the caller expects nothing any more."""
        self._end(opening)
        self._outbox.count("flow_refused", reason)
        self._outbox.log("open", opening.segment.flow, reason)

    def _end(self, opening: _Opening) -> None:
        self._waiting.discard(opening.segment.flow)
        self._openings.pop(opening.segment.flow, None)
        self._flows_by_token.pop(opening.token, None)

    def _create_token(self, flow: bytes) -> int:
        self._token = (self._token + 1) % TOKEN_MODULUS
        self._flows_by_token[self._token] = flow
        return self._token


def _begin_round(opening: _Opening) -> None:
    """Let all members be tried again."""
    opening.tried.clear()
    opening.refusals.clear()
    opening.current = None


def _build_waiting(opening: _Opening) -> WaitingFlow:
    return WaitingFlow(
        opening.segment.flow,
        opening.route.level,
        opening.started_s,
        opening.expires_s,
    )
