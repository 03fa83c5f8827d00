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
class TimerSubscription:
    """Subscription of a callback to the timer service, for one call or periodic calls.

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
    """Call the callbacks of subscriptions when they are due.

    Parameters
    ----------
    clock : Clock
        Source of the current time.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self._heap: list[tuple[float, int, TimerSubscription]] = []
        # Orders subscriptions that are due at the same time by creation.
        self._tie_breaker = itertools.count()
        self._lock = threading.Lock()

    def subscribe_every(
        self, period_s: float, callback: Callable[[float], None]
    ) -> TimerSubscription:
        """Call `callback` every `period_s` seconds, first after one period."""
        subscription = TimerSubscription(callback, period_s)
        self._push(self.clock.now() + period_s, subscription)
        return subscription

    def subscribe_once(
        self, delay_s: float, callback: Callable[[float], None]
    ) -> TimerSubscription:
        """Call `callback` once, after `delay_s` seconds."""
        subscription = TimerSubscription(callback, None)
        self._push(self.clock.now() + delay_s, subscription)
        return subscription

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
        while (subscription := self._pop_due(now)) is not None:
            if not subscription.is_active:
                continue
            subscription.callback(now)
            count += 1
            if subscription.period_s is not None:
                self._push(now + subscription.period_s, subscription)
        return count

    def _push(self, due_s: float, subscription: TimerSubscription) -> None:
        with self._lock:
            heapq.heappush(self._heap, (due_s, next(self._tie_breaker), subscription))

    def _pop_due(self, now: float) -> TimerSubscription | None:
        with self._lock:
            if not self._heap or self._heap[0][0] > now:
                return None
            return heapq.heappop(self._heap)[2]
