"""Detection of a backend server that became cold without an announcement."""

import statistics
from collections import deque

WINDOW_S = 10.0
MAX_OUTCOMES = 200
# With fewer outcomes, chance can look like a cold backend server.
MIN_OUTCOMES = 20
SHED_FRACTION = 0.2
LATENCY_FACTOR = 4.0
# Weight of a new window in the moving average of the warm latency; the average follows
# lasting changes within minutes.
BASELINE_WEIGHT = 0.05


class OutcomeMonitor:
    """Compare recent outcomes with the baseline of the warm backend server."""

    def __init__(self) -> None:
        self._outcomes: deque[tuple[float, float, bool]] = deque(maxlen=MAX_OUTCOMES)
        self._baseline_s: float | None = None
        self._unchecked_count = 0

    def record(self, latency_s: float, is_shed: bool, is_warm: bool, now: float) -> str:
        """Record an outcome and return the sign of a cold server, or an empty string.

        Returns
        -------
        str
            `shed` if at least a fifth of the recent responses were shed, `latency` if
            the median latency exceeds four times the warm baseline. While the server is
            cold, only `shed` is returned.
        """
        self._outcomes.append((now, latency_s, is_shed))
        while now - self._outcomes[0][0] > WINDOW_S:
            self._outcomes.popleft()
        self._unchecked_count += 1
        if self._unchecked_count < MIN_OUTCOMES or len(self._outcomes) < MIN_OUTCOMES:
            return ""
        self._unchecked_count = 0
        reason = self._check(is_warm)
        if reason:
            self._outcomes.clear()
        return reason

    def _check(self, is_warm: bool) -> str:
        latencies = [latency for _, latency, is_shed in self._outcomes if not is_shed]
        shed_count = len(self._outcomes) - len(latencies)
        if shed_count >= SHED_FRACTION * len(self._outcomes):
            return "shed"
        if not is_warm:
            return ""
        median = statistics.median(latencies)
        if self._baseline_s is None:
            self._baseline_s = median
        if median > LATENCY_FACTOR * self._baseline_s:
            return "latency"
        self._baseline_s += BASELINE_WEIGHT * (median - self._baseline_s)
        return ""
