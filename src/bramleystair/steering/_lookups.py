"""Lookup of the owners of flows that a balancer does not know."""

import bisect
from collections.abc import Callable

import attrs

from bramleystair.steering._balancer_settings import BalancerSteeringSettings
from bramleystair.steering._events import ConfirmMembers
from bramleystair.steering._members import Members
from bramleystair.steering._messages import (
    TOKEN_MODULUS,
    LookupProbe,
    LookupReply,
    LookupRequest,
    Ownership,
    Relay,
)
from bramleystair.steering._outbox import Outbox
from bramleystair.steering._segments import Segment
from bramleystair.steering._types import Address, Route

# IP and UDP headers, and one question in a bundle.
HEADER_BYTES = 28
QUESTION_BYTES = 22


@attrs.define(eq=False)
class _Lookup:
    """A flow whose owner the members are asked for.

    Parameters
    ----------
    unanswered : set of address
        Members that have not answered.
    later : tuple of set of address
        Members to be asked when these hold no such flow, or take long to answer.
    asked : set of address
        Members that were asked, or are known not to be the owner.
    unsure : set of address
        Members that let their servers decide by a packet.
    due_s : float
        Time of the next repetition, or of the end of the wait for a confirmation.
    is_confirmed : bool
        Whether the members were known completely after the start.
    """

    segment: Segment
    token: int
    started_s: float
    packets: list[bytes]
    unanswered: set[Address]
    later: tuple[set[Address], ...] = ()
    asked: set[Address] = attrs.field(factory=set)
    unsure: set[Address] = attrs.field(factory=set)
    tried: set[Address] = attrs.field(factory=set)
    silent: int = 0
    attempt: int = 0
    likely: Address | None = None
    due_s: float = 0.0
    is_confirmed: bool = False


class OwnerLookups:
    """Ask the members for the owners of flows, at a bounded rate.

    Parameters
    ----------
    settings : BalancerSteeringSettings
        Delays and limits.
    members : Members
        Members to ask.
    outbox : Outbox
        Takes questions, relayed packets and resets.
    first_token : int
        Token of the first lookup.
    find_route : callable
        Returns the route of a flow, or None.
    on_found : callable
        Called with packet and owner once an owner is known.
    """

    def __init__(
        self,
        settings: BalancerSteeringSettings,
        members: Members,
        outbox: Outbox,
        first_token: int,
        find_route: Callable[[bytes], Route | None],
        on_found: Callable[[Segment, Address, float], None],
    ) -> None:
        self._settings = settings
        self._members = members
        self._outbox = outbox
        self._token = first_token
        self._find_route = find_route
        self._on_found = on_found
        self._lookups: dict[bytes, _Lookup] = {}
        # Lookups in which all members said no, until the members are confirmed.
        self._unconfirmed: dict[bytes, _Lookup] = {}
        self._flows_by_token: dict[int, bytes] = {}
        # Latest packet of flows that wait for a lookup.
        self._pending: dict[bytes, Segment] = {}
        self._unanswered_until_s: dict[bytes, float] = {}
        self._due: list[tuple[float, int, bytes]] = []
        self._next_start_s = 0.0

    @property
    def due_s(self) -> float:
        """Time at which `run_timers` has something to do."""
        due_s = self._due[0][0] if self._due else float("inf")
        if self._pending and len(self._lookups) < self._settings.max_lookups:
            due_s = min(due_s, self._next_start_s)
        return due_s

    def run_timers(self, now: float) -> None:
        """Repeat or end the lookups that are due."""
        while self._due and self._due[0][0] <= now:
            due_s, token, flow = self._due.pop(0)
            lookup = self._get(flow)
            if lookup is None or (lookup.due_s, lookup.token) != (due_s, token):
                continue
            if flow in self._lookups:
                self._repeat(lookup, now)
            else:
                self._remove(lookup, now)
                self._reset(lookup)
        if self._pending and now >= self._next_start_s:
            self._start_pending(now)

    def confirm_members(self, now: float) -> None:
        """Ask members that were added during a lookup, and end the other lookups."""
        unconfirmed, self._unconfirmed = self._unconfirmed, {}
        for flow, lookup in unconfirmed.items():
            lookup.is_confirmed = True
            self._lookups[flow] = lookup
            self._proceed(lookup, now)

    def purge(self, now: float) -> None:
        """Forget the pauses that are over."""
        self._unanswered_until_s = {
            flow: until_s
            for flow, until_s in self._unanswered_until_s.items()
            if until_s > now
        }

    def find(
        self, segment: Segment, now: float, answered: Address | None = None
    ) -> None:
        """Look the owner of a packet's flow up; `answered` is known not to be it."""
        flow = segment.flow
        lookup = self._get(flow)
        if lookup is not None:
            if len(lookup.packets) < self._settings.lookup_packets:
                lookup.packets.append(segment.data)
            return
        if self._unanswered_until_s.get(flow, 0.0) > now:
            self._outbox.count("packet_dropped", "lookup_unanswered")
            return
        is_free = len(self._lookups) < self._settings.max_lookups
        if is_free and not self._pending and now >= self._next_start_s:
            self._start(segment, answered, now)
            self._pace(1, now)
        elif len(self._pending) < self._settings.max_pending or flow in self._pending:
            self._pending[flow] = segment
        else:
            self._outbox.count("packet_dropped", "lookups")

    def _get(self, flow: bytes) -> _Lookup | None:
        return self._lookups.get(flow) or self._unconfirmed.get(flow)

    def _start_pending(self, now: float) -> None:
        free = self._settings.max_lookups - len(self._lookups)
        count = min(self._settings.lookup_batch, free, len(self._pending))
        for _ in range(count):
            flow = next(iter(self._pending))
            self._start(self._pending.pop(flow), None, now)
        self._pace(count, now)

    def _pace(self, count: int, now: float) -> None:
        """Put off further lookups by the time that `count` take on the link."""
        watched = len(self._members.list_subscribed())
        self._use_link(watched * (HEADER_BYTES + count * QUESTION_BYTES), now)

    def _use_link(self, size: int, now: float) -> None:
        start_s = max(now, self._next_start_s)
        self._next_start_s = start_s + size / self._settings.lookup_bytes_per_s

    def _start(self, segment: Segment, answered: Address | None, now: float) -> None:
        flow = segment.flow
        first, *later = self._list_stages(flow, answered) or [set()]
        token = self._create_token(flow)
        lookup = _Lookup(segment, token, now, [segment.data], first, tuple(later))
        if answered is not None:
            lookup.asked.add(answered)
        self._lookups[flow] = lookup
        self._ask(lookup, now)
        self._proceed(lookup, now)

    def _list_stages(self, flow: bytes, answered: Address | None) -> list[set[Address]]:
        """Return the members in the order in which they are asked.

        The neighbours own most flows. The route may have been moved to other services
        since the flow was opened, so members of other services are asked last.
        """
        route = self._find_route(flow)
        services = {target.service for target in route.targets} if route else set()
        near, far, others = set(), set(), set()
        for member in self._members:
            if member.entry.service not in services:
                others.add(member.entry.address)
            elif member.is_watched:
                near.add(member.entry.address)
            else:
                far.add(member.entry.address)
        stages = (stage - {answered} for stage in (near, far, others))
        return [stage for stage in stages if stage]

    def _ask(self, lookup: _Lookup, now: float) -> None:
        segment = lookup.segment
        lookup.asked |= lookup.unanswered
        for address in lookup.unanswered:
            self._members.expect_message(address, now)
            if address in lookup.unsure:
                lookup.tried.add(address)
                self._outbox.send(address, LookupProbe(lookup.token, segment.data))
                continue
            message = LookupRequest(lookup.token, segment.flow, segment.acknowledgement)
            self._outbox.send(address, message)
        self._wake_at(lookup, now + self._settings.lookup_delays_s[lookup.attempt])

    def _wake_at(self, lookup: _Lookup, due_s: float) -> None:
        lookup.due_s = due_s
        bisect.insort(self._due, (due_s, lookup.token, lookup.segment.flow))

    def _repeat(self, lookup: _Lookup, now: float) -> None:
        if lookup.later:
            # A member that is slow or gone does not keep the others from being asked.
            self._ask_others(lookup, set().union(*lookup.later), now)
            lookup.later = ()
        lookup.attempt += 1
        if lookup.attempt < len(self._settings.lookup_delays_s):
            self._ask(lookup, now)
            return
        lookup.silent += self._count_awaited(lookup, now)
        lookup.unanswered.clear()
        lookup.attempt = 0
        self._proceed(lookup, now)

    def handle_reply(self, sender: Address, message: LookupReply, now: float) -> None:
        """Take a member's answer."""
        self._members.record_message(sender, now)
        flow = self._flows_by_token.get(message.token)
        lookup = None if flow is None else self._get(flow)
        if lookup is None or lookup.token != message.token:
            return
        if flow in self._unconfirmed:
            # A member that was taken for lost may be back meanwhile.
            if message.ownership is Ownership.CERTAIN:
                self._settle(lookup, sender, "certain", now)
            return
        lookup.unanswered.discard(sender)
        match message.ownership:
            case Ownership.CERTAIN:
                self._settle(lookup, sender, "certain", now)
                return
            case Ownership.LIKELY:
                lookup.likely = sender
            case Ownership.UNSURE:
                lookup.unsure.add(sender)
        self._proceed(lookup, now)

    def _proceed(self, lookup: _Lookup, now: float) -> None:
        """Go on once all members asked have answered or were waited for."""
        if self._count_awaited(lookup, now):
            return
        lookup.unanswered.clear()
        untried = lookup.unsure - lookup.tried
        if lookup.later:
            # The owner may be certain, so packets are tried after all were asked.
            stage, *later = lookup.later
            lookup.later = tuple(later)
            self._ask_others(lookup, stage, now)
        elif untried:
            lookup.unanswered = untried
        elif lookup.likely is not None:
            self._settle(lookup, lookup.likely, "likely", now)
            return
        elif added := self._list_added(lookup):
            lookup.unanswered = added
        else:
            self._fail(lookup, now)
            return
        lookup.attempt = 0
        self._ask(lookup, now)

    def _ask_others(self, lookup: _Lookup, addresses: set[Address], now: float) -> None:
        """Add members to those that are asked next."""
        lookup.unanswered |= addresses
        self._use_link(len(addresses) * QUESTION_BYTES, now)

    def _fail(self, lookup: _Lookup, now: float) -> None:
        flow = lookup.segment.flow
        self._remove(lookup, now)
        if lookup.silent or not len(self._members):
            self._unanswered_until_s[flow] = now + self._settings.lookup_pause_s
            self._outbox.count("lookup_ended", "unanswered")
            self._outbox.log("lookup", flow, "unanswered", silent=lookup.silent)
            return
        if lookup.is_confirmed:
            self._reset(lookup)
            return
        self._unconfirmed[flow] = lookup
        self._flows_by_token[lookup.token] = flow
        self._wake_at(lookup, now + self._settings.confirm_timeout_s)
        self._outbox.add(ConfirmMembers())

    def _list_added(self, lookup: _Lookup) -> set[Address]:
        return {member.entry.address for member in self._members} - lookup.asked

    def _reset(self, lookup: _Lookup) -> None:
        reason = "no_owner" if lookup.is_confirmed else "no_owner_known"
        self._outbox.count("lookup_ended", reason)
        self._outbox.reset_caller(lookup.segment, reason)

    def _count_awaited(self, lookup: _Lookup, now: float) -> int:
        """Return how many members have not answered and are not lost."""
        members = (self._members.get(address) for address in lookup.unanswered)
        return sum(
            member is not None and not self._members.is_lost(member, now)
            for member in members
        )

    def _settle(
        self, lookup: _Lookup, owner: Address, outcome: str, now: float
    ) -> None:
        flow = lookup.segment.flow
        self._remove(lookup, now)
        self._on_found(lookup.segment, owner, now)
        self._outbox.count("lookup_ended", outcome)
        self._outbox.observe("lookup", now - lookup.started_s)
        self._outbox.log("lookup", flow, outcome, agent=owner[0])
        # A member that was unsure has delivered the first packet.
        start = 1 if owner in lookup.tried else 0
        for data in lookup.packets[start:]:
            self._outbox.send(owner, Relay(data))

    def _remove(self, lookup: _Lookup, now: float) -> None:
        self._lookups.pop(lookup.segment.flow, None)
        self._unconfirmed.pop(lookup.segment.flow, None)
        self._flows_by_token.pop(lookup.token, None)

    def _create_token(self, flow: bytes) -> int:
        self._token = (self._token + 1) % TOKEN_MODULUS
        self._flows_by_token[self._token] = flow
        return self._token
