"""Lookups that wait for the backend server of an agent to return their packets."""

from collections import deque

import attrs

from bramleystair.steering._types import Address


@attrs.define(eq=False)
class PendingLookup:
    """A lookup that waits for the server to return its packet.

    A returned packet answers it with `Ownership.NONE`.
    """

    balancer: Address
    token: int
    due_s: float


class PendingLookups:
    """Lookups by flow, each with the time at which it is answered at the latest."""

    def __init__(self) -> None:
        self._lookups: dict[bytes, list[PendingLookup]] = {}
        # Ordered, since all lookups wait for the same time.
        self._deadlines: deque[tuple[float, bytes]] = deque()

    @property
    def due_s(self) -> float:
        """Time at which the next lookup is due."""
        return self._deadlines[0][0] if self._deadlines else float("inf")

    def add(self, flow: bytes, lookup: PendingLookup) -> None:
        """Add a lookup of `flow`."""
        self._lookups.setdefault(flow, []).append(lookup)
        self._deadlines.append((lookup.due_s, flow))

    def take(self, flow: bytes) -> list[PendingLookup]:
        """Remove and return the lookups of `flow`."""
        return self._lookups.pop(flow, [])

    def take_due(self, now: float) -> list[PendingLookup]:
        """Remove and return the lookups that are due."""
        due = []
        while self._deadlines and self._deadlines[0][0] <= now:
            _, flow = self._deadlines.popleft()
            remaining = []
            for lookup in self._lookups.pop(flow, ()):
                (due if lookup.due_s <= now else remaining).append(lookup)
            if remaining:
                self._lookups[flow] = remaining
        return due
