"""Settings that change while a node runs."""

from collections.abc import Callable

import attrs
from result import Result

from bramleystair.errors import StepError
from bramleystair.logs import get_logger
from bramleystair.metrics import Metrics
from bramleystair.nodes._settings import NodeSettings
from bramleystair.timers import TimerService

log = get_logger("settings")

# The file is small and may change without a signal; this bounds how long that stays
# unnoticed at a cost of about 0.1 ms each time.
CHECK_PERIOD_S = 5.0
# Settings that a running node takes over; the others hold until its next start.
APPLICABLE = frozenset(
    {
        "peers",
        "store_address",
        "server_address",
        "service",
        "heartbeat_s",
        "grace_s",
        "flow_lifetime_s",
    }
)


@attrs.frozen
class SettingsChange:
    """What differs between the settings in force and those that were read.

    Parameters
    ----------
    settings : NodeSettings
        Settings that are in force from now on.
    applied, waiting : tuple of str
        Names of the settings that were taken over, and of those that wait for the next
        start.
    """

    settings: NodeSettings
    applied: tuple[str, ...]
    waiting: tuple[str, ...]


def compare_settings(present: NodeSettings, read: NodeSettings) -> SettingsChange:
    """Return what a node that runs with `present` takes over from `read`."""
    changed = {
        field.name: getattr(read, field.name)
        for field in attrs.fields(NodeSettings)
        if getattr(read, field.name) != getattr(present, field.name)
    }
    applied = {name: value for name, value in changed.items() if name in APPLICABLE}
    return SettingsChange(
        attrs.evolve(present, **applied),
        tuple(sorted(applied)),
        tuple(sorted(set(changed) - set(applied))),
    )


class SettingsMonitor:
    """Read the settings again on request and at intervals.

    Parameters
    ----------
    timers : TimerService
        Runs the checks.
    read : callable
        Returns the settings, or an error that names what is wrong with them.
    apply : callable
        Takes over new settings and returns the SettingsChange.
    metrics : Metrics
        Counts settings that could not be read.
    """

    def __init__(
        self,
        timers: TimerService,
        read: Callable[[], Result[NodeSettings, StepError]],
        apply: Callable[[NodeSettings], SettingsChange],
        metrics: Metrics,
    ) -> None:
        self._timers = timers
        self._read = read
        self._apply = apply
        self._metrics = metrics
        self._waiting: tuple[str, ...] = ()
        self._error: StepError | None = None

    def start(self) -> None:
        """Begin the checks at intervals."""
        self._timers.subscribe_every(CHECK_PERIOD_S, lambda _: self._check(False))

    def reload(self) -> None:
        """Read the settings now, and log the outcome even if nothing changed."""
        self._check(True)

    def _check(self, is_requested: bool) -> None:
        result = self._read()
        if result.is_err():
            self._record_error(result.unwrap_err(), is_requested)
            return
        self._error = None
        change = self._apply(result.unwrap())
        is_news = bool(change.applied) or change.waiting != self._waiting
        self._waiting = change.waiting
        if is_news or is_requested:
            extra = {"applied": list(change.applied), "waiting": list(change.waiting)}
            log.info("reload", extra=extra)

    def _record_error(self, error: StepError, is_requested: bool) -> None:
        if is_requested or error != self._error:
            self._metrics.count("settings_ignored")
            log.warning("settings ignored: %s", error)
        self._error = error
