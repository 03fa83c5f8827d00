"""Reload of changed settings while a node runs."""

from collections.abc import Callable

import attrs
from result import Result

from bramleystair.errors import StepError
from bramleystair.logs import get_logger
from bramleystair.metrics import Metrics
from bramleystair.nodes._settings import NodeSettings
from bramleystair.timers import TimerService

log = get_logger("settings")

# The file may change without a signal, so it is also read at this interval. The file is
# small: one read takes about 0.1 ms.
CHECK_PERIOD_S = 5.0
# Settings that a running node applies; changes of others take effect at its next start.
RELOADABLE_SETTINGS = frozenset(
    {
        "peers",
        "store_address",
        "server_address",
        "service",
        "heartbeat_s",
        "grace_s",
        "flow_lifetime_s",
        "zones",
    }
)


@attrs.frozen
class SettingsChange:
    """Difference between the settings in force and those that were read.

    Parameters
    ----------
    settings : NodeSettings
        Settings in force after the change.
    applied : tuple of str
        Names of the changed settings that were applied.
    pending : tuple of str
        Names of the changed settings that take effect at the next start.
    """

    settings: NodeSettings
    applied: tuple[str, ...]
    pending: tuple[str, ...]


def compute_settings_change(current: NodeSettings, new: NodeSettings) -> SettingsChange:
    """Return the change from the settings in force to those that were read."""
    changed = {
        field.name: getattr(new, field.name)
        for field in attrs.fields(NodeSettings)
        if getattr(new, field.name) != getattr(current, field.name)
    }
    applied = {
        name: value for name, value in changed.items() if name in RELOADABLE_SETTINGS
    }
    return SettingsChange(
        attrs.evolve(current, **applied),
        tuple(sorted(applied)),
        tuple(sorted(set(changed) - set(applied))),
    )


class SettingsMonitor:
    """Reload the settings on request and periodically.

    Parameters
    ----------
    timers : TimerService
        Runs the periodic checks.
    read : callable
        Reads the settings; returns them or an error that names what is wrong.
    apply : callable
        Applies new settings and returns the SettingsChange.
    metrics : Metrics
        Counts failed reads of the settings.
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
        self._pending: tuple[str, ...] = ()
        self._error: StepError | None = None

    def start(self) -> None:
        """Start the periodic checks."""
        self._timers.subscribe_every(CHECK_PERIOD_S, lambda _: self.check())

    def check(self) -> None:
        """Read the settings now, and log the outcome if it differs from the last."""
        self._check(False)

    def reload(self) -> None:
        """Reload the settings now, and log the outcome even if nothing changed."""
        self._check(True)

    def _check(self, is_requested: bool) -> None:
        result = self._read()
        if result.is_err():
            self._report_error(result.unwrap_err(), is_requested)
            return
        self._error = None
        change = self._apply(result.unwrap())
        has_changed = bool(change.applied) or change.pending != self._pending
        self._pending = change.pending
        if has_changed or is_requested:
            extra = {"applied": list(change.applied), "waiting": list(change.pending)}
            log.info("settings reloaded", extra=extra)

    def _report_error(self, error: StepError, is_requested: bool) -> None:
        if is_requested or error != self._error:
            self._metrics.count("settings_ignored")
            log.warning("settings not reloaded: %s", error)
        self._error = error
