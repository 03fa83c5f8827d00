"""The members known to a balancer, and the choice of a member for a new flow.

Runs in the balancer process; each member is an agent and its backend server, and the
agent sends the messages that are recorded here.
"""

from collections.abc import Collection, Iterable

from bramleystair.steering._balancer_settings import BalancerSteeringSettings
from bramleystair.steering._flow_ranking import select_highest
from bramleystair.steering._member import Member
from bramleystair.steering._neighbours import select_neighbours
from bramleystair.steering._rosters import Roster, RosterChange
from bramleystair.steering._types import Address, Load, MemberEntry, ServerState

# Maximum number of members that only a roster names and that have not been heard.
# Others are added once these are heard or removed: odd rosters then cost few queries,
# and any number of agents is still found within seconds.
MAX_UNHEARD_NAMED = 256
# Number of unlisted members that were never heard to which a subscription is sent each
# time, in turn, so that the others are sent theirs in time.
UNHEARD_SUBSCRIPTIONS = 32


class Members:
    """The members of all services.

    These terms describe a member:

    - subscribed: the balancer subscribes to its load reports.
    - suspect: it did not answer an open request, and is avoided with backoff.
    - stale: its last message is older than `stale_after_s`.
    - responsive: subscribed, and neither suspect nor stale.
    - lost: its silence implies that its VM is gone; see `is_lost`.
    - unlisted: the store has no usable entry of it, for example because another writer
      has replaced or removed it. The member is kept, and subscribed, until it is lost
      or its agent says that it has withdrawn its entry.
    - named: a copy of the roster names it; see `_rosters`. It is kept until its agent
      says that it has withdrawn its entry, until it was silent for the lifetime of a
      flow, or until no copy names it.
    - eligible: new flows may be placed on it; see `is_eligible`.
    - candidate: an eligible member of the service in question.
    - busy: it refused a flow as busy within the last `round_delay_s`.
    - accepting: its last load report, if any, says that it accepts new flows.
    - failing: its last message says that requests at its server fail, and is not
      stale.
    - unavailable: its last load report says that it refuses new flows for a reason
      other than load.
    - unusable: not eligible, unavailable or lost; it does not count towards the number
      of neighbours.

    The balancer itself is isolated if it hears no subscribed member.

    Parameters
    ----------
    settings : BalancerSteeringSettings
        Timeouts for silent members, and weights for the choice.
    zone, name : str
        Availability zone and name of the balancer.
    """

    def __init__(
        self,
        settings: BalancerSteeringSettings,
        zone: str = "",
        name: str = "",
    ) -> None:
        self._settings = settings
        self._zone = zone
        self._name = name
        self._members: dict[Address, Member] = {}
        self._evacuated_zones: frozenset[str] = frozenset()
        self._neighbours: frozenset[Address] = frozenset()
        self._unusable: frozenset[Address] = frozenset()
        # Members other than the neighbours that own flows in this balancer's cache.
        self._subscribed_owners: frozenset[Address] = frozenset()
        self._incomplete_until_s = float("-inf")
        self._published: tuple[MemberEntry, ...] = ()
        self._flow_lifetime_s = settings.owner_lifetime_s
        self._roster = Roster()
        # Addresses that a copy of the roster names although they were removed here.
        self._removed: frozenset[Address] = frozenset()
        # Counts the changes of what a roster is to name.
        self.roster_generation = 0
        self._agreement: tuple[int, bool] = (-1, False)
        self._next_unheard = 0

    def __iter__(self):
        """Iterate over all members."""
        return iter(self._members.values())

    def __len__(self) -> int:
        """Return the number of members."""
        return len(self._members)

    def get(self, address: Address) -> Member | None:
        """Return the member at `address`, or None."""
        return self._members.get(address)

    def update(self, entries: Iterable[MemberEntry], now: float) -> list[Member]:
        """Apply the published entries, and keep the state of known members.

        Returns
        -------
        list of Member
            Members that are newly unlisted.
        """
        self._published = tuple(entries)
        listed = {entry.address for entry in self._published}
        listed_hosts = {entry.address[0] for entry in self._published}
        gone = self._list_gone(now)
        # A member that was never heard may never have been at the address which an
        # earlier entry named.
        kept = {
            address: member
            for address, member in self._members.items()
            if address not in listed
            and address not in gone
            and (member.has_been_heard or address[0] not in listed_hosts)
        }
        kept_hosts = {address[0] for address in kept}
        members = {}
        for entry in self._published:
            known = self._members.get(entry.address)
            if known is None:
                # An entry that names another port of a member that lives is not its.
                if entry.address[0] not in kept_hosts:
                    members[entry.address] = Member(entry, now)
                continue
            if (known.entry.server, known.entry.started_ms) != (
                entry.server,
                entry.started_ms,
            ):
                known.load = None
            known.set_entry(entry, now)
            known.is_unlisted = False
            members[entry.address] = known
        newly_unlisted = [m for m in kept.values() if not m.is_unlisted]
        for member in newly_unlisted:
            member.is_unlisted = True
            member.has_answered = False
        self._members = members | kept
        self._removed = self._removed.difference(members)
        self.roster_generation += 1
        self.reselect_neighbours(now)
        return newly_unlisted

    def list_unlisted_hosts(self) -> set[str]:
        """Return the hosts of the unlisted members."""
        return {member.entry.address[0] for member in self if member.is_unlisted}

    def index_by_host(self) -> dict[str, Member]:
        """Return the members by host; any one of those at the same host."""
        return {member.entry.address[0]: member for member in self}

    def add_unlisted(self, addresses: Iterable[Address], now: float) -> list[Member]:
        """Add members whose entries cannot be read; they can only be queried."""
        added = []
        for address in addresses:
            entry = MemberEntry(address, "", "", ServerState.DRAINING, 0)
            member = self._members[address] = Member(entry, now, is_unlisted=True)
            member.is_named = address in self._roster.named
            added.append(member)
        if added:
            self._removed = self._removed.difference(self._members)
            self.roster_generation += 1
            self.reselect_neighbours(now)
        return added

    def withdraw(self, address: Address, now: float) -> Member | None:
        """Remove and return the unlisted member that has withdrawn its entry.

        A member whose entry is still listed is removed once it is not.
        """
        member = self._members.get(address)
        if member is None:
            return None
        member.withdrawn_s = now
        if not member.is_unlisted:
            return None
        self._remove_unlisted({address}, now)
        return member

    def remove_gone(self, now: float) -> list[Member]:
        """Remove and return the unlisted members that are lost."""
        gone = self._list_gone(now)
        removed = [m for m in self if m.is_unlisted and m.entry.address in gone]
        if removed:
            self._remove_unlisted({member.entry.address for member in removed}, now)
        return removed

    def _remove_unlisted(self, addresses: Collection[Address], now: float) -> None:
        """Remove members, in whose place other entries of their hosts may be used."""
        for address in addresses:
            del self._members[address]
        self._removed |= self._roster.named & frozenset(addresses)
        self.update(self._published, now)

    def _list_gone(self, now: float) -> frozenset[Address]:
        """Return the lost members, or none if this balancer is isolated instead.

        A named one may be an agent that is away for some time, whose server lives.
        """
        is_isolated = self.is_isolated(now)
        if is_isolated and not all(member.is_unlisted for member in self):
            return frozenset()
        oldest_s = float("-inf") if is_isolated else now - self._flow_lifetime_s
        return frozenset(
            address
            for address in self.list_lost(now)
            if not self._members[address].is_named
            or self._members[address].last_heard_s < oldest_s
        )

    def set_flow_lifetime(self, seconds: float) -> None:
        """Set the silence after which a member that a roster names is removed."""
        self._flow_lifetime_s = seconds

    def set_roster(self, roster: Roster, now: float) -> list[Member]:
        """Use the copies of the roster in the store; return members that are added.

        A name that is missing in some copies counts, as another writer may have changed
        the others. If all copies agree, a balancer has removed it.
        """
        self._roster = roster
        for address, member in self._members.items():
            if address in roster.named:
                member.is_named = True
            elif roster.agreed is not None:
                member.is_named = False
        self._removed &= roster.named
        self.roster_generation += 1
        return self.add_named(now)

    def add_named(self, now: float) -> list[Member]:
        """Add the members that only the roster names, a limited number at a time."""
        missing = self._roster.named.difference(self._members, self._removed)
        if not missing:
            return []
        unheard = sum(m.is_named and not m.has_been_heard for m in self)
        if unheard >= MAX_UNHEARD_NAMED:
            return []
        first = self._roster.list_first(missing, MAX_UNHEARD_NAMED - unheard)
        return self.add_unlisted(first, now)

    def writes_roster(self) -> bool:
        """Return whether this balancer has written most copies of the roster."""
        return self._roster.find_writer() == self._name

    def list_roster_changes(self) -> list[RosterChange]:
        """Return the objects to write so that the roster names all members."""
        return self._roster.list_changes(
            {
                address
                for address, member in self._members.items()
                if address[1] == self._roster.port
                and (not member.is_unlisted or member.is_named or member.has_answered)
            },
            self._name,
        )

    def is_roster_complete(self, now: float) -> bool:
        """Return whether the members are all that exist, on the word of the roster.

        That is so if all copies of all its parts are present, can be read and name
        exactly the members of this balancer, as of a response of the store. A living
        agent that a roster has named is then unknown only if another writer has changed
        four objects, its entry and the three copies, before any balancer wrote one of
        them again. One changed, odd or missing copy makes the answer False until a
        balancer has written it again, within 2 to 4 s.
        """
        if self.may_be_incomplete(now) or not self._roster.revision:
            return False
        generation, is_agreed = self._agreement
        if generation != self.roster_generation:
            is_agreed = self._roster.agreed == self._members.keys()
            self._agreement = self.roster_generation, is_agreed
        return is_agreed

    def expect_more(self, until_s: float) -> None:
        """Record that members may be missing until then.

        The store was restored from an older copy, and agents publish themselves again.
        """
        self._incomplete_until_s = until_s

    def may_be_incomplete(self, now: float) -> bool:
        """Return whether there may be members that this balancer does not know."""
        return now < self._incomplete_until_s

    def set_evacuated_zones(self, zones: Collection[str]) -> None:
        """Set the availability zones in which no new flows are placed."""
        self._evacuated_zones = frozenset(zones)

    def refresh_neighbours(self, now: float) -> None:
        """Reselect the neighbours if the set of usable members has changed."""
        for member in self:
            member.confirm_zone(now)
        if self._list_unusable(now) != self._unusable:
            self.reselect_neighbours(now)

    def reselect_neighbours(self, now: float) -> None:
        """Reselect the neighbours, and update which members are subscribed.

        These are the neighbours, the owners of flows in this balancer's cache and the
        unlisted members.
        """
        settings = self._settings
        self._unusable = self._list_unusable(now)
        self._neighbours = select_neighbours(
            self,
            self._zone,
            self._name,
            settings.least_neighbours,
            settings.most_neighbours,
            lambda member: member.entry.address not in self._unusable,
        )
        subscribed = self._neighbours | self._subscribed_owners
        for address, member in self._members.items():
            if address in subscribed or member.is_unlisted:
                member.mark_subscribed(now)
            elif member.is_subscribed:
                member.mark_unsubscribed()

    def list_subscribed(self) -> list[Member]:
        """Return the members whose load reports this balancer subscribes to."""
        return [member for member in self if member.is_subscribed]

    def list_expected_senders(self) -> list[Member]:
        """Return the members that are subscribed or have not answered a request yet."""
        return [member for member in self if member.is_message_expected]

    def list_subscription_targets(self) -> list[Member]:
        """Return the expected senders to which a subscription is sent now."""
        expected = self.list_expected_senders()
        unheard = [member for member in expected if member.is_unknown]
        if len(unheard) <= UNHEARD_SUBSCRIPTIONS:
            return expected
        self._next_unheard %= len(unheard)
        rotated = unheard[self._next_unheard :] + unheard[: self._next_unheard]
        self._next_unheard += UNHEARD_SUBSCRIPTIONS
        heard = [member for member in expected if not member.is_unknown]
        return heard + rotated[:UNHEARD_SUBSCRIPTIONS]

    def mark_owner_subscribed(self, address: Address, now: float) -> bool:
        """Mark a member that owns a flow as subscribed; return whether that is new.

        If so, `BalancerSteering` sends the subscription.
        """
        member = self._members.get(address)
        if member is None or member.is_subscribed:
            return False
        self._subscribed_owners |= {address}
        member.mark_subscribed(now)
        return True

    def retain_owners(self, owners: Collection[Address], now: float) -> None:
        """Unsubscribe from members that own no flows and are no neighbours.

        Parameters
        ----------
        owners : collection of address
            Members that own flows in this balancer's cache.
        """
        if not self._subscribed_owners <= set(owners):
            self._subscribed_owners &= frozenset(owners)
            self.reselect_neighbours(now)

    def record_request_sent(self, address: Address, now: float) -> None:
        """Record that the member at `address` was sent a request, and expect a reply.

        Its silence counts from now on, unless a message was expected already.
        """
        member = self._members.get(address)
        if member is not None:
            member.expect_message(now)

    def record_message(self, address: Address, now: float) -> Member | None:
        """Record that the member at `address` is alive, and return it."""
        member = self._members.get(address)
        if member is None:
            return None
        member.record_message(now)
        if member.is_unlisted and not member.has_answered:
            member.has_answered = True
            self.roster_generation += 1
        return member

    def record_load(self, address: Address, load: Load, now: float) -> None:
        """Store a load report."""
        member = self.record_message(address, now)
        if member is not None:
            member.set_load(load)
            member.flows_since_report = 0
        elif load.is_accepting and address in self._removed:
            # The agent has a server again.
            self._removed = self._removed - {address}

    def record_failure(self, member: Member, now: float) -> None:
        """Avoid a member that did not answer, with exponential backoff."""
        settings = self._settings
        delay_s = min(settings.max_suspect_s, settings.suspect_s * 2**member.failures)
        member.failures += 1
        member.suspect_until_s = now + delay_s

    def is_lost(self, member: Member, now: float) -> bool:
        """Return whether the member's silence implies that its VM is gone.

        Silence counts only while a message is expected. Its limit is `restart_s` if the
        agent announced a restart, `first_heard_s` if the member has not sent any
        message yet, and `lost_after_s` otherwise.
        """
        if not member.is_message_expected:
            return False
        settings = self._settings
        limit_s = settings.lost_after_s
        if member.is_restarting:
            limit_s = settings.restart_s
        elif not member.has_been_heard:
            limit_s = settings.first_heard_s
        return now - member.last_heard_s > limit_s

    def discount_pause(self, seconds: float) -> None:
        """Exclude a pause of this process from the silence of the members."""
        for member in self._members.values():
            member.last_heard_s += seconds

    def list_candidates(self, service: str) -> list[Member]:
        """Return the eligible members of `service`."""
        return [
            member
            for member in self._members.values()
            if member.entry.service == service and self.is_eligible(member)
        ]

    def choose(
        self,
        flow: bytes,
        service: str,
        excluded: Collection[Address],
        responsive_only: bool,
        now: float,
    ) -> Member | None:
        """Return the member for a new flow, or None if there is no candidate.

        A failing member is only chosen if no other one is, and fewer than half of the
        candidates are sound: the few would be overloaded otherwise. The first of these
        groups that has any candidates is used:

        1. responsive ones that are accepting and not busy;
        2. unsubscribed ones that are not busy, suspect or lost;
        3. responsive ones that are not busy;
        4. all candidates, if none is responsive and `responsive_only` is false.

        Of the members of the group that rank highest for the flow, the one with the
        lowest cost is chosen.

        Parameters
        ----------
        excluded : collection of address
            Members that are not chosen.
        responsive_only : bool
            Whether to return None if the first three groups are empty.
        """
        candidates = self.list_candidates(service)
        sound = [m for m in candidates if not self.is_failing(m, now)]
        member = self._choose_from(flow, sound, excluded, responsive_only, now)
        if member is not None or 2 * len(sound) >= len(candidates):
            return member
        failing = [m for m in candidates if self.is_failing(m, now)]
        return self._choose_from(flow, failing, excluded, responsive_only, now)

    def _choose_from(
        self,
        flow: bytes,
        members: list[Member],
        excluded: Collection[Address],
        responsive_only: bool,
        now: float,
    ) -> Member | None:
        candidates = [m for m in members if m.entry.address not in excluded]
        if not candidates:
            return None
        responsive = [
            member for member in candidates if self._is_responsive(member, now)
        ]
        not_busy = [member for member in responsive if now >= member.busy_until_s]
        accepting = [m for m in not_busy if m.load is None or m.load.is_accepting]
        pool = accepting or self._list_unsubscribed(candidates, now) or not_busy
        if not pool and not responsive and not responsive_only:
            pool = candidates
        if not pool:
            return None
        sample = select_highest(flow, pool, self._settings.sample)
        fastest_s = min(
            (m.load.service_s for m in responsive if m.load and m.load.service_s > 0),
            default=0.0,
        )
        return min(sample, key=lambda member: self._compute_cost(member, fastest_s))

    def is_avoided(self, member: Member, now: float) -> bool:
        """Return whether a member is failing and half of the candidates are sound."""
        if not self.is_failing(member, now):
            return False
        candidates = self.list_candidates(member.entry.service)
        sound = sum(not self.is_failing(m, now) for m in candidates)
        return 2 * sound >= len(candidates)

    def is_failing(self, member: Member, now: float) -> bool:
        """Return whether a recent message says that the member's server fails."""
        return (
            member.load is not None
            and member.load.is_failing
            and now - member.last_heard_s <= self._settings.stale_after_s
        )

    def _list_unsubscribed(self, candidates: list[Member], now: float) -> list[Member]:
        """Return the unsubscribed candidates that are not busy, suspect or lost."""
        return [
            member
            for member in candidates
            if not member.is_subscribed
            and now >= max(member.busy_until_s, member.suspect_until_s)
            and not self.is_lost(member, now)
        ]

    def record_busy(self, address: Address, now: float) -> None:
        """Avoid a member that refused a flow as busy, for the delay between rounds."""
        member = self._members.get(address)
        if member is not None:
            member.busy_until_s = now + self._settings.round_delay_s

    def has_recent_busy_refusal(self, service: str, now: float) -> bool:
        """Return whether a member of `service` has recently refused as busy."""
        return any(
            now < member.busy_until_s for member in self.list_candidates(service)
        )

    def estimate_response_s(self, service: str) -> float:
        """Return the mean response time of the service's members; 0 if unknown."""
        loads = [member.load for member in self.list_candidates(service)]
        known = [load.service_s for load in loads if load and load.service_s > 0]
        return sum(known) / len(known) if known else 0.0

    def count_total_slots(self, service: str, now: float) -> int:
        """Return the total number of slots of the candidates that are not lost."""
        return sum(
            member.entry.slots
            for member in self.list_candidates(service)
            if not self.is_lost(member, now)
        )

    def list_lost(self, now: float) -> frozenset[Address]:
        """Return the members whose silence implies that their VM is gone."""
        return frozenset(
            address
            for address, member in self._members.items()
            if self.is_lost(member, now)
        )

    def list_released(self, now: float) -> frozenset[Address]:
        """Return the lost members whose flows are released.

        The silence of an agent that announced a restart, or that this process has never
        heard, says nothing about its server, however long it lasts.
        """
        return frozenset(
            address
            for address in self.list_lost(now)
            if self._members[address].has_been_heard
            and not self._members[address].is_restarting
        )

    def list_probe_targets(self, now: float) -> list[Address]:
        """Return the members that are asked for their load at each check.

        Messages of them are expected, but they have been silent for `probe_after_s`.
        After `probe_until_s`, a quick recovery is unlikely, and the renewed
        subscriptions ask for their load often enough.
        """
        settings = self._settings
        return [
            address
            for address, member in self._members.items()
            if member.is_message_expected
            and not member.is_unknown
            and settings.probe_after_s
            < now - member.last_heard_s
            <= settings.probe_until_s
        ]

    def compute_subscription_period(self) -> float:
        """Return the interval between subscriptions to load reports, in seconds."""
        settings = self._settings
        subscribed = self.list_subscribed()
        unheard = sum(member.is_unknown for member in subscribed)
        count = len(subscribed) - max(0, unheard - UNHEARD_SUBSCRIPTIONS)
        return max(settings.subscribe_period_s, settings.subscribe_gap_s * count)

    def is_isolated(self, now: float) -> bool:
        """Return whether no subscribed member was heard within `isolated_after_s`.

        A balancer without subscribed members is not isolated.
        """
        limit_s = self._settings.isolated_after_s
        subscribed = self.list_subscribed()
        return bool(subscribed) and all(
            now - m.last_heard_s > limit_s for m in subscribed
        )

    def is_eligible(self, member: Member) -> bool:
        """Return whether new flows may be placed on a member.

        Its published state and the one last reported, if any, are ready, and its
        availability zone is not evacuated. Agents do not check the zone, so that an
        entry with another zone, which may be another writer's, does not replace it.
        """
        return (
            member.entry.state is ServerState.READY
            and member.entry.zone not in self._evacuated_zones
            and member.own_zone not in self._evacuated_zones
            and (member.load is None or member.load.state is ServerState.READY)
        )

    def _list_unusable(self, now: float) -> frozenset[Address]:
        return frozenset(
            address
            for address, member in self._members.items()
            if not self.is_eligible(member)
            or member.is_unavailable
            or self.is_lost(member, now)
        )

    def _is_responsive(self, member: Member, now: float) -> bool:
        return (
            member.is_subscribed
            and now >= member.suspect_until_s
            and now - member.last_heard_s <= self._settings.stale_after_s
        )

    def _compute_cost(self, member: Member, fastest_s: float) -> float:
        settings = self._settings
        cost = member.compute_utilization()
        if member.entry.zone != self._zone:
            cost += settings.zone_penalty
        load = member.load
        if load is None:
            return cost
        if load.service_s > 0 and fastest_s > 0:
            # Prefer faster servers: 0 is added for the fastest one, half the weight for
            # one that takes twice as long, and less than the weight for any other.
            cost += settings.speed_weight * (1 - fastest_s / load.service_s)
        if load.pace > 0:
            cost += settings.cold_penalty * (1 - load.pace)
        elif load.is_cold:
            cost += settings.cold_penalty
        return cost
