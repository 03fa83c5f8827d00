"""Rate limit of new flows while a backend server is cold."""

import math
from collections import deque

WINDOW_S = 1.0


class ColdRateLimiter:
    """Admit at most a given number of flows in any window of one second."""

    def __init__(self) -> None:
        self._start_times_s: deque[float] = deque()

    def allows(self, rate: float, now: float) -> bool:
        """Return whether another flow may start.

        Parameters
        ----------
        rate : float
            Flows per second, at least one of which is admitted; 0 for no limit.
        """
        if rate <= 0:
            return True
        self._discard_old(now)
        return len(self._start_times_s) < max(1, math.floor(rate))

    def record(self, now: float) -> None:
        """Record the start of a flow."""
        self._discard_old(now)
        self._start_times_s.append(now)

    def _discard_old(self, now: float) -> None:
        while self._start_times_s and self._start_times_s[0] <= now - WINDOW_S:
            self._start_times_s.popleft()
