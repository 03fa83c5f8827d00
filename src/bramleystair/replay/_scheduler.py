"""Discrete-event scheduler that delays, loses and doubles messages."""

import heapq
import itertools
import random
from collections.abc import Callable

import attrs

DELAYS_S = (0.001, 0.001, 0.001, 0.01, 0.05)


@attrs.define
class NetworkFaults:
    """Faults of the network between processes.

    Parameters
    ----------
    loss_probability, duplication_probability : float
        Probability that a datagram is lost, or delivered twice.
    extra_delay_s : float
        Maximum additional delay in seconds.
    dropped_kinds : set of str
        Message types that are dropped.
    partition_of : dict of str to str
        Partition of each separated endpoint; endpoints in different partitions do not
        reach each other.
    """

    loss_probability: float = 0.0
    duplication_probability: float = 0.0
    extra_delay_s: float = 0.0
    dropped_kinds: set[str] = attrs.field(factory=set)
    partition_of: dict[str, str] = attrs.field(factory=dict)

    def is_partitioned(self, first: str, second: str) -> bool:
        """Return whether two endpoints are in different partitions."""
        return self.partition_of.get(first, "") != self.partition_of.get(second, "")


class EventScheduler:
    """Run callbacks in time order, and in scheduling order at equal times.

    Parameters
    ----------
    rng : random.Random
        Random numbers for delays, losses and duplicates.
    """

    def __init__(self, rng: random.Random) -> None:
        self.now = 0.0
        self.faults = NetworkFaults()
        self._rng = rng
        self._heap: list = []
        self._order = itertools.count()

    def schedule(self, delay_s: float, call: Callable, *values: object) -> None:
        """Call `call` with `values` after `delay_s` seconds."""
        due_s = self.now + delay_s
        heapq.heappush(self._heap, (due_s, next(self._order), call, values))

    def schedule_periodic(self, period_s: float, call: Callable[[], None]) -> None:
        """Call `call` every `period_s` seconds, with a random initial phase."""

        def run() -> None:
            call()
            self.schedule(period_s, run)

        self.schedule(period_s * self._rng.random(), run)

    def step(self, end_s: float) -> bool:
        """Run the next callback due by `end_s` and return whether there was one."""
        if not self._heap or self._heap[0][0] > end_s:
            self.now = max(self.now, end_s)
            return False
        self.now, _, call, values = heapq.heappop(self._heap)
        call(*values)
        return True

    def send_datagram(self, kind: str, call: Callable, *values: object) -> None:
        """Schedule the delivery of a datagram, which may be lost or doubled."""
        if kind in self.faults.dropped_kinds:
            return
        copies = 1 + (self._rng.random() < self.faults.duplication_probability)
        for _ in range(copies):
            if self._rng.random() >= self.faults.loss_probability:
                self.schedule(self.sample_delay(), call, *values)

    def sample_delay(self) -> float:
        """Return a random message delay in seconds."""
        extra_s = self._rng.random() * self.faults.extra_delay_s
        return self._rng.choice(DELAYS_S) + extra_s
