"""Log of objects that are not kept."""

from collections import Counter

from bramleystair.logs import get_logger
from bramleystair.metrics import Metrics
from bramleystair.mirror._types import IgnoredObjects
from bramleystair.timers import TimerService

log = get_logger("mirror")

# After a log line, further objects are counted and logged together after this time.
LOG_PERIOD_S = 10.0


class IgnoredLog:
    """Count ignored objects of one kind, and log them at a limited rate.

    Parameters
    ----------
    kind : str
        Kind of the objects.
    timers : TimerService
        Runs the end of each period.
    metrics : Metrics
        Counts the objects by reason, as `object_ignored`.
    """

    def __init__(self, kind: str, timers: TimerService, metrics: Metrics) -> None:
        self._kind = kind
        self._timers = timers
        self._metrics = metrics
        self._is_waiting = False
        self._counts: Counter[str] = Counter()
        self._example = ""

    def record(self, ignored: IgnoredObjects) -> None:
        """Count the ignored objects of a response."""
        for reason, count in ignored.counts.items():
            self._metrics.count("object_ignored", reason, count)
        self._counts.update(ignored.counts)
        self._example = ignored.example
        if not self._is_waiting:
            self._write()

    def _write(self) -> None:
        log.warning(
            "%s: objects ignored",
            self._kind,
            extra={"counts": dict(self._counts), "example": self._example},
        )
        self._counts.clear()
        self._is_waiting = True
        self._timers.subscribe_once(LOG_PERIOD_S, self._end_period)

    def _end_period(self, _: float) -> None:
        self._is_waiting = False
        if self._counts:
            self._write()
