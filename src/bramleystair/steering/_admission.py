"""Admission control: the number of requests that an agent lets its server process."""

from bramleystair.steering._agent_settings import AgentSteeringSettings
from bramleystair.steering._cold_rate_limiter import ColdRateLimiter
from bramleystair.steering._load import LoadMeter
from bramleystair.steering._offers import SlotOffers
from bramleystair.steering._reservations import Reservations
from bramleystair.steering._types import Address, Urgency


class AdmissionControl:
    """Count requests in progress and expected, and offer slots as they become free.

    Parameters
    ----------
    settings : AgentSteeringSettings
        Timeouts and limits.
    """

    def __init__(self, settings: AgentSteeringSettings) -> None:
        self._settings = settings
        self.meter = LoadMeter(settings.busy_window_s)
        self._reservations = Reservations(settings.request_wait_s)
        self._offers = SlotOffers(settings.offer_wait_s, settings.interest_s)
        self._cold_rate_limiter = ColdRateLimiter()
        self._cold_until_s = 0.0
        # Whether requests are delivered by urgency, so that one on a new flow overtakes
        # less urgent ones.
        self.has_request_gate = False
        # Priorities of the requests in progress, as far as known.
        self._priorities: dict[bytes, int] = {}
        # Time of the last new flow by priority.
        self._last_arrivals_s: dict[int, float] = {}

    @property
    def next_offer_expiry_s(self) -> float:
        """Time at which a reserved slot may be offered to another balancer."""
        return self._offers.next_expiry_s

    def reset(self, now: float) -> None:
        """Discard the state of a replaced server."""
        self.meter.reset(now)
        self._priorities.clear()
        self._reservations.clear()

    def set_cold(self, seconds: float, now: float) -> None:
        """Set the time for which the server remains cold."""
        self._cold_until_s = now + seconds

    def extend_cold(self, seconds: float, now: float) -> None:
        """Let the server remain cold for at least the given time."""
        self._cold_until_s = max(self._cold_until_s, now + seconds)

    def is_cold(self, now: float) -> bool:
        """Return whether the server is cold."""
        return now < self._cold_until_s

    def exceeds_cold_rate(self, rate: float, now: float) -> bool:
        """Return whether a cold server has reached its rate of new flows."""
        return self.is_cold(now) and not self._cold_rate_limiter.allows(rate, now)

    def record_arrival(self, urgency: Urgency, now: float) -> None:
        """Record the arrival of a flow, whether it is admitted or not."""
        self._last_arrivals_s[urgency.priority] = now

    def is_busy(self, slots: int, now: float, urgency: Urgency | None = None) -> bool:
        """Return whether no slot is free for a new flow, of `urgency` if known."""
        settings = self._settings
        factor, less_urgent = 1.0, 0
        if self._outranks_other_flows(urgency, now):
            factor = settings.urgent_share
            less_urgent = self._count_less_urgent(urgency)
        running = self.meter.running - less_urgent
        requests = self.count_requests(now) - less_urgent
        return (
            running >= factor * settings.max_load * slots
            or requests >= factor * settings.max_admitted * slots
        )

    def _count_less_urgent(self, urgency: Urgency) -> int:
        """Return the number of requests in progress that a new flow overtakes."""
        if not self.has_request_gate:
            return 0
        priorities = self._priorities.values()
        return sum(priority > urgency.priority for priority in priorities)

    def _outranks_other_flows(self, urgency: Urgency | None, now: float) -> bool:
        """Return whether flows of a lower priority use the server as well.

        Late flows outrank none.
        """
        if urgency is None or urgency.is_late:
            return False
        oldest_s = now - self._settings.flow_lifetime_s
        return any(
            priority > urgency.priority and seen_s >= oldest_s
            for priority, seen_s in self._last_arrivals_s.items()
        )

    def count_requests(self, now: float) -> int:
        """Return the number of requests in progress or expected."""
        expected = self._reservations.count(now) + self._offers.count(now)
        return self.meter.running + expected

    def admit(self, flow: bytes, now: float) -> None:
        """Reserve a slot for the first request of an admitted flow."""
        self._cold_rate_limiter.record(now)
        self._reservations.add(flow, now)

    def start_request(
        self, flow: bytes, now: float, priority: int | None = None
    ) -> None:
        """Count a request for the server, of `priority` if known."""
        self._reservations.discard(flow)
        self.meter.start_request(now)
        if priority is not None:
            self._priorities[flow] = priority

    def end_request(self, flow: bytes, started_s: float | None, now: float) -> None:
        """Count the end of a request; see `LoadMeter.end_request`."""
        self._priorities.pop(flow, None)
        self.meter.end_request(started_s, now)

    def cancel_reservation(self, flow: bytes) -> None:
        """Give up the reservation of a flow that ends."""
        self._reservations.discard(flow)

    def release_offer(self, balancer: Address) -> None:
        """Free the slot reserved for a balancer, which has answered the offer."""
        self._offers.release(balancer)

    def set_waiting_urgency(
        self, balancer: Address, urgency: Urgency | None, now: float
    ) -> None:
        """Set the urgency of the most urgent flow that waits at a balancer.

        None means that no flow waits there.
        """
        if urgency is None:
            self._offers.remove_waiting(balancer)
        else:
            self._offers.add_waiting(balancer, urgency, now)

    def reserve_offer(self, slots: int, now: float) -> Address | None:
        """Reserve a free slot for a waiting balancer and return its address.

        None means that no balancer waits or no slot is free.
        """
        urgency = self._offers.get_highest_urgency(now)
        if urgency is None or self.is_busy(slots, now, urgency):
            return None
        return self._offers.reserve_next(now)
