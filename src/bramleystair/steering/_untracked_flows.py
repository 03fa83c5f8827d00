"""What an agent knows about flows of its server that it does not track.

An agent that was restarted knows none of the flows that its server holds. The server
returns packets of flows that it does not hold, so it can always be asked.

A lookup of an untracked flow is denied on evidence, on which the reset of a caller may
rest, in these cases only:

- The server has returned a packet of the flow.
- Nobody listens at the server's address.
- This process found nobody listening there before, so that all flows of a later server
  went through it.
- The first report that it heard of its server was the server's first one: the number
  of a report rises with each call, also one that fails, so that no earlier process was
  told of the server and published it.
- It has run for the lifetime of a flow: each packet that passes makes its flow tracked.

The third and fourth case end with the first sign against them: a report of another
server, a report with a higher number than the server can have reached, another address
of the server, or a packet that the server sends on a flow whose first packet did not
go through this process. A flow that this process tracked and gave up is not denied
unless the server returned a packet of it since.

A report that is missing only takes evidence away. One that another writer sends in the
name of the server can give it, if it is the first one that the process hears and has
the number 1. That lasts until the next report of the server, an interval later, or
until the server sends a packet on an earlier flow; a reset takes the evidence of all
other members besides. An earlier process that admitted flows after a health check, and
ended before the first report of its server, leaves flows of which the next process
does not know.

All times are of the monotonic clock of this process.
"""

import attrs

from bramleystair.steering._agent_settings import AgentSteeringSettings
from bramleystair.steering._messages import Ownership
from bramleystair.steering._segments import Segment, are_of_one_flow
from bramleystair.steering._types import ServerReport

# Tolerance, in report intervals, when the start of a new server is estimated from the
# number of its reports: they are sent at about the interval, the first one soon after
# the start.
START_ESTIMATE_MARGIN_HEARTBEATS = 1.5
# Factor by which reports may follow each other faster than at the interval.
MAX_REPORT_RATE = 1.5
FIRST_SEQUENCE = 1


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


@attrs.frozen
class _AbandonedFlow:
    """Flow that is not tracked any more, although the server may hold it.

    Parameters
    ----------
    is_opened_here : bool
        Whether its first packet went through this process.
    """

    is_opened_here: bool
    abandoned_s: float


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
        # Start of the time in which each packet of the server's flows was seen.
        self._complete_since_s = now
        # Whether no server listens at the server's address, and the time at which this
        # was noticed.
        self.is_server_absent = False
        self._absence_noticed_s: float | None = None
        # Evidence that all flows of the server went through this process.
        self._evidence: Ownership | None = None
        # Number and time of the server's first report, if the evidence rests on it.
        self._first_report: tuple[int, float] | None = None
        # Whether the server seems to have started after this process. Lookups are then
        # denied, by an estimate; packets are returned by the server alone.
        self._is_server_younger = False
        self._returned: dict[bytes, _ReturnedFlow] = {}
        self._abandoned: dict[bytes, _AbandonedFlow] = {}

    def set_server_absent(self, is_absent: bool, now: float) -> None:
        """Record whether a server listens at the server's address."""
        if is_absent and not self.is_server_absent:
            self._absence_noticed_s = now
            self._evidence, self._first_report = Ownership.SEEN_START, None
        self.is_server_absent = is_absent

    def handle_first_report(self, report: ServerReport, now: float) -> None:
        """Use the first report as a sign whether the server is younger than the agent.

        Where both started together, as after a power loss, a cold server reports as
        soon as the agent listens. No times of day are compared, as they may be set
        between the starts of two processes.
        """
        has_fitting_number = self._fits_absence(report, now)
        is_at_start = now - self._started_s <= self.settings.start_margin_s
        self._is_server_younger = has_fitting_number or (
            is_at_start and report.cold_left_s > 0
        )
        if self._absence_noticed_s is not None:
            self._evidence = self._evidence if has_fitting_number else None
        elif report.sequence <= FIRST_SEQUENCE:
            self._evidence = Ownership.FIRST_REPORT
            self._first_report = report.sequence, now

    def handle_next_report(self, report: ServerReport, now: float) -> None:
        """Check whether a later report of the server contradicts its first one."""
        if self._first_report is None:
            return
        sequence, reported_s = self._first_report
        intervals = (now - reported_s) / self.settings.heartbeat_s
        limit = MAX_REPORT_RATE * intervals + START_ESTIMATE_MARGIN_HEARTBEATS
        if report.sequence - sequence > limit:
            self.revoke_evidence()

    def revoke_evidence(self) -> None:
        """Record that the server may hold flows that this process has not seen."""
        self._evidence = self._first_report = None
        self._is_server_younger = False

    def handle_replacement(self, now: float) -> None:
        """Record that another server is used, whose flows are not known."""
        self._complete_since_s = now
        self.revoke_evidence()

    def record_returned(self, segment: Segment, now: float) -> None:
        """Record a flow of which the server has returned a packet."""
        self._returned[segment.flow] = _ReturnedFlow(segment.acknowledgement, now)

    def record_abandoned(self, flow: bytes, is_opened_here: bool, now: float) -> None:
        """Record a flow that is not tracked any more, although the server may hold it.

        Only a packet of it that the server returns is evidence against that.
        """
        self._abandoned[flow] = _AbandonedFlow(is_opened_here, now)

    def was_opened_here(self, flow: bytes) -> bool:
        """Return whether an abandoned flow was opened through this process."""
        abandoned = self._abandoned.get(flow)
        return abandoned is not None and abandoned.is_opened_here

    def handle_server_moved(self) -> None:
        """Forget what was found at another address of the server."""
        self.is_server_absent = False
        self._absence_noticed_s = None
        self.revoke_evidence()

    def forget(self, flow: bytes) -> None:
        """Forget what became of an earlier flow, as `flow` is opened again."""
        self._returned.pop(flow, None)
        self._abandoned.pop(flow, None)

    def purge(self, oldest_s: float) -> None:
        """Forget the flows that were returned or given up before `oldest_s`."""
        self._returned = {
            flow: returned
            for flow, returned in self._returned.items()
            if returned.returned_s >= oldest_s
        }
        self._abandoned = {
            flow: abandoned
            for flow, abandoned in self._abandoned.items()
            if abandoned.abandoned_s >= oldest_s
        }

    def answer_lookup(self, flow: bytes, acknowledgement: int, now: float) -> Ownership:
        """Return the answer to a lookup of an untracked flow."""
        denial = self.find_denial(flow, acknowledgement, now)
        if denial is not None:
            return denial
        if flow in self._abandoned:
            return Ownership.UNSURE
        if self._evidence is not None:
            return self._evidence
        return Ownership.NONE if self._is_server_younger else Ownership.UNSURE

    def find_denial(
        self, flow: bytes, acknowledgement: int, now: float
    ) -> Ownership | None:
        """Return why the server cannot hold an untracked flow, or None if it may.

        Packets of flows that it may hold are passed to it.

        Parameters
        ----------
        acknowledgement : int
            Sequence number that the caller acknowledged last. It tells the flow from
            another one of the same addresses and ports.
        """
        if self.is_server_absent:
            return Ownership.SERVER_ABSENT
        returned = self._returned.get(flow)
        if returned is not None and are_of_one_flow(
            returned.acknowledgement, acknowledgement
        ):
            return Ownership.RETURNED
        if flow in self._abandoned:
            return None
        if now - self._complete_since_s >= self.settings.flow_lifetime_s:
            return Ownership.LIFETIME_PASSED
        return None

    def _fits_absence(self, report: ServerReport, now: float) -> bool:
        """Return whether a server can have sent as many reports since it was absent."""
        if self._absence_noticed_s is None:
            return False
        intervals = (now - self._absence_noticed_s) / self.settings.heartbeat_s
        return report.sequence <= 1 + intervals + START_ESTIMATE_MARGIN_HEARTBEATS
