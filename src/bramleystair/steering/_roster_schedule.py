"""Decision when a balancer writes the objects of a roster that are out of date.

All balancers see the same difference, and one of them is to write. The one that wrote
most of the present copies writes first. The others wait long enough to see its writes,
which reach them late, since they read stale data, and then for different times.
"""

import math
from collections.abc import Sequence

import xxhash

from bramleystair.steering._rosters import RosterChange

# Time for which the difference must not have changed, and after which it is written
# anyway: members join and leave in groups, and each write wakes all balancers.
SETTLE_S = 1.0
MAX_SETTLE_S = 3.0
# Time after which objects are written although others write them all the time; the
# first limit is that of the balancer that writes first.
MAX_OWN_WAIT_S = 5.0
MAX_WAIT_S = 15.0
# Further delay of the other balancers, and the greatest difference between them.
FOLLOWER_DELAY_S = 2.0
MAX_SPREAD_S = 4.0
# Number of balancers up to which few write at once. With exponentially distributed
# delays, that holds for any smaller number as well; see Nonnenmacher and Biersack,
# "Scalable Feedback for Large Groups", IEEE/ACM Transactions on Networking 7 (1999).
MAX_BALANCERS = 1000
# Minimum interval between two writes of one object.
WRITE_INTERVAL_S = 2.0


class RosterSchedule:
    """Choose the time of the writes of one balancer.

    Parameters
    ----------
    name : str
        Name of the balancer, which determines its delays.
    is_alone : bool
        Whether there are no other balancers, so that it need not wait for any.
    """

    def __init__(self, name: str, is_alone: bool = False) -> None:
        self._name = name
        self.is_alone = is_alone
        self._changes: Sequence[RosterChange] = ()
        self._roster_revision = 0
        self._is_first = False
        # Times at which objects were found to be out of date, at which the roster was
        # written last, and at which the difference changed last.
        self._found_s = 0.0
        self._since_s = 0.0
        self._changed_s = 0.0
        self._delay_s = 0.0
        self._written_s: dict[str, float] = {}

    def set_changes(
        self,
        changes: Sequence[RosterChange],
        revision: int,
        roster_revision: int,
        is_first: bool,
        now: float,
    ) -> None:
        """Set the objects that are out of date.

        Parameters
        ----------
        revision : int
            Latest revision of all members' objects, of which balancers that see the
            same difference know the same.
        roster_revision : int
            Latest revision of the roster's objects.
        is_first : bool
            Whether this balancer writes before the others.
        """
        if changes == self._changes and roster_revision == self._roster_revision:
            return
        if not self._changes:
            self._found_s = now
        if not self._changes or roster_revision != self._roster_revision:
            self._since_s = now
        self._changes = changes
        self._roster_revision = roster_revision
        self._changed_s = now
        self._is_first = is_first or self.is_alone
        self._delay_s = 0.0 if self._is_first else _compute_delay(self._name, revision)

    def list_due(self, now: float) -> list[RosterChange]:
        """Return the objects that are written now."""
        if not self._changes:
            return []
        settled_s = min(self._changed_s + SETTLE_S, self._since_s + MAX_SETTLE_S)
        max_wait_s = MAX_OWN_WAIT_S if self._is_first else MAX_WAIT_S
        if now < min(settled_s + self._delay_s, self._found_s + max_wait_s):
            return []
        oldest_s = now - WRITE_INTERVAL_S
        self._written_s = {n: s for n, s in self._written_s.items() if s > oldest_s}
        return [c for c in self._changes if c.name not in self._written_s]

    def record_write(self, name: str, now: float) -> None:
        """Record that an object is written, whether that succeeds or not."""
        self._written_s[name] = self._found_s = now

    def postpone(self, now: float) -> None:
        """Start anew, since another balancer writes at this time."""
        self._found_s = self._since_s = self._changed_s = now


def _compute_delay(name: str, revision: int) -> float:
    share = (xxhash.xxh32_intdigest(f"{name}|{revision}".encode()) + 1) / 2**32
    spread_s = MAX_SPREAD_S * (1 + math.log(share) / math.log(MAX_BALANCERS))
    return FOLLOWER_DELAY_S + max(0.0, spread_s)
