"""Retries of failed store calls, shared by the mirrors of a node."""

import random as random_module
from collections import deque
from collections.abc import Callable

from bramleystair.mirror._backoff import Backoff
from bramleystair.timers import Timer, TimerService

# If a retried call has not completed within this time, the next one is tried. The call
# may be a watch without changes, or may have been sent on a dead connection.
PROBE_TIMEOUT_S = 0.3


class RetryQueue:
    """Retry one failed call at a time until a call succeeds, then all of them.

    One at a time, because a call to an unreachable store costs as much as one that is
    answered.

    Parameters
    ----------
    timers : TimerService
        Runs the retries.
    random : random.Random
        Source of the jitter.
    """

    def __init__(self, timers: TimerService, random: random_module.Random) -> None:
        self._timers = timers
        self._backoff = Backoff(random)
        self._failed_calls: deque[Callable[[], None]] = deque()
        self._timer: Timer | None = None

    def add(self, call: Callable[[], None]) -> None:
        """Queue `call`, which has just failed, for a retry."""
        self._failed_calls.append(call)
        self._schedule(self._backoff.compute_delay())

    def record_success(self) -> None:
        """Reset the backoff after a successful call and retry all queued calls."""
        self._backoff.reset()
        self._cancel()
        failed_calls, self._failed_calls = self._failed_calls, deque()
        for call in failed_calls:
            call()

    def _retry_next(self, _: float) -> None:
        self._timer = None
        call = self._failed_calls.popleft()
        if self._failed_calls:
            self._schedule(PROBE_TIMEOUT_S)
        call()

    def _schedule(self, delay_s: float) -> None:
        self._cancel()
        self._timer = self._timers.call_later(delay_s, self._retry_next)

    def _cancel(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
