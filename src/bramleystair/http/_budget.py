"""Limit on the share of time that one kind of work may take."""

import attrs

from bramleystair.timers import Clock


@attrs.define
class TimeBudget:
    """Delay work so that it takes at most a share of the time.

    Parameters
    ----------
    clock : Clock
        Measures the time between pieces of work.
    share : float
        Share of the time, above 0 and at most 1.
    burst_s : float
        Seconds of work that may be done without a delay after a time without work.
    """

    clock: Clock
    share: float
    burst_s: float
    _balance_s: float = attrs.field(
        init=False, default=attrs.Factory(lambda self: self.burst_s, takes_self=True)
    )
    _updated_s: float = attrs.field(
        init=False,
        default=attrs.Factory(lambda self: self.clock.now(), takes_self=True),
    )

    def spend(self, seconds: float) -> float:
        """Record `seconds` of work; return the delay in seconds before the next."""
        now = self.clock.now()
        earned_s = self.share * (now - self._updated_s)
        self._balance_s = min(self.burst_s, self._balance_s + earned_s) - seconds
        self._updated_s = now
        return max(0.0, -self._balance_s / self.share)
