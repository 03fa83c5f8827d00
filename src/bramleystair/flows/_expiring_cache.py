"""Bounded cache of short texts by flow, with a fixed lifetime."""


class ExpiringCache:
    """Map flows to texts; entries expire and their number is limited.

    Parameters
    ----------
    lifetime_s : float
        Time after which an entry expires.
    limit : int
        Largest number of entries; further ones are not stored.
    """

    def __init__(self, lifetime_s: float, limit: int) -> None:
        self._lifetime_s = lifetime_s
        self._limit = limit
        # Ordered by expiry time, because all entries have the same lifetime.
        self._entries: dict[bytes, tuple[float, str]] = {}

    def __contains__(self, flow: bytes) -> bool:
        """Return whether `flow` has an entry."""
        return flow in self._entries

    def put(self, flow: bytes, text: str, now: float) -> None:
        """Store `text` for `flow` and renew its lifetime."""
        self._entries.pop(flow, None)
        if len(self._entries) < self._limit:
            self._entries[flow] = (now + self._lifetime_s, text)

    def get(self, flow: bytes) -> tuple[float, str]:
        """Return the expiry time and the text; 0 and an empty text without an entry."""
        return self._entries.get(flow, (0.0, ""))

    def remove_expired(self, now: float) -> None:
        """Remove the expired entries."""
        for flow, (expires_s, _) in list(self._entries.items()):
            if now < expires_s:
                return
            del self._entries[flow]
