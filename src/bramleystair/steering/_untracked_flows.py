"""What an agent knows about flows of its server that it does not track.

An agent that was restarted knows none of the flows that its server holds. The server
returns packets of flows that it does not hold, so it can always be asked.
"""

import attrs

from bramleystair.steering._agent_settings import AgentSteeringSettings
from bramleystair.steering._segments import Segment, are_of_one_flow
from bramleystair.steering._types import ServerReport

# Tolerance, in report intervals, when the start of a new server is estimated from the
# number of its reports: they are sent at about the interval, the first one soon after
# the start.
START_ESTIMATE_MARGIN_HEARTBEATS = 1.5


@attrs.frozen
class _ReturnedFlow:
    """Flow of which the server has returned a packet since it does not hold it.

    Parameters
    ----------
    acknowledgement : int
        Acknowledgement number of that packet.
    """

    acknowledgement: int
    returned_s: float


class UntrackedFlows:
    """Tell which flows the server may hold although its agent does not track them.

    Parameters
    ----------
    settings : AgentSteeringSettings
        Lifetime of flows and interval of the server's reports.
    now : float
        Time of the start of the agent in seconds.
    """

    def __init__(self, settings: AgentSteeringSettings, now: float) -> None:
        self.settings = settings
        self._started_s = now
        self._may_hold_until_s = now + settings.flow_lifetime_s
        # Whether no server listens at the server's address, and the time at which this
        # was noticed.
        self.is_server_absent = False
        self._absence_noticed_s: float | None = None
        # Whether the server seems to have started after this process, which has seen
        # all its flows then. Lookups are answered accordingly; packets are returned by
        # the server alone, since a balancer may reset their callers.
        self._is_server_younger = False
        self._returned: dict[bytes, _ReturnedFlow] = {}

    def set_server_absent(self, is_absent: bool, now: float) -> None:
        """Record whether a server listens at the server's address."""
        if is_absent and not self.is_server_absent:
            self._absence_noticed_s = now
        self.is_server_absent = is_absent

    def handle_first_report(self, report: ServerReport, now: float) -> None:
        """Estimate whether the first server that reports is younger than the agent."""
        self._is_server_younger = self._seems_younger(report, now)

    def handle_other_server(self) -> None:
        """Record that the server may be another one, of an unknown age."""
        self._is_server_younger = False

    def handle_replacement(self, now: float) -> None:
        """Record that another server is used, whose flows are not known."""
        self._may_hold_until_s = now + self.settings.flow_lifetime_s
        self._is_server_younger = False

    def record_returned(self, segment: Segment, now: float) -> None:
        """Record a flow of which the server has returned a packet."""
        self._returned[segment.flow] = _ReturnedFlow(segment.acknowledgement, now)

    def forget(self, flow: bytes) -> None:
        """Forget that a packet of `flow` was returned, as it is opened again."""
        self._returned.pop(flow, None)

    def purge(self, oldest_s: float) -> None:
        """Forget the flows that were returned before `oldest_s`."""
        self._returned = {
            flow: returned
            for flow, returned in self._returned.items()
            if returned.returned_s >= oldest_s
        }

    def may_be_claimed(self, flow: bytes, acknowledgement: int, now: float) -> bool:
        """Return whether a lookup of an untracked flow is answered as unsure."""
        return not self._is_server_younger and self.may_hold(flow, acknowledgement, now)

    def may_hold(self, flow: bytes, acknowledgement: int, now: float) -> bool:
        """Return whether the server may hold an untracked flow.

        Parameters
        ----------
        acknowledgement : int
            Sequence number that the caller acknowledged last. It tells the flow from
            another one of the same addresses and ports.
        """
        if now >= self._may_hold_until_s or self.is_server_absent:
            return False
        returned = self._returned.get(flow)
        return returned is None or not are_of_one_flow(
            returned.acknowledgement, acknowledgement
        )

    def _seems_younger(self, report: ServerReport, now: float) -> bool:
        """Return whether the server seems to have started after this process.

        It did if this process found its address without a listener before, and has not
        sent more reports than fit into the time since. Where both started together, as
        after a power loss, a cold server reports as soon as the agent listens. No times
        of day are compared, as they may be set between the starts of two processes.
        """
        settings = self.settings
        noticed_s = self._absence_noticed_s
        if noticed_s is not None:
            elapsed_intervals = (now - noticed_s) / settings.heartbeat_s
            limit = 1 + elapsed_intervals + START_ESTIMATE_MARGIN_HEARTBEATS
            if report.sequence <= limit:
                return True
        is_at_start = now - self._started_s <= settings.start_margin_s
        return is_at_start and report.cold_left_s > 0
