"""Discrete-event queue on a manual clock."""

import heapq
import itertools
from collections.abc import Callable

from bramleystair.timers import ManualClock


class EventQueue:
    """Run scheduled callbacks in time order, and in scheduling order at equal times."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()

    @property
    def now(self) -> float:
        """Current simulated time in seconds."""
        return self.clock.time_s

    def call_after(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Call `callback` once, after `delay_s` seconds."""
        due_s = self.now + delay_s
        heapq.heappush(self._heap, (due_s, next(self._order), callback))

    def run_until(self, time_s: float) -> None:
        """Run all callbacks due by `time_s` and advance the clock to it."""
        while self._heap and self._heap[0][0] <= time_s:
            due_s, _, callback = heapq.heappop(self._heap)
            self.clock.time_s = max(self.now, due_s)
            callback()
        self.clock.time_s = time_s
