"""Free slots that an agent offers to balancers with waiting callers."""

import attrs

from bramleystair.steering._reservations import Reservations
from bramleystair.steering._types import Address, Urgency


@attrs.frozen
class _WaitingBalancer:
    """Urgency of the most urgent flow that waits at a balancer."""

    urgency: Urgency
    expires_s: float


class SlotOffers:
    """Track which balancers wait for a slot, and reserve the slots offered to them.

    Parameters
    ----------
    offer_wait_s : float
        Time for which an offered slot is reserved.
    interest_s : float
        Time for which a balancer that was refused is offered slots.
    """

    def __init__(self, offer_wait_s: float, interest_s: float) -> None:
        self._interest_s = interest_s
        # A queue: a balancer that got an offer and waits again goes to the end.
        self._waiting: dict[Address, _WaitingBalancer] = {}
        self._offered = Reservations(offer_wait_s)

    def count(self, now: float) -> int:
        """Return the number of reserved slots."""
        return self._offered.count(now)

    def add_waiting(self, balancer: Address, urgency: Urgency, now: float) -> None:
        """Record that the most urgent flow waiting at `balancer` has `urgency`."""
        # A balancer that asks again keeps its position in the queue.
        self._waiting[balancer] = _WaitingBalancer(urgency, now + self._interest_s)

    def remove_waiting(self, balancer: Address) -> None:
        """Record that no flow waits at `balancer`."""
        self._waiting.pop(balancer, None)

    def release(self, balancer: Address) -> None:
        """Free the slot that was offered to `balancer`, if any."""
        self._offered.discard(balancer)

    def reserve_next(self, now: float) -> Address | None:
        """Reserve a free slot for the next balancer, and return its address."""
        unexpired = {b: w for b, w in self._waiting.items() if w.expires_s > now}
        if not unexpired:
            self._waiting.clear()
            return None
        # Among equally urgent ones, the first in the queue.
        balancer = min(unexpired, key=lambda b: unexpired[b].urgency)
        del self._waiting[balancer]
        self._offered.add(balancer, now)
        return balancer

    def get_highest_urgency(self, now: float) -> Urgency | None:
        """Return the urgency of the most urgent waiting flow, or None."""
        unexpired = [w.urgency for w in self._waiting.values() if w.expires_s > now]
        return min(unexpired, default=None)

    @property
    def next_expiry_s(self) -> float:
        """Time at which a reserved slot may be offered to another balancer."""
        return self._offered.next_expiry_s if self._waiting else float("inf")
