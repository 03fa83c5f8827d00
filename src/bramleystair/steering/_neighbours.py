"""Selection of the members whose load reports a balancer subscribes to."""

from collections import defaultdict
from collections.abc import Callable, Iterable

import xxhash

from bramleystair.steering._member import Member
from bramleystair.steering._types import Address


def select_neighbours(
    members: Iterable[Member],
    zone: str,
    name: str,
    minimum: int,
    maximum: int,
    is_usable: Callable[[Member], bool],
) -> frozenset[Address]:
    """Return the neighbours of a balancer: a bounded subset of the members.

    Subsetting keeps load reports from growing with balancers times members. Members are
    ranked by availability zone, with the balancer's own zone first, and then by
    rendezvous hashing of balancer and member. A change of one member or balancer thus
    changes few neighbours, and the balancers of a zone spread over its members.

    Parameters
    ----------
    members : iterable of Member
        All members.
    zone, name : str
        Availability zone and name of the balancer.
    minimum, maximum : int
        Limits on the usable members per service: members of the own zone are added up
        to `maximum`, members of other zones up to a total of `minimum`.
    is_usable : callable
        Returns whether a member can get new flows now. Other members are selected as
        well but do not count towards the limits, so that the balancer receives their
        reports when they recover.
    """
    groups: dict[str, list[Member]] = defaultdict(list)
    for member in members:
        groups[member.entry.service].append(member)
    selected: set[Address] = set()
    for group in groups.values():
        selected |= _select(group, zone, name, minimum, maximum, is_usable)
    return frozenset(selected)


def _select(
    group: list[Member],
    zone: str,
    name: str,
    minimum: int,
    maximum: int,
    is_usable: Callable[[Member], bool],
) -> set[Address]:
    def rank(member: Member) -> tuple[bool, int]:
        host, port = member.entry.address
        weight = xxhash.xxh32_intdigest(f"{name}|{host}:{port}".encode())
        return member.entry.zone != zone, -weight

    selected: set[Address] = set()
    usable = 0
    for member in sorted(group, key=rank):
        limit = maximum if member.entry.zone == zone else minimum
        if usable >= limit:
            continue
        selected.add(member.entry.address)
        usable += is_usable(member)
    return selected
