"""Exponential backoff between attempts of a failed call."""

import random as random_module

import attrs


@attrs.define
class Backoff:
    """Double the delay after each failure, with jitter.

    Parameters
    ----------
    initial_s, max_s : float
        Bounds of the delay. The maximum is well below the 2 s within which a node has
        to reconnect after the store becomes available again.
    """

    random: random_module.Random
    initial_s: float = 0.2
    max_s: float = 0.8
    failures: int = 0

    def compute_delay(self) -> float:
        """Count a failure and return the delay in seconds before the next attempt."""
        limit_s = min(self.max_s, self.initial_s * 2**self.failures)
        self.failures += 1
        return self.random.uniform(limit_s / 2, limit_s)

    def reset(self) -> None:
        """Restart with the initial delay."""
        self.failures = 0
