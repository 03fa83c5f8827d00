"""What a balancer knows of the members, and the choice among them."""

import random as random_module
from collections.abc import Collection, Iterable

from bramleystair.steering._balancer_settings import BalancerSteeringSettings
from bramleystair.steering._member import Member
from bramleystair.steering._neighbours import select_neighbours
from bramleystair.steering._types import Address, Load, MemberEntry, ServerState


class Members:
    """Members of all services.

    Parameters
    ----------
    settings : BalancerSteeringSettings
        Times after which a silent member is avoided.
    random : random.Random
        Source of the sample.
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
        self._evacuated: frozenset[str] = frozenset()
        self._neighbours: frozenset[Address] = frozenset()
        self._unusable: frozenset[Address] = frozenset()
        # Members that own flows of this balancer without being neighbours.
        self._owners: frozenset[Address] = frozenset()

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
        """Take over the published entries."""
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
        """Place no new flows in `zones`."""
        self._evacuated = frozenset(zones)

    def refresh_neighbours(self, now: float) -> None:
        """Choose the neighbours anew if other members are usable than before."""
        if self._list_unusable(now) != self._unusable:
            self.select_neighbours(now)

    def select_neighbours(self, now: float) -> None:
        """Choose the neighbours anew, and watch them and the owners of flows only."""
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
        watched = self._neighbours | self._owners
        for address, member in self._members.items():
            if address in watched:
                member.watch(now)
            elif member.is_watched:
                member.unwatch()

    def list_subscribed(self) -> list[Member]:
        """Return the members that report their loads to this balancer."""
        return [member for member in self if member.is_watched]

    def list_awaited(self) -> list[Member]:
        """Return the members that are watched, or have not answered a question."""
        return [member for member in self if member.is_awaited]

    def watch_owner(self, address: Address, now: float) -> bool:
        """Watch a member that owns a flow; return whether it was not watched."""
        member = self._members.get(address)
        if member is None or member.is_watched:
            return False
        self._owners |= {address}
        member.watch(now)
        return True

    def keep_owners(self, owners: Collection[Address], now: float) -> None:
        """Stop watching members that own no flows any more."""
        if not self._owners <= set(owners):
            self._owners &= frozenset(owners)
            self.select_neighbours(now)

    def expect_message(self, address: Address, now: float) -> None:
        """Note that the member at `address` was asked something."""
        member = self._members.get(address)
        if member is not None:
            member.expect_message(now)

    def record_message(self, address: Address, now: float) -> Member | None:
        """Note that the member at `address` is alive and return it."""
        member = self._members.get(address)
        if member is not None:
            member.record_message(now)
        return member

    def record_load(self, address: Address, load: Load, now: float) -> None:
        """Take over a load report."""
        member = self.record_message(address, now)
        if member is not None:
            member.load = load
            member.opened = 0

    def record_failure(self, member: Member, now: float) -> None:
        """Avoid a member that did not answer, longer after each failure."""
        settings = self._settings
        delay_s = min(settings.max_suspect_s, settings.suspect_s * 2**member.failures)
        member.failures += 1
        member.suspect_until_s = now + delay_s

    def is_lost(self, member: Member, now: float) -> bool:
        """Return whether the member's silence says that its VM is gone."""
        if not member.is_awaited:
            return False
        settings = self._settings
        limit_s = settings.lost_after_s
        if member.is_restarting:
            limit_s = settings.restart_s
        elif not member.is_heard:
            limit_s = settings.first_heard_s
        return now - member.heard_s > limit_s

    def excuse_silence(self, seconds: float) -> None:
        """Do not count a time in which this balancer did not run as silence."""
        for member in self._members.values():
            member.heard_s += seconds

    def list_candidates(self, service: str) -> list[Member]:
        """Return the members that may take new flows of `service`."""
        return [
            member
            for member in self._members.values()
            if member.entry.service == service and self.is_ready(member)
        ]

    def choose(
        self,
        service: str,
        excluded: Collection[Address],
        live_only: bool,
        now: float,
    ) -> Member | None:
        """Return the member for a new flow, or None if none is left.

        Neighbours that answer are preferred to other members, and those to neighbours
        that do not answer; among a random sample, the one with the lowest cost is
        taken.
        """
        candidates = [
            member
            for member in self.list_candidates(service)
            if member.entry.address not in excluded
        ]
        if not candidates:
            return None
        live = [member for member in candidates if self._is_live(member, now)]
        idle = [member for member in live if now >= member.busy_until_s]
        accepting = [m for m in idle if m.load is None or m.load.is_accepting]
        pool = accepting or self._list_others(candidates, now) or idle
        if not pool and not live and not live_only:
            pool = candidates
        if not pool:
            return None
        sample = self._random.sample(pool, min(self._settings.sample, len(pool)))
        fastest_s = min(
            (m.load.service_s for m in live if m.load and m.load.service_s > 0),
            default=0.0,
        )
        return min(sample, key=lambda member: self._compute_cost(member, fastest_s))

    def _list_others(self, candidates: list[Member], now: float) -> list[Member]:
        """Return the candidates that are not watched and have not just refused."""
        return [
            member
            for member in candidates
            if not member.is_watched
            and now >= max(member.busy_until_s, member.suspect_until_s)
            and not self.is_lost(member, now)
        ]

    def record_busy(self, address: Address, now: float) -> None:
        """Do not ask a member that refused as busy again at once."""
        member = self._members.get(address)
        if member is not None:
            member.busy_until_s = now + self._settings.round_delay_s

    def has_busy(self, service: str, now: float) -> bool:
        """Return whether a member of `service` has just refused as busy."""
        return any(
            now < member.busy_until_s for member in self.list_candidates(service)
        )

    def estimate_response_s(self, service: str) -> float:
        """Return the average time to respond of the service's members, 0 if unknown."""
        loads = [member.load for member in self.list_candidates(service)]
        known = [load.service_s for load in loads if load and load.service_s > 0]
        return sum(known) / len(known) if known else 0.0

    def count_slots(self, service: str, now: float) -> int:
        """Return the slots of the service's members that are not lost."""
        return sum(
            member.entry.slots
            for member in self.list_candidates(service)
            if not self.is_lost(member, now)
        )

    def list_lost(self, now: float) -> frozenset[Address]:
        """Return the members whose silence says that their VM is gone."""
        return frozenset(
            address
            for address, member in self._members.items()
            if self.is_lost(member, now)
        )

    def list_silent(self, now: float) -> list[Address]:
        """Return the members that have not been heard of late, but may be back soon."""
        settings = self._settings
        return [
            address
            for address, member in self._members.items()
            if member.is_awaited
            and settings.probe_after_s < now - member.heard_s <= settings.probe_until_s
        ]

    def compute_period(self) -> float:
        """Return the seconds between subscriptions to load reports."""
        settings = self._settings
        return max(
            settings.subscribe_period_s,
            settings.subscribe_gap_s * len(self.list_subscribed()),
        )

    def is_isolated(self, now: float) -> bool:
        """Return whether no watched member was heard of late."""
        limit_s = self._settings.isolated_after_s
        watched = self.list_subscribed()
        return bool(watched) and all(now - m.heard_s > limit_s for m in watched)

    def is_ready(self, member: Member) -> bool:
        """Return whether new flows may be sent to a member."""
        return (
            member.entry.state is ServerState.READY
            and member.entry.zone not in self._evacuated
            and (member.load is None or member.load.state is ServerState.READY)
        )

    def _list_unusable(self, now: float) -> frozenset[Address]:
        return frozenset(
            address
            for address, member in self._members.items()
            if not self.is_ready(member)
            or member.is_unable
            or self.is_lost(member, now)
        )

    def _is_live(self, member: Member, now: float) -> bool:
        return (
            member.is_watched
            and now >= member.suspect_until_s
            and now - member.heard_s <= self._settings.stale_after_s
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
            # A server half as fast as the fastest one counts as busier by the weight.
            cost += settings.speed_weight * (1 - fastest_s / load.service_s)
        if load.is_cold:
            cost += settings.cold_penalty
        return cost
