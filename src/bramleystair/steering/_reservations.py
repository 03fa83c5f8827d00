"""Slots that are kept for requests on their way."""

from collections.abc import Hashable


class Reservations:
    """Count slots until the expected request arrives.

    The request of an admitted flow follows its first packet by a round trip to the
    caller. Without a reservation, all first packets that arrive within it would find
    the same slot free.

    Parameters
    ----------
    lifetime_s : float
        Time after which a slot is not kept any longer.
    """

    def __init__(self, lifetime_s: float) -> None:
        self._lifetime_s = lifetime_s
        # Ordered by time, since all reservations last equally long.
        self._expires_s: dict[Hashable, float] = {}

    @property
    def due_s(self) -> float:
        """Time at which the first slot is given up."""
        return next(iter(self._expires_s.values()), float("inf"))

    def add(self, holder: Hashable, now: float) -> None:
        """Keep a slot for `holder`."""
        self._expires_s.pop(holder, None)
        self._expires_s[holder] = now + self._lifetime_s

    def discard(self, holder: Hashable) -> None:
        """Give up the slot of `holder`, whose request has arrived or will not."""
        self._expires_s.pop(holder, None)

    def clear(self) -> None:
        """Give up all slots."""
        self._expires_s.clear()

    def count(self, now: float) -> int:
        """Return the number of slots kept."""
        while self._expires_s:
            holder, expires_s = next(iter(self._expires_s.items()))
            if expires_s > now:
                break
            del self._expires_s[holder]
        return len(self._expires_s)
