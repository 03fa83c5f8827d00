"""Admission control for new flows."""

from bramleystair.flows._cold_start import ColdStart
from bramleystair.flows._settings import FlowSettings
from bramleystair.tables import Member

# Capacity of the token bucket in seconds of its rate; a larger one would admit a burst
# to a cold server.
MAX_BURST_S = 0.1


class Admission:
    """Check the limits of a backend server in a fixed order.

    The first check that fails gives the reason for the refusal.
    """

    def __init__(self, settings: FlowSettings, cold_start: ColdStart) -> None:
        self._cold_start = cold_start
        self._rate = settings.max_new_flows_per_s
        self._tokens = 1.0
        self._refilled_at_s = 0.0
        self.is_draining = False

    def check(
        self, member: Member | None, is_zone_out: bool, flows: int, now: float
    ) -> str:
        """Return the reason for refusing a new flow, or an empty string.

        Parameters
        ----------
        member : Member or None
            The server's row in the service's table.
        is_zone_out : bool
            Whether the server's availability zone is out of service.
        flows : int
            Open flows of the service on the server.
        """
        if member is None:
            return "wrong_service"
        if is_zone_out:
            return "zone_out"
        if self.is_draining or member.weight <= 0:
            return "draining"
        if flows >= member.max_flows:
            return "cap"
        if flows >= self._cold_start.compute_limit(member.max_flows, now):
            return "cold"
        if not self._take_token(now):
            return "cold"
        return ""

    def _take_token(self, now: float) -> bool:
        fraction = self._cold_start.compute_fraction(now)
        if fraction >= 1.0:
            return True
        rate = self._rate * fraction
        elapsed = max(0.0, now - self._refilled_at_s)
        burst = max(1.0, rate * MAX_BURST_S)
        self._tokens = min(burst, self._tokens + elapsed * rate)
        self._refilled_at_s = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
