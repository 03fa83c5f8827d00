"""The members known to a balancer, and the choice of a member for a new flow."""

import random as random_module
from collections.abc import Collection, Iterable

from bramleystair.steering._balancer_settings import BalancerSteeringSettings
from bramleystair.steering._member import Member
from bramleystair.steering._neighbours import select_neighbours
from bramleystair.steering._types import Address, Load, MemberEntry, ServerState


class Members:
    """The members of all services.

    Parameters
    ----------
    settings : BalancerSteeringSettings
        Timeouts for silent members, and weights for the choice.
    random : random.Random
        Random source for the sample of candidates.
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
        self._zone = zone
        self._name = name
        self._random = random
        self._members: dict[Address, Member] = {}
        self._evacuated_zones: frozenset[str] = frozenset()
        self._neighbours: frozenset[Address] = frozenset()
        self._unusable: frozenset[Address] = frozenset()
        # Members outside the neighbours that own flows of this balancer.
        self._subscribed_owners: frozenset[Address] = frozenset()

    def __iter__(self):
        """Iterate over all members."""
        return iter(self._members.values())

    def __len__(self) -> int:
        """Return the number of members."""
        return len(self._members)

    def get(self, address: Address) -> Member | None:
        """Return the member at `address`, or None."""
        return self._members.get(address)

    def update(self, entries: Iterable[MemberEntry], now: float) -> None:
        """Apply the published entries, and keep the state of known members."""
        members = {}
        for entry in entries:
            known = self._members.get(entry.address)
            if known is None:
                members[entry.address] = Member(entry, now)
                continue
            if (known.entry.server, known.entry.started_ms) != (
                entry.server,
                entry.started_ms,
            ):
                known.load = None
            known.entry = entry
            members[entry.address] = known
        self._members = members
        self.select_neighbours(now)

    def set_evacuated_zones(self, zones: Collection[str]) -> None:
        """Set the availability zones in which no new flows are placed."""
        self._evacuated_zones = frozenset(zones)

    def refresh_neighbours(self, now: float) -> None:
        """Reselect the neighbours if the set of usable members has changed."""
        if self._list_unusable(now) != self._unusable:
            self.select_neighbours(now)

    def select_neighbours(self, now: float) -> None:
        """Reselect the neighbours; subscribe to these and the owners of flows only."""
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
            if address in subscribed:
                member.subscribe(now)
            elif member.is_subscribed:
                member.unsubscribe()

    def list_subscribed(self) -> list[Member]:
        """Return the members whose load reports this balancer subscribes to."""
        return [member for member in self if member.is_subscribed]

    def list_expected_senders(self) -> list[Member]:
        """Return the members that are subscribed or have not answered a query yet."""
        return [member for member in self if member.is_message_expected]

    def subscribe_to_owner(self, address: Address, now: float) -> bool:
        """Subscribe to a member that owns a flow; return whether that is new."""
        member = self._members.get(address)
        if member is None or member.is_subscribed:
            return False
        self._subscribed_owners |= {address}
        member.subscribe(now)
        return True

    def retain_owners(self, owners: Collection[Address], now: float) -> None:
        """Unsubscribe from members that own no flows and are no neighbours."""
        if not self._subscribed_owners <= set(owners):
            self._subscribed_owners &= frozenset(owners)
            self.select_neighbours(now)

    def expect_message(self, address: Address, now: float) -> None:
        """Record that a query was sent to the member at `address`."""
        member = self._members.get(address)
        if member is not None:
            member.expect_message(now)

    def record_message(self, address: Address, now: float) -> Member | None:
        """Record that the member at `address` is alive, and return it."""
        member = self._members.get(address)
        if member is not None:
            member.record_message(now)
        return member

    def record_load(self, address: Address, load: Load, now: float) -> None:
        """Store a load report."""
        member = self.record_message(address, now)
        if member is not None:
            member.load = load
            member.flows_since_report = 0

    def record_failure(self, member: Member, now: float) -> None:
        """Avoid a member that did not answer, with exponential backoff."""
        settings = self._settings
        delay_s = min(settings.max_suspect_s, settings.suspect_s * 2**member.failures)
        member.failures += 1
        member.suspect_until_s = now + delay_s

    def is_lost(self, member: Member, now: float) -> bool:
        """Return whether the member's silence implies that its VM is gone."""
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
        """Return the members eligible for new flows of `service`."""
        return [
            member
            for member in self._members.values()
            if member.entry.service == service and self.is_eligible(member)
        ]

    def choose(
        self,
        service: str,
        excluded: Collection[Address],
        responsive_only: bool,
        now: float,
    ) -> Member | None:
        """Return the member for a new flow, or None if there is no candidate.

        Subscribed members that respond are preferred to other members, and those to
        subscribed members that do not respond. From a random sample, the member with
        the lowest cost is chosen.

        Parameters
        ----------
        excluded : collection of address
            Members that are not chosen.
        responsive_only : bool
            Whether to return None rather than an unresponsive member.
        """
        candidates = [
            member
            for member in self.list_candidates(service)
            if member.entry.address not in excluded
        ]
        if not candidates:
            return None
        responsive = [
            member for member in candidates if self._is_responsive(member, now)
        ]
        idle = [member for member in responsive if now >= member.busy_until_s]
        accepting = [m for m in idle if m.load is None or m.load.is_accepting]
        pool = accepting or self._list_unsubscribed(candidates, now) or idle
        if not pool and not responsive and not responsive_only:
            pool = candidates
        if not pool:
            return None
        sample = self._random.sample(pool, min(self._settings.sample, len(pool)))
        fastest_s = min(
            (m.load.service_s for m in responsive if m.load and m.load.service_s > 0),
            default=0.0,
        )
        return min(sample, key=lambda member: self._compute_cost(member, fastest_s))

    def _list_unsubscribed(self, candidates: list[Member], now: float) -> list[Member]:
        """Return unsubscribed candidates that did not just refuse or time out."""
        return [
            member
            for member in candidates
            if not member.is_subscribed
            and now >= max(member.busy_until_s, member.suspect_until_s)
            and not self.is_lost(member, now)
        ]

    def record_busy(self, address: Address, now: float) -> None:
        """Avoid a member that refused as busy until the next round."""
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

    def count_slots(self, service: str, now: float) -> int:
        """Return the total slots of the service's members that are not lost."""
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

    def list_silent(self, now: float) -> list[Address]:
        """Return the members that are silent but may still recover soon."""
        settings = self._settings
        return [
            address
            for address, member in self._members.items()
            if member.is_message_expected
            and settings.probe_after_s
            < now - member.last_heard_s
            <= settings.probe_until_s
        ]

    def compute_subscription_period(self) -> float:
        """Return the interval between subscriptions to load reports, in seconds."""
        settings = self._settings
        return max(
            settings.subscribe_period_s,
            settings.subscribe_gap_s * len(self.list_subscribed()),
        )

    def is_isolated(self, now: float) -> bool:
        """Return whether all subscribed members have been silent recently."""
        limit_s = self._settings.isolated_after_s
        subscribed = self.list_subscribed()
        return bool(subscribed) and all(
            now - m.last_heard_s > limit_s for m in subscribed
        )

    def is_eligible(self, member: Member) -> bool:
        """Return whether new flows may be placed on a member."""
        return (
            member.entry.state is ServerState.READY
            and member.entry.zone not in self._evacuated_zones
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
            # A server half as fast as the fastest one costs half the weight more.
            cost += settings.speed_weight * (1 - fastest_s / load.service_s)
        if load.is_cold:
            cost += settings.cold_penalty
        return cost
