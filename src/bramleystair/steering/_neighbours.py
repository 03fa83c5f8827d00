"""Choice of the members from which a balancer takes load reports."""

from collections import defaultdict
from collections.abc import Callable, Iterable

import xxhash

from bramleystair.steering._member import Member
from bramleystair.steering._types import Address


def select_neighbours(
    members: Iterable[Member],
    zone: str,
    name: str,
    least: int,
    most: int,
    is_usable: Callable[[Member], bool],
) -> frozenset[Address]:
    """Return the neighbours of a balancer, so that reports do not go from all to all.

    Members of the balancer's own availability zone come first, then those with the
    highest hash of balancer and member: a change of one member or one balancer changes
    few neighbours, and balancers of one zone spread over its members.

    Parameters
    ----------
    members : iterable of Member
        All members.
    zone, name : str
        Availability zone and name of the balancer.
    least, most : int
        Usable members per service: `most` in the own zone, and others up to `least`.
    is_usable : callable
        Whether a member may get new flows now; others are neighbours as well, but do
        not count, so that they are known when they return.
    """
    groups: dict[str, list[Member]] = defaultdict(list)
    for member in members:
        groups[member.entry.service].append(member)
    selected: set[Address] = set()
    for group in groups.values():
        selected |= _select(group, zone, name, least, most, is_usable)
    return frozenset(selected)


def _select(
    group: list[Member],
    zone: str,
    name: str,
    least: int,
    most: int,
    is_usable: Callable[[Member], bool],
) -> set[Address]:
    def rank(member: Member) -> tuple[bool, int]:
        host, port = member.entry.address
        weight = xxhash.xxh32_intdigest(f"{name}|{host}:{port}".encode())
        return member.entry.zone != zone, -weight

    selected: set[Address] = set()
    usable = 0
    for member in sorted(group, key=rank):
        limit = most if member.entry.zone == zone else least
        if usable >= limit:
            continue
        selected.add(member.entry.address)
        usable += is_usable(member)
    return selected
