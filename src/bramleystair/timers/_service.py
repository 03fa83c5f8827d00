"""Timer service on a replaceable clock."""

import heapq
import itertools
import threading
import time
from collections.abc import Callable
from typing import Protocol

import attrs


class Clock(Protocol):
    """Source of monotonic time in seconds."""

    def now(self) -> float:
        """Return the current time in seconds."""


@attrs.define
class ManualClock:
    """Clock that changes only through `advance`, for tests and simulations."""

    time_s: float = 0.0

    def now(self) -> float:
        """Return the current time in seconds."""
        return self.time_s

    def advance(self, seconds: float) -> None:
        """Advance the clock by `seconds`."""
        self.time_s += seconds


class MonotonicClock:
    """Monotonic clock of the operating system, unaffected by wall-clock changes."""

    def now(self) -> float:
        """Return the current time in seconds."""
        return time.monotonic()


@attrs.define(eq=False)
class Timer:
    """A scheduled callback, for one call or periodic calls.

    Parameters
    ----------
    callback : callable
        Called with the current time in seconds.
    period_s : float or None
        Interval between calls; None for a single call.
    """

    callback: Callable[[float], None]
    period_s: float | None
    is_active: bool = True

    def cancel(self) -> None:
        """Cancel all further calls."""
        self.is_active = False


class TimerService:
    """Run scheduled callbacks when they are due.

    Parameters
    ----------
    clock : Clock
        Source of the current time.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self._heap: list[tuple[float, int, Timer]] = []
        # Orders timers that are due at the same time by creation.
        self._tie_breaker = itertools.count()
        self._lock = threading.Lock()

    def call_every(self, period_s: float, callback: Callable[[float], None]) -> Timer:
        """Call `callback` every `period_s` seconds, first after one period."""
        timer = Timer(callback, period_s)
        self._push(self.clock.now() + period_s, timer)
        return timer

    def call_later(self, delay_s: float, callback: Callable[[float], None]) -> Timer:
        """Call `callback` once, after `delay_s` seconds."""
        timer = Timer(callback, None)
        self._push(self.clock.now() + delay_s, timer)
        return timer

    def compute_wait(self) -> float | None:
        """Return the seconds until the next callback is due, or None if none is."""
        with self._lock:
            if not self._heap:
                return None
            return max(0.0, self._heap[0][0] - self.clock.now())

    def run_due(self) -> int:
        """Run all due callbacks and return how many ran."""
        count = 0
        now = self.clock.now()
        while (timer := self._pop_due(now)) is not None:
            if not timer.is_active:
                continue
            timer.callback(now)
            count += 1
            if timer.period_s is not None:
                self._push(now + timer.period_s, timer)
        return count

    def _push(self, due_s: float, timer: Timer) -> None:
        with self._lock:
            heapq.heappush(self._heap, (due_s, next(self._tie_breaker), timer))

    def _pop_due(self, now: float) -> Timer | None:
        with self._lock:
            if not self._heap or self._heap[0][0] > now:
                return None
            return heapq.heappop(self._heap)[2]
