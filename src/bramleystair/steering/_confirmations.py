"""Requests of lookups to confirm that the list of members is current."""

from bramleystair.steering._actions import ConfirmMembers
from bramleystair.steering._outbox import Outbox


class Confirmations:
    """Request confirmations of the list of members, which the lookups share.

    Parameters
    ----------
    outbox : Outbox
        Receives the requests. The node makes one call for all that are pending.
    interval_s : float
        Minimum interval between requests that may wait.
    """

    def __init__(self, outbox: Outbox, interval_s: float) -> None:
        self._outbox = outbox
        self._interval_s = interval_s
        # Time up to which the list contains all changes in the store.
        self.confirmed_s = float("-inf")
        # Time of the first request that is pending.
        self._requested_s: float | None = None
        self._next_s = float("-inf")
        self._is_wanted = False

    @property
    def due_s(self) -> float:
        """Time at which `run_timers` has to be called next."""
        if self._is_wanted and self._requested_s is None:
            return self._next_s
        return float("inf")

    def request_now(self, now: float) -> None:
        """Request a confirmation at once."""
        if self._requested_s is None:
            self._requested_s = now
            self._next_s = now + self._interval_s
        self._outbox.add(ConfirmMembers())

    def request(self, now: float) -> None:
        """Request a confirmation that includes all changes until now.

        It waits for a pending one, which may not include them, and for the interval.
        """
        self._is_wanted = True
        self.run_timers(now)

    def run_timers(self, now: float) -> None:
        """Send the request that is due."""
        if now >= self.due_s:
            self._is_wanted = False
            self.request_now(now)

    def record(self) -> None:
        """Record that the pending requests were answered."""
        if self._requested_s is not None:
            self.confirmed_s = self._requested_s
        self._requested_s = None
