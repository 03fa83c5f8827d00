"""Carrier of events on a manual clock, with uneven, lost and doubled messages."""

import heapq
import itertools
import random
from collections.abc import Callable

import attrs

DELAYS_S = (0.001, 0.001, 0.001, 0.01, 0.05)


@attrs.define
class Network:
    """Faults of the messages between processes.

    Parameters
    ----------
    loss, doubled : float
        Probability for each datagram.
    extra_delay_s : float
        Longest additional delay in seconds.
    dropped_kinds : set of str
        Kinds of message that do not arrive at all.
    sides : dict of str to str
        Side of each cut-off place; names on different sides do not reach each other.
    """

    loss: float = 0.0
    doubled: float = 0.0
    extra_delay_s: float = 0.0
    dropped_kinds: set[str] = attrs.field(factory=set)
    sides: dict[str, str] = attrs.field(factory=dict)

    def is_cut(self, first: str, second: str) -> bool:
        """Return whether nothing passes between two places."""
        return self.sides.get(first, "") != self.sides.get(second, "")


class Carrier:
    """Run callbacks in order of time.

    Parameters
    ----------
    source : random.Random
        Source of delays, losses and doubling.
    """

    def __init__(self, source: random.Random) -> None:
        self.now = 0.0
        self.network = Network()
        self._source = source
        self._heap: list = []
        self._order = itertools.count()

    def schedule(self, delay_s: float, call: Callable, *values: object) -> None:
        """Call `call` with `values` after `delay_s` seconds."""
        due_s = self.now + delay_s
        heapq.heappush(self._heap, (due_s, next(self._order), call, values))

    def repeat(self, period_s: float, call: Callable[[], None]) -> None:
        """Call `call` every `period_s` seconds, first at a random phase."""

        def run() -> None:
            call()
            self.schedule(period_s, run)

        self.schedule(period_s * self._source.random(), run)

    def step(self, end_s: float) -> bool:
        """Run the next callback due by `end_s` and return whether there was one."""
        if not self._heap or self._heap[0][0] > end_s:
            self.now = max(self.now, end_s)
            return False
        self.now, _, call, values = heapq.heappop(self._heap)
        call(*values)
        return True

    def carry(self, kind: str, call: Callable, *values: object) -> None:
        """Carry a datagram: it may be late, lost or doubled."""
        if kind in self.network.dropped_kinds:
            return
        copies = 1 + (self._source.random() < self.network.doubled)
        for _ in range(copies):
            if self._source.random() >= self.network.loss:
                self.schedule(self.draw_delay(), call, *values)

    def draw_delay(self) -> float:
        """Return the delay of one message in seconds."""
        extra_s = self._source.random() * self.network.extra_delay_s
        return self._source.choice(DELAYS_S) + extra_s
