"""What a balancer knows of one member."""

import attrs

from bramleystair.steering._types import Load, MemberEntry

# Load that a new flow adds until a report shows its real load, in requests at once.
FLOW_DEMAND = 0.08


@attrs.define(eq=False)
class Member:
    """One member with its last load report.

    Parameters
    ----------
    opened : int
        Flows sent to the member since its last report.
    heard_s : float
        Time of its last message, or since when one is awaited.
    is_watched : bool
        Whether it reports its load to this balancer.
    is_awaited : bool
        Whether its silence means something: it is watched, or has not answered yet.
    is_heard : bool
        Whether it has sent any message.
    suspect_until_s : float
        Time until which it is avoided because it did not answer.
    busy_until_s : float
        Time until which it is not asked again because it refused as busy.
    """

    entry: MemberEntry
    heard_s: float
    load: Load | None = None
    opened: int = 0
    suspect_until_s: float = 0.0
    failures: int = 0
    busy_until_s: float = 0.0
    is_heard: bool = False
    is_watched: bool = False
    is_awaited: bool = False

    @property
    def is_restarting(self) -> bool:
        """Whether the agent said that it stops while its server goes on."""
        return self.load is not None and self.load.is_stopping

    @property
    def is_unable(self) -> bool:
        """Whether the agent refuses new flows for another reason than its load."""
        load = self.load
        return load is not None and not load.is_accepting and load.running < load.slots

    def expect_message(self, now: float) -> None:
        """Begin to wait for a message, unless one is awaited already."""
        if not self.is_awaited:
            self.is_awaited = True
            self.heard_s = now

    def record_message(self, now: float) -> None:
        """Note that the member is alive."""
        self.heard_s = now
        self.is_heard = True
        self.is_awaited = self.is_watched
        self.suspect_until_s = 0.0
        self.failures = 0

    def watch(self, now: float) -> None:
        """Expect load reports from now on."""
        self.is_watched = True
        self.expect_message(now)

    def unwatch(self) -> None:
        """Expect no more load reports."""
        self.is_watched = False
        self.is_awaited = False

    def compute_utilization(self) -> float:
        """Return the expected share of busy slots with one more flow."""
        slots = max(1, self.entry.slots)
        if self.load is None:
            return (self.opened + 1) * FLOW_DEMAND / slots
        flows = max(1, self.load.flows)
        demand = max(FLOW_DEMAND / 2, self.load.mean_running / flows)
        busy = max(self.load.mean_running, 0.5 * self.load.running)
        return (busy + (self.opened + 1) * demand) / slots
