"""Delays between attempts at a call that failed."""

import random as random_module

import attrs


@attrs.define
class Backoff:
    """Double the delay after each failure, with jitter.

    Parameters
    ----------
    first_s, longest_s : float
        Bounds of the delay. The longest one is under the 2 s within which a node has
        to be back after the store's return.
    """

    random: random_module.Random
    first_s: float = 0.2
    longest_s: float = 0.8
    failures: int = 0

    def compute_delay(self) -> float:
        """Return the delay in seconds after one more failure."""
        limit_s = min(self.longest_s, self.first_s * 2**self.failures)
        self.failures += 1
        return self.random.uniform(limit_s / 2, limit_s)

    def reset(self) -> None:
        """Begin again with the first delay."""
        self.failures = 0
