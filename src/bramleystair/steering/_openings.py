"""First packets of a balancer, from their arrival to a member that takes the flow."""

from collections import deque
from collections.abc import Callable

import attrs

from bramleystair.steering._balancer_settings import BalancerSteeringSettings
from bramleystair.steering._member import Member
from bramleystair.steering._members import Members
from bramleystair.steering._messages import OpenFlow, OpenReply, Refusal
from bramleystair.steering._outbox import Outbox
from bramleystair.steering._segments import Segment
from bramleystair.steering._types import (
    Address,
    Route,
    RoutingRules,
    compute_service_id,
)

TOKEN_MODULUS = 2**32
# A later attempt at the same member would be refused for the same reason.
_LASTING_REFUSALS = frozenset({Refusal.WRONG_SERVICE, Refusal.DRAINING})


@attrs.define(eq=False)
class _Opening:
    """A first packet for which a member is being chosen."""

    segment: Segment
    route: Route
    service: str
    token: int
    started_s: float
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
        self._retry_due: deque[tuple[float, int, bytes]] = deque()
        self._open_due: deque[tuple[float, int, bytes]] = deque()
        self._settle_due: deque[tuple[float, int, bytes]] = deque()

    @property
    def due_s(self) -> float:
        """Time at which `run_timers` has something to do."""
        queues = (self._open_due, self._retry_due, self._settle_due)
        return min((queue[0][0] for queue in queues if queue), default=float("inf"))

    def get_member(self, flow: bytes) -> Address | None:
        """Return the member that was asked last to take `flow`, or None."""
        opening = self._openings.get(flow)
        return None if opening is None else opening.current

    def repeat(self, segment: Segment, now: float) -> bool:
        """Handle a copy of a first packet; return False if it is no copy."""
        opening = self._openings.get(segment.flow)
        if opening is None or opening.segment.sequence != segment.sequence:
            return False
        if opening.is_accepted:
            # The server may not have answered; its agent decides whether to refuse.
            opening.segment = segment
            self._send_open(opening, opening.current, False, now)
        return True

    def start(self, segment: Segment, route: Route, now: float) -> None:
        """Choose a member for a first packet."""
        flow = segment.flow
        former = self._openings.get(flow)
        if former is not None:
            self._end(former)
        opening = _Opening(
            segment, route, route.choose_service(flow), self._create_token(flow), now
        )
        self._openings[flow] = opening
        self._try_next(opening, now)

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

    def _try_next(self, opening: _Opening, now: float) -> None:
        member = None
        if len(opening.tried) < self._settings.open_attempts:
            member = self._choose(opening, opening.service, now)
        if member is None:
            member = self._choose_elsewhere(opening, now)
        if member is None:
            self._end_round(opening, now)
            return
        self._try_member(opening, member, False, now)

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

    def _try_member(
        self, opening: _Opening, member: Member, is_last: bool, now: float
    ) -> None:
        address = member.entry.address
        opening.tried.append(address)
        opening.current = address
        opening.is_accepted = False
        member.opened += 1
        self._send_open(opening, address, is_last, now)

    def _send_open(
        self, opening: _Opening, address: Address, is_last: bool, now: float
    ) -> None:
        rules = self._get_rules().services.get(opening.service)
        cold_rate = 0.0 if rules is None else rules.cold_rate
        service_id = compute_service_id(opening.service)
        data = opening.segment.data
        message = OpenFlow(opening.token, service_id, cold_rate, is_last, data)
        self._outbox.send(address, message)
        self._members.expect_message(address, now)
        opening.sent_s = now
        due_s = now + self._settings.open_timeout_s
        self._open_due.append((due_s, opening.token, opening.segment.flow))

    def _end_round(self, opening: _Opening, now: float) -> None:
        """Decide after all members tried have refused or not answered."""
        settings = self._settings
        held_s = now - opening.started_s
        if self._members.has_busy(opening.service, now):
            opening.refusals.add(Refusal.BUSY)
        if Refusal.BUSY in opening.refusals and held_s >= settings.busy_hold_s:
            # A request that waited longer would be late, and delay others.
            self._give_up(opening, "busy")
            return
        if not opening.refusals - _LASTING_REFUSALS:
            self._give_up(opening, "no_member")
            return
        if held_s >= settings.hold_s:
            self._give_up(opening, "not_accepted")
            return
        # Agents that restart know their servers again within a heartbeat.
        opening.tried.clear()
        opening.current = None
        opening.refusals.clear()
        due_s = now + settings.round_delay_s
        self._retry_due.append((due_s, opening.token, opening.segment.flow))

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
        waited_s = now - opening.started_s
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

    def _give_up(self, opening: _Opening, reason: str) -> None:
        self._end(opening)
        self._outbox.count("flow_refused", reason)
        self._outbox.reset(opening.segment, reason, tried=len(opening.tried))

    def _end(self, opening: _Opening) -> None:
        self._openings.pop(opening.segment.flow, None)
        self._flows_by_token.pop(opening.token, None)

    def _create_token(self, flow: bytes) -> int:
        self._token = (self._token + 1) % TOKEN_MODULUS
        self._flows_by_token[self._token] = flow
        return self._token
