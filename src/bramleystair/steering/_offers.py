"""Free slots that an agent offers to balancers whose callers wait."""

import attrs

from bramleystair.steering._reservations import Reservations
from bramleystair.steering._types import Address, Urgency


@attrs.frozen
class _Interest:
    """The most urgent flow that waits at a balancer."""

    urgency: Urgency
    expires_s: float


class SlotOffers:
    """Remember which balancers wait for a slot, and keep the slots offered to them.

    Parameters
    ----------
    offer_wait_s : float
        Time for which an offered slot is kept.
    interest_s : float
        Time for which a balancer that was refused is offered slots.
    """

    def __init__(self, offer_wait_s: float, interest_s: float) -> None:
        self._interest_s = interest_s
        # In the order of service; a balancer that was served goes to the end.
        self._interested: dict[Address, _Interest] = {}
        self._offered = Reservations(offer_wait_s)

    def count(self, now: float) -> int:
        """Return the number of slots kept."""
        return self._offered.count(now)

    def add_interest(self, balancer: Address, urgency: Urgency, now: float) -> None:
        """Note that flows of up to `urgency` wait at `balancer`."""
        # A balancer that asks again keeps its place.
        self._interested[balancer] = _Interest(urgency, now + self._interest_s)

    def remove_interest(self, balancer: Address) -> None:
        """Note that no flow waits at `balancer`."""
        self._interested.pop(balancer, None)

    def settle(self, balancer: Address) -> None:
        """Note that `balancer` answered an offer, if it got one."""
        self._offered.discard(balancer)

    def choose(self, now: float) -> Address | None:
        """Keep a free slot for the next balancer, and return it."""
        live = {b: i for b, i in self._interested.items() if i.expires_s > now}
        if not live:
            self._interested.clear()
            return None
        # Of equally urgent ones, the first in the order of service.
        balancer = min(live, key=lambda b: live[b].urgency)
        del self._interested[balancer]
        self._offered.add(balancer, now)
        return balancer

    def get_urgency(self, now: float) -> Urgency | None:
        """Return the urgency of the most urgent flow that waits, or None."""
        live = [i.urgency for i in self._interested.values() if i.expires_s > now]
        return min(live, default=None)

    @property
    def due_s(self) -> float:
        """Time at which a slot that was kept may be offered to another balancer."""
        return self._offered.due_s if self._interested else float("inf")
