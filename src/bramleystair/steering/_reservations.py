"""Slots reserved for requests that have not arrived yet."""

from collections.abc import Hashable


class Reservations:
    """Count slots reserved until the expected request arrives or a timeout passes.

    The request of an admitted flow arrives one round trip to the caller after its
    first packet. Without a reservation, all first packets that arrive within this round
    trip would find the same slot free.

    Parameters
    ----------
    lifetime_s : float
        Time after which a reservation expires.
    """

    def __init__(self, lifetime_s: float) -> None:
        self._lifetime_s = lifetime_s
        # Ordered by expiry, since all reservations have the same lifetime.
        self._expires_s: dict[Hashable, float] = {}

    @property
    def next_expiry_s(self) -> float:
        """Time at which the oldest reservation expires."""
        return next(iter(self._expires_s.values()), float("inf"))

    def add(self, holder: Hashable, now: float) -> None:
        """Reserve a slot for `holder`."""
        self._expires_s.pop(holder, None)
        self._expires_s[holder] = now + self._lifetime_s

    def discard(self, holder: Hashable) -> None:
        """Free the slot of `holder`, whose request has arrived or will not arrive."""
        self._expires_s.pop(holder, None)

    def clear(self) -> None:
        """Free all slots."""
        self._expires_s.clear()

    def count(self, now: float) -> int:
        """Return the number of reserved slots."""
        while self._expires_s:
            holder, expires_s = next(iter(self._expires_s.items()))
            if expires_s > now:
                break
            del self._expires_s[holder]
        return len(self._expires_s)
