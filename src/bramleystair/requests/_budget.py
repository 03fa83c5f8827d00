"""Retry budget: limits retries to a fraction of recent requests."""

import collections

import attrs


@attrs.define
class _Bucket:
    second: int
    requests: int = 0
    retries: int = 0


class RetryBudget:
    """Limit the retries of one service over a sliding window.

    Parameters
    ----------
    fraction : float
        Maximum number of retries, as a fraction of the requests in the window.
    window_s : float
        Length of the window in seconds.
    """

    def __init__(self, fraction: float, window_s: float) -> None:
        self._fraction = fraction
        self._window_s = window_s
        self._buckets: collections.deque[_Bucket] = collections.deque()

    def add_request(self, now: float) -> None:
        """Record a request."""
        self._get_bucket(now).requests += 1

    def try_acquire_retry(self, now: float) -> bool:
        """Record a retry if the budget permits it; return whether it does."""
        bucket = self._get_bucket(now)
        requests = sum(item.requests for item in self._buckets)
        retries = sum(item.retries for item in self._buckets)
        if retries + 1 > self._fraction * requests:
            return False
        bucket.retries += 1
        return True

    def _get_bucket(self, now: float) -> _Bucket:
        second = int(now)
        while self._buckets and self._buckets[0].second <= second - self._window_s:
            self._buckets.popleft()
        if not self._buckets or self._buckets[-1].second != second:
            self._buckets.append(_Bucket(second))
        return self._buckets[-1]
