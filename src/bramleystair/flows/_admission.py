"""Decision whether an agent takes a new flow."""

from bramleystair.flows._cold_start import ColdStart
from bramleystair.flows._settings import FlowSettings
from bramleystair.tables import Member

# Unused rate that may be made up for; more would admit a burst to a cold server.
MAX_BURST_S = 0.1


class Admission:
    """Check the owner's limits in the order of the design."""

    def __init__(self, settings: FlowSettings, cold_start: ColdStart) -> None:
        self._cold_start = cold_start
        self._rate = settings.max_new_flows_per_s
        self._tokens = 1.0
        self._refilled_at_s = 0.0
        self.is_draining = False

    def check(
        self, member: Member | None, is_zone_out: bool, flows: int, now: float
    ) -> str:
        """Return the reason for a refusal, or an empty string.

        Parameters
        ----------
        member : Member or None
            The server's row in the service's table.
        is_zone_out : bool
            Whether the server's availability zone is out of service.
        flows : int
            Flows that the server holds for the service.
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
