"""Repetition of calls to a store that fails, shared by the copies of a node."""

import random as random_module
from collections import deque
from collections.abc import Callable

from bramleystair.mirror._backoff import Backoff
from bramleystair.timers import Subscription, TimerService

# A call that has not failed within this time is no reason to let the others wait: it
# may be a watch without changes, or on a connection that went silent.
PROBE_S = 0.3


class RetryQueue:
    """Repeat one failed call at a time until a call succeeds, then all of them.

    Each call to a store that is out of reach costs as much as one that is answered.

    Parameters
    ----------
    timers : TimerService
        Runs the repetitions.
    random : random.Random
        Source of the jitter.
    """

    def __init__(self, timers: TimerService, random: random_module.Random) -> None:
        self._timers = timers
        self._backoff = Backoff(random)
        self._steps: deque[Callable[[], None]] = deque()
        self._timer: Subscription | None = None

    def add(self, step: Callable[[], None]) -> None:
        """Call `step`, which has just failed, again."""
        self._steps.append(step)
        self._schedule(self._backoff.compute_delay())

    def record_success(self) -> None:
        """Note that the store answers, and repeat all calls at once."""
        self._backoff.reset()
        self._cancel()
        steps, self._steps = self._steps, deque()
        for step in steps:
            step()

    def _run_next(self, _: float) -> None:
        self._timer = None
        step = self._steps.popleft()
        if self._steps:
            self._schedule(PROBE_S)
        step()

    def _schedule(self, delay_s: float) -> None:
        self._cancel()
        self._timer = self._timers.subscribe_once(delay_s, self._run_next)

    def _cancel(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
