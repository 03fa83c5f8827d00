"""Limit of new work while a backend server is cold."""

import math


class ColdStart:
    """Raise the admitted fraction from `initial_fraction` to 1 over `warm_up_s`.

    Parameters
    ----------
    initial_fraction : float
        Fraction of each cap admitted at the start, above 0 and at most 1.
    warm_up_s : float
        Seconds until the whole cap is admitted.
    """

    def __init__(self, initial_fraction: float, warm_up_s: float) -> None:
        self._initial_fraction = initial_fraction
        self._warm_up_s = warm_up_s
        self._started_at_s: float | None = None

    def restart(self, now: float) -> None:
        """Return to the cold state."""
        self._started_at_s = now

    def is_warm(self, now: float) -> bool:
        """Return whether the whole cap is admitted."""
        return self.compute_fraction(now) >= 1.0

    def compute_fraction(self, now: float) -> float:
        """Return the admitted fraction of each cap at `now`."""
        if self._started_at_s is None:
            self._started_at_s = now
        if self._warm_up_s <= 0:
            return 1.0
        elapsed = max(0.0, now - self._started_at_s) / self._warm_up_s
        fraction = self._initial_fraction + (1 - self._initial_fraction) * elapsed
        return min(1.0, fraction)

    def compute_limit(self, cap: int, now: float) -> int:
        """Return the number that may be held of a cap of `cap`."""
        return min(cap, max(1, math.floor(cap * self.compute_fraction(now))))
