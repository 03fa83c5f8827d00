"""Short-lived notes about flows."""


class RecentNotes:
    """Keep one text for each of a limited number of flows for a while.

    Parameters
    ----------
    lifetime_s : float
        Time for which a note is kept.
    limit : int
        Number of notes; further ones are not taken.
    """

    def __init__(self, lifetime_s: float, limit: int) -> None:
        self._lifetime_s = lifetime_s
        self._limit = limit
        # In the order of their ends, since all have the same lifetime.
        self._notes: dict[bytes, tuple[float, str]] = {}

    def __contains__(self, flow: bytes) -> bool:
        """Return whether there is a note of `flow`."""
        return flow in self._notes

    def put(self, flow: bytes, text: str, now: float) -> None:
        """Replace the note of `flow`."""
        self._notes.pop(flow, None)
        if len(self._notes) < self._limit:
            self._notes[flow] = (now + self._lifetime_s, text)

    def get(self, flow: bytes) -> tuple[float, str]:
        """Return the end and the text of a note; 0 and an empty text without one."""
        return self._notes.get(flow, (0.0, ""))

    def forget_old(self, now: float) -> None:
        """Remove the notes that have ended."""
        for flow, (until_s, _) in list(self._notes.items()):
            if now < until_s:
                return
            del self._notes[flow]
