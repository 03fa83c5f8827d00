"""Refusal of reports that the agent's server cannot have sent."""

from collections import Counter
from collections.abc import Callable

import attrs
from result import Result

from bramleystair.errors import StepError
from bramleystair.http import HttpRequest
from bramleystair.logs import get_logger
from bramleystair.metrics import Metrics
from bramleystair.nodes._settings import NodeSettings
from bramleystair.steering import ServerReport, ServerShutdown
from bramleystair.timers import TimerService

log = get_logger("reports")

# Refusals of one cause are logged once in this period, and their number at its end.
LOG_PERIOD_S = 10.0
MAX_CAUSES_PER_PERIOD = 20


@attrs.frozen
class ReportError(StepError):
    """Failure to read a report.

    Parameters
    ----------
    reason : str
        Label of the counter `report_ignored`.
    """

    reason: str


ReportParser = Callable[
    [HttpRequest], Result[ServerReport | ServerShutdown, ReportError]
]


def find_conflict(report: ServerReport, settings: NodeSettings) -> ReportError | None:
    """Return how a report contradicts the settings of the server, or None."""
    checks = [
        ("other_zone", report.zone, settings.zone),
        ("other_service", report.service, settings.service),
        ("other_address", report.address, settings.server_address),
    ]
    for reason, reported, expected in checks:
        if expected and reported != expected:
            detail = f"{reported!r} instead of {expected!r}"
            return ReportError("check report", report.server, detail, reason)
    return None


class RefusalLog:
    """Count refused reports, and log each cause once in a period.

    Parameters
    ----------
    timers : TimerService
        Runs the end of each period.
    metrics : Metrics
        Counts the refusals by reason.
    """

    def __init__(self, timers: TimerService, metrics: Metrics) -> None:
        self._timers = timers
        self._metrics = metrics
        self._causes: set[ReportError] = set()
        self._repeated: Counter[str] = Counter()

    def record(self, error: ReportError) -> None:
        """Count a refusal, and log it unless its cause was logged in this period."""
        self._metrics.count("report_ignored", error.reason)
        if not self._causes:
            self._timers.subscribe_once(LOG_PERIOD_S, self._end_period)
        if error in self._causes or len(self._causes) >= MAX_CAUSES_PER_PERIOD:
            self._repeated[error.reason] += 1
            return
        self._causes.add(error)
        log.warning("server report ignored: %s", error, extra={"reason": error.reason})

    def _end_period(self, _: float) -> None:
        if self._repeated:
            extra = {"seconds": LOG_PERIOD_S, "repeated": dict(self._repeated)}
            log.warning("server reports ignored repeatedly", extra=extra)
        self._causes.clear()
        self._repeated.clear()
