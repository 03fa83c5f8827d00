"""Limit of new flows while a backend server is cold."""

import math
from collections import deque

WINDOW_S = 1.0


class ColdGate:
    """Admit at most a given number of flows in any second."""

    def __init__(self) -> None:
        self._opened_s: deque[float] = deque()

    def is_open(self, rate: float, now: float) -> bool:
        """Return whether another flow may start; `rate` 0 means no limit.

        Parameters
        ----------
        rate : float
            Flows per second; at least one is admitted.
        """
        if rate <= 0:
            return True
        self._discard(now)
        return len(self._opened_s) < max(1, math.floor(rate))

    def record(self, now: float) -> None:
        """Count a flow that starts."""
        self._discard(now)
        self._opened_s.append(now)

    def _discard(self, now: float) -> None:
        while self._opened_s and self._opened_s[0] <= now - WINDOW_S:
            self._opened_s.popleft()
