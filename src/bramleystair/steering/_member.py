"""State that the balancer process keeps about one member."""

import attrs

from bramleystair.steering._messages import EntryChanged
from bramleystair.steering._types import Load, MemberEntry

# Assumed load of a new flow, in concurrent requests, until a report shows the real one.
NEW_FLOW_LOAD = 0.08
# Time in which an agent writes its entry again after another writer has changed it,
# also if the response to a balancer's watch was lost.
ZONE_CONFIRMATION_S = 10.0
# Time for which the withdrawal of an entry that is still listed is remembered. Its
# agent announces it for longer.
WITHDRAWAL_S = 3.0


@attrs.define(eq=False)
class Member:
    """A member and its last load report.

    Parameters
    ----------
    last_heard_s : float
        Time of the member's last message, or the time from which one is expected.
    flows_since_report : int
        Number of flows sent to the member since its last load report.
    suspect_until_s : float
        Time until which the member is avoided because it did not answer.
    failures : int
        Number of consecutive open requests that timed out.
    busy_until_s : float
        Time until which the member is not asked again because it refused as busy.
    has_been_heard : bool
        Whether the member has sent any message.
    is_subscribed : bool
        Whether this balancer subscribes to the member's load reports.
    is_message_expected : bool
        Whether silence indicates a failure: the balancer subscribes to the member, or
        the member has not answered a request yet.
    is_restarting : bool
        Whether the agent announced that it stops while its server keeps running. Holds
        until its next load report, whatever is published of it meanwhile.
    own_zone : str
        Availability zone that the entry named at first, or for `ZONE_CONFIRMATION_S`.
    zone_changed_s : float
        Time at which the entry named another availability zone than before.
    is_unlisted : bool
        Whether the store has no usable entry of the member.
    has_answered : bool
        Whether the member has sent a message since it is unlisted.
    is_named : bool
        Whether a copy of the roster names the member, or did before copies were lost.
    withdrawn_s : float
        Time at which its agent said last that it has withdrawn its entry.
    change : EntryChanged or None
        Latest change of its entry, of which its agent is told with each subscription
        until `change_announced_until_s`, or as long as the member is unlisted.
    """

    entry: MemberEntry
    last_heard_s: float
    load: Load | None = None
    flows_since_report: int = 0
    suspect_until_s: float = 0.0
    failures: int = 0
    busy_until_s: float = 0.0
    has_been_heard: bool = False
    is_subscribed: bool = False
    is_message_expected: bool = False
    is_restarting: bool = False
    own_zone: str = attrs.field(
        default=attrs.Factory(lambda member: member.entry.zone, takes_self=True)
    )
    zone_changed_s: float = 0.0
    is_unlisted: bool = False
    has_answered: bool = False
    is_named: bool = False
    withdrawn_s: float = float("-inf")
    change: EntryChanged | None = None
    change_announced_until_s: float = 0.0

    @property
    def is_unavailable(self) -> bool:
        """Whether the agent refuses new flows for a reason other than load."""
        load = self.load
        return load is not None and not load.is_accepting and load.running < load.slots

    @property
    def is_unknown(self) -> bool:
        """Whether it has neither a usable entry nor been heard."""
        return self.is_unlisted and not self.has_been_heard

    def set_entry(self, entry: MemberEntry, now: float) -> None:
        """Set the published entry, which may be another writer's."""
        if entry.zone != self.entry.zone:
            self.zone_changed_s = now
        self.entry = entry

    def confirm_zone(self, now: float) -> None:
        """Take over the zone of the entry once its agent had time to write it again."""
        if now - self.zone_changed_s >= ZONE_CONFIRMATION_S:
            self.own_zone = self.entry.zone

    def expect_message(self, now: float) -> None:
        """Start the silence timeout, unless it is already running."""
        if not self.is_message_expected:
            self.is_message_expected = True
            self.last_heard_s = now

    def record_message(self, now: float) -> None:
        """Record that the member is alive and end the time for which it is avoided."""
        self.last_heard_s = now
        self.has_been_heard = True
        self.is_message_expected = self.is_subscribed
        self.suspect_until_s = 0.0
        self.failures = 0

    def set_load(self, load: Load) -> None:
        """Set the load that the agent has sent."""
        self.load = load
        self.is_restarting = load.is_stopping
        if load.is_accepting:
            self.withdrawn_s = float("-inf")

    def mark_subscribed(self, now: float) -> None:
        """Mark the member as subscribed and expect its load reports.

        `BalancerSteering` sends the subscription.
        """
        self.is_subscribed = True
        self.expect_message(now)

    def mark_unsubscribed(self) -> None:
        """Mark the member as not subscribed; its silence no longer counts."""
        self.is_subscribed = False
        self.is_message_expected = False

    def is_withdrawn(self, now: float) -> bool:
        """Return whether its agent has just said that it has withdrawn its entry."""
        return now - self.withdrawn_s <= WITHDRAWAL_S

    def get_announced_change(self, now: float) -> EntryChanged | None:
        """Return the change of its entry of which the agent is still told."""
        if self.is_unlisted or now < self.change_announced_until_s:
            return self.change
        return None

    def compute_utilization(self) -> float:
        """Return the expected utilization of the slots after one more flow."""
        slots = max(1, self.entry.slots)
        if self.load is None:
            return (self.flows_since_report + 1) * NEW_FLOW_LOAD / slots
        if self.load.pace > 0:
            slots *= self.load.pace
        flows = max(1, self.load.flows)
        demand = max(NEW_FLOW_LOAD / 2, self.load.mean_running / flows)
        busy = max(self.load.mean_running, 0.5 * self.load.running)
        return (busy + (self.flows_since_report + 1) * demand) / slots
