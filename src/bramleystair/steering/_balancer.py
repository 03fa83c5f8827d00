"""Steering decisions of a balancer: which agent receives each caller's packet.

Runs in the balancer process; the counterpart on the VM of each backend server is
`steering.agent`.
"""

import random as random_module
from collections.abc import Collection, Iterable

import attrs

from bramleystair.steering._actions import Action, ResetCaller
from bramleystair.steering._balancer_settings import BalancerSteeringSettings
from bramleystair.steering._entries import EntryChange, EntryCondition
from bramleystair.steering._lookups import OwnerLookups
from bramleystair.steering._member import Member
from bramleystair.steering._members import Members
from bramleystair.steering._messages import (
    TOKEN_MODULUS,
    DeclineSlot,
    EntryChanged,
    EntryWithdrawn,
    FlowLost,
    LoadReport,
    LookupReply,
    Message,
    OfferSlot,
    OpenReply,
    Relay,
    StoreRestored,
    Subscribe,
)
from bramleystair.steering._openings import FlowOpener
from bramleystair.steering._outbox import Outbox
from bramleystair.steering._rosters import Roster
from bramleystair.steering._segments import (
    Segment,
    are_of_one_flow,
    get_service_endpoint,
)
from bramleystair.steering._startup_buffer import StartupPacketBuffer
from bramleystair.steering._types import (
    Address,
    MemberEntry,
    Route,
    RoutingRules,
)

# Time for which agents are told of changed entries, so that a few lost datagrams do not
# matter.
CHANGE_ANNOUNCEMENT_S = 3.0


@attrs.define(eq=False)
class _OwnerRecord:
    """Cached owner of a flow.

    Parameters
    ----------
    first_sequence : int or None
        Sequence number of the first packet; None if the owner was looked up.
    sequence : int
        Latest sequence number of the caller.
    acknowledgement : int
        Latest acknowledgement number of the caller, which accepts a reset near it; 0
        before its first packet.
    is_confirmed : bool
        Whether the member's server held the flow for certain: its agent said so, or the
        caller has acknowledged data since the member was recorded. Another server than
        that of the accepted opening may own a flow that was opened at two.
    lost_acknowledgement : int or None
        Acknowledgement number of a packet that the member's server has returned.
    """

    address: Address
    first_sequence: int | None
    last_packet_s: float
    sequence: int
    acknowledgement: int = 0
    is_confirmed: bool = False
    lost_acknowledgement: int | None = None

    def record_packet(self, segment: Segment, now: float) -> None:
        """Record a packet of the caller."""
        self.last_packet_s = now
        if self.acknowledgement not in (0, segment.acknowledgement):
            self.is_confirmed = True
        self.sequence = segment.sequence
        self.acknowledgement = segment.acknowledgement

    def includes(self, segment: Segment) -> bool:
        """Return whether a packet of the caller can be of the flow.

        If not, it belongs to another flow of the same addresses and ports, or many
        packets of both ends went through another balancer. Only one of its numbers is
        far off if it was delayed while one end sent much.
        """
        if segment.is_reset or are_of_one_flow(self.sequence, segment.sequence):
            return True
        return bool(self.acknowledgement) and are_of_one_flow(
            self.acknowledgement, segment.acknowledgement
        )

    def held_flow_of(self, segment: Segment) -> bool:
        """Return whether the server held the flow of a packet that it has returned."""
        return (
            self.is_confirmed
            and self.lost_acknowledgement == segment.acknowledgement
            and are_of_one_flow(self.acknowledgement, segment.acknowledgement)
        )


class BalancerSteering:
    """Choose the agent for each packet of a caller.

    Parameters
    ----------
    settings : BalancerSteeringSettings
        Timeouts and limits.
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
        self.members = Members(settings, zone, name)
        initial_token = random.randrange(TOKEN_MODULUS)
        self._owners: dict[bytes, _OwnerRecord] = {}
        self._outbox = Outbox()
        self._flow_opener = FlowOpener(
            settings,
            self.members,
            self._outbox,
            initial_token,
            lambda: self._rules,
            self._record_opened,
            self._remove_owner,
        )
        self._lookups = OwnerLookups(
            settings,
            self.members,
            self._outbox,
            initial_token,
            self._find_route,
            self._record_owner,
        )
        self._next_subscription_s = 0.0
        self._next_check_s = 0.0
        self._last_event_s: float | None = None
        self._released_members: frozenset[Address] = frozenset()
        self._last_purge_s = 0.0
        self._startup_buffer = StartupPacketBuffer(
            settings.max_pending, settings.hold_s
        )
        self._has_members = False
        self._roster = Roster()
        self._has_evacuated_zones = False
        self.newest_rules_version = 0
        # Message that each subscription is followed by until the given time.
        self._restoration = StoreRestored(0)
        self._announced_until_s = float("-inf")

    def set_owner_lifetime(self, seconds: float) -> None:
        """Change the time for which the owner of an idle flow is cached."""
        self._settings = attrs.evolve(self._settings, owner_lifetime_s=seconds)
        self.members.set_flow_lifetime(seconds)

    @property
    def rules(self) -> RoutingRules | None:
        """Current configuration, or None before the first one."""
        return self._rules

    @property
    def has_initial_state(self) -> bool:
        """Whether the configuration, members and evacuated zones are known."""
        return (
            self._rules is not None and self._has_members and self._has_evacuated_zones
        )

    @property
    def flow_count(self) -> int:
        """Number of flows whose owner is cached."""
        return len(self._owners)

    def handle_members_confirmed(self, now: float) -> list[Action]:
        """Resume the lookups that waited, now that the set of members is confirmed."""
        self._lookups.handle_members_confirmed(now)
        return self._outbox.take()

    def compute_wait(self, now: float) -> float:
        """Return the seconds until `run_timers` has to be called next."""
        if self._startup_buffer and self.has_initial_state:
            return 0.0
        due_s = min(
            self._next_subscription_s,
            self._next_check_s,
            self._lookups.due_s,
            self._flow_opener.due_s,
            self._startup_buffer.due_s,
        )
        return max(0.0, due_s - now)

    def set_rules(self, rules: RoutingRules) -> None:
        """Apply a configuration unless it is older than the current one."""
        if self._rules is not None and rules.version <= self._rules.version:
            return
        self._rules = rules
        self._outbox.version = rules.version
        self._flow_opener.apply_rules(rules)
        self.newest_rules_version = max(self.newest_rules_version, rules.version)

    def set_members(
        self,
        entries: Iterable[MemberEntry],
        now: float,
        changes: Collection[EntryChange] = (),
        roster: Roster | None = None,
    ) -> list[Action]:
        """Replace the members by the published ones, except for unlisted members.

        Parameters
        ----------
        changes : collection of EntryChange
            Changes of which the agents are told.
        roster : Roster or None
            Copies of the roster; None if they have not changed.
        """
        self._has_members = True
        unlisted = self.members.update(entries, now)
        hosts = self.members.index_by_host()
        unknown = {
            change.address: change.condition.value
            for change in changes
            if self._find_member(change, hosts) is None
            and change.condition
            not in (EntryCondition.READABLE, EntryCondition.MISSING)
        }
        # All at once, since another writer may add any number of entries.
        added = self.members.add_unlisted(unknown, now)
        hosts |= {member.entry.address[0]: member for member in added}
        for member in added:
            self._subscribe(member.entry.address, now)
        for change in changes:
            self._announce_change(change, hosts, now)
        for member in added:
            self._record_unlisted("added", unknown[member.entry.address], member)
        conditions = {change.address[0]: change.condition for change in changes}
        for member in unlisted:
            address = member.entry.address
            if member.is_withdrawn(now):
                self._withdraw(address, now)
                continue
            condition = conditions.get(address[0], EntryCondition.MISSING)
            self._record_unlisted("kept", condition.value, member)
            self._subscribe(address, now)
        if roster is not None:
            self._use_roster(roster, now)
        return self._outbox.take()

    def set_roster(self, roster: Roster, now: float) -> list[Action]:
        """Use the copies of the roster, and query members that only they name."""
        self._use_roster(roster, now)
        return self._outbox.take()

    def _use_roster(self, roster: Roster, now: float) -> None:
        self._roster = roster
        self._subscribe_to_added(self.members.set_roster(roster, now), now)

    def _subscribe_to_added(self, added: Iterable[Member], now: float) -> None:
        """Tell the agents that only a roster names that their entries are missing."""
        for member in added:
            member.change = EntryChanged(
                self._roster.epoch, self._roster.revision, is_missing=True
            )
            self._subscribe(member.entry.address, now)
            self._record_unlisted("added", "roster", member)

    def _find_member(
        self, change: EntryChange, hosts: dict[str, Member]
    ) -> Member | None:
        """Return the member whose entry has changed, or None."""
        member = self.members.get(change.address)
        if member is None and change.condition is not EntryCondition.OTHER_PORT:
            member = hosts.get(change.address[0])
        return member

    def _announce_change(
        self, change: EntryChange, hosts: dict[str, Member], now: float
    ) -> None:
        """Tell the agent of a changed entry, which may be another writer's."""
        member = self._find_member(change, hosts)
        if member is None:
            return
        is_missing = change.condition is EntryCondition.MISSING
        member.change = EntryChanged(change.epoch, change.revision, is_missing)
        member.change_announced_until_s = now + CHANGE_ANNOUNCEMENT_S
        self._outbox.send(member.entry.address, member.change)

    def _handle_withdrawal(self, sender: Address, now: float) -> None:
        self.members.record_message(sender, now)
        self._withdraw(sender, now)

    def _withdraw(self, address: Address, now: float) -> None:
        member = self.members.withdraw(address, now)
        if member is not None:
            self._record_unlisted("dropped", "withdrawn", member)

    def _record_unlisted(self, outcome: str, reason: str, member: Member) -> None:
        """Count and log what becomes of a member without a usable entry."""
        self._outbox.count(f"member_{outcome}", reason)
        change = member.change
        self._outbox.log(
            "member",
            b"",
            outcome,
            reason=reason,
            agent=member.entry.address[0],
            revision=None if change is None else change.revision,
        )

    def handle_restoration(
        self, epoch: int, until_s: float, now: float
    ) -> list[Action]:
        """Expect more members until then, and tell agents of the store's new epoch.

        An agent whose response of the store was lost does not know that its entry may
        be lost as well.
        """
        self.members.expect_more(until_s)
        self._restoration = StoreRestored(epoch)
        self._announced_until_s = until_s
        for member in self.members.list_subscribed():
            self._subscribe(member.entry.address, now)
        return self._outbox.take()

    def set_evacuated_zones(self, zones: Collection[str]) -> None:
        """Set the availability zones in which no new flows are placed."""
        self._has_evacuated_zones = True
        self.members.set_evacuated_zones(zones)

    def handle_segment(self, segment: Segment, now: float) -> list[Action]:
        """Return the actions for a packet of a caller."""
        self._detect_pause(now)
        if self.has_initial_state:
            self._handle_segment(segment, now)
        else:
            self._startup_buffer.add(segment, now)
        return self._outbox.take()

    def handle_message(
        self, sender: Address, message: Message, now: float
    ) -> list[Action]:
        """Return the actions for a message of an agent."""
        self._detect_pause(now)
        match message:
            case OpenReply():
                self._handle_open_reply(sender, message, now)
            case LookupReply():
                self._lookups.handle_reply(sender, message, now)
            case OfferSlot():
                self._handle_offer(sender, now)
            case EntryWithdrawn():
                self._handle_withdrawal(sender, now)
            case LoadReport(load, rules_version):
                self.members.record_load(sender, load, now)
                self.newest_rules_version = max(
                    self.newest_rules_version, rules_version
                )
            case FlowLost(flow, acknowledgement):
                owner = self._owners.get(flow)
                if owner is not None and owner.address == sender:
                    owner.lost_acknowledgement = acknowledgement
            case _:
                self._outbox.count("message_dropped", "unexpected")
        return self._outbox.take()

    def handle_returned_packet(
        self, sender: Address, segment: Segment, now: float
    ) -> list[Action]:
        """Return the actions for a packet that a non-owner of its flow returned."""
        self._detect_pause(now)
        self.members.record_message(sender, now)
        owner = self._owners.get(segment.flow)
        if owner is not None and owner.address == sender:
            del self._owners[segment.flow]
            was_held = owner.held_flow_of(segment)
            if was_held:
                self._lookups.record_former_owner(segment, sender, now)
            self._outbox.log(
                "owner_lost",
                segment.flow,
                "lookup",
                agent=sender[0],
                was_held=was_held,
            )
        if segment.is_reset or segment.is_syn:
            return self._outbox.take()
        self._lookups.look_up(segment, now, non_owner=sender)
        return self._outbox.take()

    def run_timers(self, now: float) -> list[Action]:
        """Return the actions that are due."""
        self._detect_pause(now)
        self._flow_opener.run_timers(now)
        self._lookups.run_timers(now)
        if now >= self._next_subscription_s:
            self._renew_subscriptions(now)
        self._process_startup_buffer(now)
        if now >= self._next_check_s:
            self._check_members(now)
        return self._outbox.take()

    def shut_down(self, now: float) -> list[Action]:
        """Refuse or drop flows that no member has accepted, as the process stops."""
        self._flow_opener.shut_down(now)
        return self._outbox.take()

    def _detect_pause(self, now: float) -> None:
        """Detect a pause of this process, and exclude it from the members' silence."""
        elapsed_s = 0.0 if self._last_event_s is None else now - self._last_event_s
        self._last_event_s = now
        if elapsed_s > self._settings.pause_s:
            self._outbox.log("pause", b"", "noticed", seconds=round(elapsed_s, 2))
            self.members.discount_pause(elapsed_s)

    def _check_members(self, now: float) -> None:
        """Ask silent members for their load, and release the flows of lost ones."""
        self._next_check_s = now + self._settings.check_s
        self.members.refresh_neighbours(now)
        for address in self.members.list_probe_targets(now):
            self._subscribe(address, now)
        self._release_lost_flows(now)
        for member in self.members.remove_gone(now):
            reason = "silent" if member.is_named else "lost"
            self._record_unlisted("dropped", reason, member)
        self._subscribe_to_added(self.members.add_named(now), now)

    def _process_startup_buffer(self, now: float) -> None:
        """Handle the buffered packets, or refuse those that have expired."""
        if self.has_initial_state:
            for segment in self._startup_buffer.take_all():
                self._handle_segment(segment, now)
            return
        for segment in self._startup_buffer.take_expired(now):
            if segment.is_syn:
                self._outbox.count("flow_refused", "not_informed")
                self._outbox.reset_caller(segment, "not_informed")
            else:
                self._outbox.count("packet_dropped", "not_informed")

    def _handle_segment(self, segment: Segment, now: float) -> None:
        if segment.is_syn:
            self._handle_first_packet(segment, now)
        else:
            self._handle_later_packet(segment, now)

    def _handle_first_packet(self, segment: Segment, now: float) -> None:
        route = self._find_route(segment.flow)
        if route is None:
            self._outbox.count("flow_refused", "no_route")
            self._outbox.reset_caller(segment, "no_route")
            return
        if self._flow_opener.handle_copy(segment, now):
            return
        owner = self._owners.get(segment.flow)
        if owner is not None and owner.first_sequence == segment.sequence:
            self._outbox.send(owner.address, Relay(segment.data))
            return
        self._remove_owner(segment.flow)
        self._flow_opener.start(segment, route, now)

    def _find_route(self, flow: bytes) -> Route | None:
        if self._rules is None:
            return None
        return self._rules.routes.get(get_service_endpoint(flow))

    def _handle_open_reply(
        self, sender: Address, message: OpenReply, now: float
    ) -> None:
        member = self.members.record_message(sender, now)
        if member is not None:
            member.set_load(message.load)
        self._flow_opener.handle_reply(sender, message, now)

    def _handle_offer(self, sender: Address, now: float) -> None:
        member = self.members.record_message(sender, now)
        if member is None or not self._flow_opener.assign_slot(member, now):
            self._outbox.send(sender, DeclineSlot())

    def _record_opened(self, segment: Segment, owner: Address, now: float) -> None:
        self._lookups.forget(segment.flow)
        self._owners[segment.flow] = _OwnerRecord(
            owner, segment.sequence, now, segment.sequence
        )
        self._subscribe_to_owner(owner, now)

    def _remove_owner(self, flow: bytes) -> None:
        self._owners.pop(flow, None)

    def _handle_later_packet(self, segment: Segment, now: float) -> None:
        owner = self._owners.get(segment.flow)
        if owner is not None and not owner.includes(segment):
            self._outbox.count("flow_mismatch", "owner")
            self._remove_owner(segment.flow)
            owner = None
        if owner is not None:
            owner.record_packet(segment, now)
            if segment.is_reset:
                del self._owners[segment.flow]
            self._outbox.send(owner.address, Relay(segment.data))
            return
        member = self._flow_opener.get_current_member(segment.flow)
        if member is not None:
            # The caller's next packet may arrive before the agent's reply.
            self._outbox.send(member, Relay(segment.data))
            return
        self._flow_opener.drop_unless_member_asked(segment.flow)
        if segment.is_reset:
            self._outbox.count("packet_dropped", "reset_without_owner")
            return
        self._lookups.look_up(segment, now)

    def _record_owner(
        self, segment: Segment, owner: Address, now: float, is_certain: bool = False
    ) -> None:
        self._owners[segment.flow] = _OwnerRecord(
            owner, None, now, segment.sequence, segment.acknowledgement, is_certain
        )
        self._subscribe_to_owner(owner, now)

    def _subscribe_to_owner(self, address: Address, now: float) -> None:
        """Subscribe to a flow owner's load reports, which show that it is alive."""
        if self.members.mark_owner_subscribed(address, now):
            self._subscribe(address, now)

    def _renew_subscriptions(self, now: float) -> None:
        self._next_subscription_s = now + self.members.compute_subscription_period()
        # Members that have not answered a request are sent subscriptions until they
        # answer; otherwise one lost datagram would make them count as lost for good.
        for member in self.members.list_subscription_targets():
            self._subscribe(member.entry.address, now)
        if now - self._last_purge_s < self._settings.owner_lifetime_s / 4:
            return
        self._last_purge_s = now
        oldest_s = now - self._settings.owner_lifetime_s
        self._lookups.purge(oldest_s, now)
        for flow in [f for f, o in self._owners.items() if o.last_packet_s < oldest_s]:
            del self._owners[flow]
        self.members.retain_owners({o.address for o in self._owners.values()}, now)

    def _subscribe(self, address: Address, now: float) -> None:
        version = 0 if self._rules is None else self._rules.version
        self._outbox.send(address, Subscribe(version))
        if now < self._announced_until_s:
            self._outbox.send(address, self._restoration)
        member = self.members.get(address)
        change = None if member is None else member.get_announced_change(now)
        if change is not None:
            self._outbox.send(address, change)

    def _release_lost_flows(self, now: float) -> None:
        """Reset the flows of newly lost members, unless this balancer is isolated."""
        if self.members.is_isolated(now):
            return
        known = self._released_members
        self._released_members = self.members.list_released(now)
        lost = self._released_members - known
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
        """Return whether no member is heard, which indicates a network partition."""
        return self.members.is_isolated(now)
