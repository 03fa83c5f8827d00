"""Decisions of a balancer: which agent receives each packet of a caller."""

import random as random_module
from collections.abc import Collection, Iterable

import attrs

from bramleystair.steering._balancer_settings import BalancerSteeringSettings
from bramleystair.steering._events import Action, ResetCaller
from bramleystair.steering._held_packets import HeldPackets
from bramleystair.steering._lookups import OwnerLookups
from bramleystair.steering._members import Members
from bramleystair.steering._messages import (
    TOKEN_MODULUS,
    DeclineSlot,
    LoadReport,
    LookupReply,
    Message,
    OfferSlot,
    OpenReply,
    Relay,
    Subscribe,
)
from bramleystair.steering._openings import Openings
from bramleystair.steering._outbox import Outbox
from bramleystair.steering._segments import Segment, get_service_endpoint
from bramleystair.steering._types import (
    Address,
    MemberEntry,
    Route,
    RoutingRules,
)


@attrs.define(eq=False)
class _Owner:
    """Remembered owner of a flow.

    Parameters
    ----------
    acknowledgement : int
        What the caller acknowledged last, near which it accepts a reset.
    """

    address: Address
    first_sequence: int | None
    seen_s: float
    acknowledgement: int = 0


class BalancerSteering:
    """Choose the agent for each packet of a caller.

    Parameters
    ----------
    settings : BalancerSteeringSettings
        Times and limits.
    random : random.Random
        Source of random choices.
    zone, name : str
        Availability zone and name of the balancer.
    """

    def __init__(
        self,
        settings: BalancerSteeringSettings,
        random: random_module.Random,
        zone: str = "",
        name: str = "",
    ) -> None:
        self._settings = settings
        self._rules: RoutingRules | None = None
        self.members = Members(settings, random, zone, name)
        first_token = random.randrange(TOKEN_MODULUS)
        self._owners: dict[bytes, _Owner] = {}
        self._outbox = Outbox()
        self._openings = Openings(
            settings,
            self.members,
            self._outbox,
            first_token,
            lambda: self._rules,
            self._record_opened,
            self._forget_owner,
        )
        self._lookups = OwnerLookups(
            settings,
            self.members,
            self._outbox,
            first_token,
            self._find_route,
            self._remember_owner,
        )
        self._subscribe_s = 0.0
        self._check_s = 0.0
        self._event_s: float | None = None
        self._lost: frozenset[Address] = frozenset()
        self._purged_s = 0.0
        self._held = HeldPackets(settings.max_pending, settings.hold_s)
        self._has_members = False
        self._has_zones = False
        self.newest_rules_version = 0

    def set_owner_lifetime(self, seconds: float) -> None:
        """Change the time for which the owner of an idle flow is remembered."""
        self._settings = attrs.evolve(self._settings, owner_lifetime_s=seconds)

    @property
    def rules(self) -> RoutingRules | None:
        """Configuration in force, or None before the first one."""
        return self._rules

    @property
    def has_initial_state(self) -> bool:
        """Whether configuration, members and evacuated zones are known."""
        return self._rules is not None and self._has_members and self._has_zones

    @property
    def flow_count(self) -> int:
        """Number of flows whose owner is remembered."""
        return len(self._owners)

    def confirm_members(self, now: float) -> list[Action]:
        """End the lookups that waited for the members to be known completely."""
        self._lookups.confirm_members(now)
        return self._outbox.take()

    def compute_wait(self, now: float) -> float:
        """Return the seconds until `run_timers` has something to do."""
        if self._held and self.has_initial_state:
            return 0.0
        due_s = min(
            self._subscribe_s,
            self._check_s,
            self._lookups.due_s,
            self._openings.due_s,
            self._held.due_s,
        )
        return max(0.0, due_s - now)

    def set_rules(self, rules: RoutingRules) -> None:
        """Apply a configuration; an older one is ignored."""
        if self._rules is not None and rules.version <= self._rules.version:
            return
        self._rules = rules
        self._outbox.version = rules.version
        self._openings.apply_rules(rules)
        self.newest_rules_version = max(self.newest_rules_version, rules.version)

    def set_members(self, entries: Iterable[MemberEntry], now: float) -> None:
        """Take over the published members."""
        self._has_members = True
        self.members.update(entries, now)

    def set_evacuated_zones(self, zones: Collection[str]) -> None:
        """Place no new flows in these availability zones."""
        self._has_zones = True
        self.members.set_evacuated_zones(zones)

    def handle_segment(self, segment: Segment, now: float) -> list[Action]:
        """Return the actions for a packet of a caller."""
        self._note_event(now)
        if self.has_initial_state:
            self._handle_segment(segment, now)
        else:
            self._held.add(segment, now)
        return self._outbox.take()

    def handle_message(
        self, sender: Address, message: Message, now: float
    ) -> list[Action]:
        """Return the actions for a message of an agent."""
        self._note_event(now)
        match message:
            case OpenReply():
                self._handle_open_reply(sender, message, now)
            case LookupReply():
                self._lookups.handle_reply(sender, message, now)
            case OfferSlot():
                self._handle_offer(sender, now)
            case LoadReport(load, rules_version):
                self.members.record_load(sender, load, now)
                self.newest_rules_version = max(
                    self.newest_rules_version, rules_version
                )
            case _:
                self._outbox.count("message_dropped", "unexpected")
        return self._outbox.take()

    def handle_returned_packet(
        self, sender: Address, segment: Segment, now: float
    ) -> list[Action]:
        """Return the actions for a packet whose flow the sender does not own."""
        self._note_event(now)
        self.members.record_message(sender, now)
        owner = self._owners.get(segment.flow)
        if owner is not None and owner.address == sender:
            del self._owners[segment.flow]
            self._outbox.log("owner_lost", segment.flow, "lookup", agent=sender[0])
        if segment.is_reset or segment.is_syn:
            return self._outbox.take()
        self._lookups.find(segment, now, answered=sender)
        return self._outbox.take()

    def run_timers(self, now: float) -> list[Action]:
        """Return the actions that are due."""
        self._note_event(now)
        self._openings.run_timers(now)
        self._lookups.run_timers(now)
        if now >= self._subscribe_s:
            self._subscribe(now)
        self._end_holds(now)
        if now >= self._check_s:
            self._check_members(now)
        return self._outbox.take()

    def shut_down(self, now: float) -> list[Action]:
        """Refuse the callers that no member has taken, since this process ends."""
        self._openings.end(now)
        return self._outbox.take()

    def _note_event(self, now: float) -> None:
        """Notice that this process did not run for a while."""
        elapsed_s = 0.0 if self._event_s is None else now - self._event_s
        self._event_s = now
        if elapsed_s > self._settings.pause_s:
            self._outbox.log("pause", b"", "noticed", seconds=round(elapsed_s, 2))
            self.members.excuse_silence(elapsed_s)

    def _check_members(self, now: float) -> None:
        """Ask silent members for their load, and give up the flows of lost ones."""
        self._check_s = now + self._settings.check_s
        self.members.refresh_neighbours(now)
        for address in self.members.list_silent(now):
            self._outbox.send(address, self._build_subscription())
        self._release_lost(now)

    def _end_holds(self, now: float) -> None:
        """Handle the packets held, or give up those held for too long."""
        if self.has_initial_state:
            for segment in self._held.take():
                self._handle_segment(segment, now)
            return
        for segment in self._held.take_expired(now):
            if segment.is_syn:
                self._outbox.count("flow_refused", "not_informed")
                self._outbox.reset_caller(segment, "not_informed")
            else:
                self._outbox.count("packet_dropped", "not_informed")

    def _handle_segment(self, segment: Segment, now: float) -> None:
        if segment.is_syn:
            self._handle_first(segment, now)
        else:
            self._handle_later(segment, now)

    def _handle_first(self, segment: Segment, now: float) -> None:
        route = self._find_route(segment.flow)
        if route is None:
            self._outbox.count("flow_refused", "no_route")
            self._outbox.reset_caller(segment, "no_route")
            return
        if self._openings.repeat(segment, now):
            return
        owner = self._owners.get(segment.flow)
        if owner is not None and owner.first_sequence == segment.sequence:
            self._outbox.send(owner.address, Relay(segment.data))
            return
        self._forget_owner(segment.flow)
        self._openings.start(segment, route, now)

    def _find_route(self, flow: bytes) -> Route | None:
        if self._rules is None:
            return None
        return self._rules.routes.get(get_service_endpoint(flow))

    def _handle_open_reply(
        self, sender: Address, message: OpenReply, now: float
    ) -> None:
        member = self.members.record_message(sender, now)
        if member is not None:
            member.load = message.load
        self._openings.handle_reply(sender, message, now)

    def _handle_offer(self, sender: Address, now: float) -> None:
        member = self.members.record_message(sender, now)
        if member is None or not self._openings.use_slot(member, now):
            self._outbox.send(sender, DeclineSlot())

    def _record_opened(self, segment: Segment, agent: Address, now: float) -> None:
        self._owners[segment.flow] = _Owner(agent, segment.sequence, now)
        self._watch_owner(agent, now)

    def _forget_owner(self, flow: bytes) -> None:
        self._owners.pop(flow, None)

    def _handle_later(self, segment: Segment, now: float) -> None:
        owner = self._owners.get(segment.flow)
        if owner is not None:
            owner.seen_s = now
            owner.acknowledgement = segment.acknowledgement
            if segment.is_reset:
                del self._owners[segment.flow]
            self._outbox.send(owner.address, Relay(segment.data))
            return
        member = self._openings.get_member(segment.flow)
        if member is not None:
            # The caller's answer may be faster than the agent's.
            self._outbox.send(member, Relay(segment.data))
            return
        self._openings.forget_opened(segment.flow)
        if segment.is_reset:
            self._outbox.count("packet_dropped", "reset_without_owner")
            return
        self._lookups.find(segment, now)

    def _remember_owner(self, segment: Segment, owner: Address, now: float) -> None:
        self._owners[segment.flow] = _Owner(owner, None, now, segment.acknowledgement)
        self._watch_owner(owner, now)

    def _watch_owner(self, address: Address, now: float) -> None:
        """Ask the owner of a flow for reports, which show that it lives."""
        if self.members.watch_owner(address, now):
            self._outbox.send(address, self._build_subscription())

    def _subscribe(self, now: float) -> None:
        self._subscribe_s = now + self.members.compute_period()
        # Those that have not answered a question are asked until they are heard, since
        # their silence alone must not make them count as lost for good.
        for member in self.members.list_awaited():
            self._outbox.send(member.entry.address, self._build_subscription())
        if now - self._purged_s < self._settings.owner_lifetime_s / 4:
            return
        self._purged_s = now
        self._lookups.purge(now)
        oldest_s = now - self._settings.owner_lifetime_s
        for flow in [f for f, o in self._owners.items() if o.seen_s < oldest_s]:
            del self._owners[flow]
        self.members.keep_owners({o.address for o in self._owners.values()}, now)

    def _build_subscription(self) -> Subscribe:
        return Subscribe(0 if self._rules is None else self._rules.version)

    def _release_lost(self, now: float) -> None:
        """Reset the flows of members that fell silent while others are heard."""
        if self.members.is_isolated(now):
            return
        known, self._lost = self._lost, self.members.list_lost(now)
        lost = self._lost - known
        if not lost:
            return
        for flow, owner in list(self._owners.items()):
            if owner.address not in lost:
                continue
            del self._owners[flow]
            if owner.acknowledgement:
                self._outbox.add(ResetCaller(flow, owner.acknowledgement))
                self._outbox.count("flow_released", "member_lost")
                self._outbox.log("reset", flow, "member_lost", agent=owner.address[0])

    def is_isolated(self, now: float) -> bool:
        """Return whether the balancer hears no member, as when it is cut off."""
        return self.members.is_isolated(now)
