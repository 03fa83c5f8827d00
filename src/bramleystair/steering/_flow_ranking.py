"""Ranking of the members for one flow, by a hash of both.

All balancers compute the same ranking, before and after a restart. A flow is placed on
one of the members that rank highest at that time, so its owner can be found among the
first ones even when nobody remembers it.
"""

import functools
import heapq
from collections.abc import Iterable

import xxhash

from bramleystair.steering._member import Member
from bramleystair.steering._types import Address


def select_highest(flow: bytes, members: Iterable[Member], count: int) -> list[Member]:
    """Return the `count` members that rank highest for `flow`, the highest first."""
    return heapq.nlargest(
        count, members, key=lambda member: compute_rank(flow, member.entry.address)
    )


def compute_rank(flow: bytes, address: Address) -> int:
    """Return the rank of the member at `address` for `flow`; the highest is first."""
    return xxhash.xxh32_intdigest(flow, _compute_seed(address))


@functools.lru_cache(maxsize=65_536)
def _compute_seed(address: Address) -> int:
    host, port = address
    return xxhash.xxh32_intdigest(f"{host}:{port}".encode())
