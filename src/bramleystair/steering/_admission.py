"""How much an agent lets its backend server have at once."""

from bramleystair.steering._agent_settings import AgentSteeringSettings
from bramleystair.steering._cold_gate import ColdGate
from bramleystair.steering._load import LoadMeter
from bramleystair.steering._offers import SlotOffers
from bramleystair.steering._reservations import Reservations
from bramleystair.steering._types import Address, Urgency


class Admission:
    """Count requests in progress and expected, and offer the slots that get free.

    Parameters
    ----------
    settings : AgentSteeringSettings
        Times and limits.
    """

    def __init__(self, settings: AgentSteeringSettings) -> None:
        self._settings = settings
        self.meter = LoadMeter(settings.busy_window_s)
        self._reservations = Reservations(settings.request_wait_s)
        self._offers = SlotOffers(settings.offer_wait_s, settings.interest_s)
        self._cold_gate = ColdGate()
        self._cold_until_s = 0.0
        # Time at which a flow of each priority came last.
        self._priorities_s: dict[int, float] = {}

    @property
    def due_s(self) -> float:
        """Time at which a slot that was kept may be offered to another balancer."""
        return self._offers.due_s

    def reset(self, now: float) -> None:
        """Forget the requests of a former server."""
        self.meter.reset(now)
        self._reservations.clear()

    def set_cold(self, seconds: float, now: float) -> None:
        """Note for how long the server remains cold."""
        self._cold_until_s = now + seconds

    def is_cold(self, now: float) -> bool:
        """Return whether the server is cold."""
        return now < self._cold_until_s

    def is_too_cold(self, rate: float, now: float) -> bool:
        """Return whether a cold server has got the flows of this second."""
        return self.is_cold(now) and not self._cold_gate.is_open(rate, now)

    def record_urgency(self, urgency: Urgency, now: float) -> None:
        """Note that a flow of this urgency came, whether it is taken or not."""
        self._priorities_s[urgency.priority] = now

    def is_busy(self, slots: int, now: float, urgency: Urgency | None = None) -> bool:
        """Return whether no slot is free for another flow, of `urgency` if known."""
        settings = self._settings
        share = settings.urgent_share if self._precedes_others(urgency, now) else 1.0
        return (
            self.meter.running >= share * settings.max_load * slots
            or self.count(now) >= share * settings.max_admitted * slots
        )

    def _precedes_others(self, urgency: Urgency | None, now: float) -> bool:
        """Return whether flows of a lower priority use the server as well."""
        if urgency is None or urgency.is_late:
            return False
        oldest_s = now - self._settings.flow_lifetime_s
        return any(
            priority > urgency.priority and seen_s >= oldest_s
            for priority, seen_s in self._priorities_s.items()
        )

    def count(self, now: float) -> int:
        """Return the requests in progress, with those that are on their way."""
        expected = self._reservations.count(now) + self._offers.count(now)
        return self.meter.running + expected

    def admit(self, flow: bytes, now: float) -> None:
        """Expect the first request of a flow that was taken."""
        self._cold_gate.record(now)
        self._reservations.add(flow, now)

    def start_request(self, flow: bytes, now: float) -> None:
        """Count a request that is passed to the server."""
        self._reservations.discard(flow)
        self.meter.start_request(now)

    def discard(self, flow: bytes) -> None:
        """Expect no request of a flow that ends."""
        self._reservations.discard(flow)

    def settle_offer(self, balancer: Address) -> None:
        """Give back the slot kept for a balancer, which has answered."""
        self._offers.settle(balancer)

    def set_waiting(
        self, balancer: Address, urgency: Urgency | None, now: float
    ) -> None:
        """Note the most urgent flow that waits at a balancer, or that none does."""
        if urgency is None:
            self._offers.remove_interest(balancer)
        else:
            self._offers.add_interest(balancer, urgency, now)

    def keep_slot(self, slots: int, now: float) -> Address | None:
        """Keep a free slot for a balancer and return it; None without either."""
        urgency = self._offers.get_urgency(now)
        if urgency is None or self.is_busy(slots, now, urgency):
            return None
        return self._offers.choose(now)
