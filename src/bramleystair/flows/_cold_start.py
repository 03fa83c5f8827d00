"""Slow start: limit of new work while a backend server is cold."""

import math


class ColdStart:
    """Increase the admitted fraction linearly over `warm_up_s`.

    Parameters
    ----------
    initial_fraction : float
        Fraction of each cap admitted at the start, above 0 and at most 1.
    warm_up_s : float
        Seconds until the full cap is admitted.
    max_advice_age_s : float
        Age in seconds up to which the advice of the load endpoint is used.
    """

    def __init__(
        self, initial_fraction: float, warm_up_s: float, max_advice_age_s: float = 3.0
    ) -> None:
        self._initial_fraction = initial_fraction
        self._warm_up_s = warm_up_s
        self._max_advice_age_s = max_advice_age_s
        self._advice = (0.0, 1.0)
        self._started_at_s: float | None = None
        self._age_s = 0.0

    def start(self, now: float) -> None:
        """Start the slow start unless it has started already."""
        if self._started_at_s is None:
            self._started_at_s = now - self._age_s

    def restart(self, now: float) -> None:
        """Return to the cold state at `now`."""
        self._started_at_s = now

    def resume(self, age_s: float) -> None:
        """Make the next start continue a slow start that is `age_s` seconds old."""
        self._started_at_s = None
        self._age_s = age_s

    def compute_age(self, now: float) -> float:
        """Return the seconds since the start."""
        self.start(now)
        return max(0.0, now - self._started_at_s)

    def advise(self, fraction: float, now: float) -> None:
        """Lower the limit for `max_advice_age_s`, but not below `initial_fraction`.

        The lower bound keeps a faulty load endpoint from stopping all new work.
        """
        self._advice = (now, max(fraction, self._initial_fraction))

    def is_warm(self, now: float) -> bool:
        """Return whether the full cap is admitted."""
        return self.compute_fraction(now) >= 1.0

    def compute_fraction(self, now: float) -> float:
        """Return the admitted fraction of each cap at `now`."""
        age_s = self.compute_age(now)
        if self._warm_up_s <= 0:
            return 1.0
        elapsed = age_s / self._warm_up_s
        fraction = self._initial_fraction + (1 - self._initial_fraction) * elapsed
        return min(1.0, fraction)

    def compute_limit(self, cap: int, now: float) -> int:
        """Return the limit that is in force at `now` for a cap of `cap`."""
        fraction = self.compute_fraction(now)
        advised_s, advised = self._advice
        if now - advised_s <= self._max_advice_age_s:
            fraction = min(fraction, advised)
        return min(cap, max(1, math.floor(cap * fraction)))
