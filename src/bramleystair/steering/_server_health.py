"""Health of a backend server, judged by its answers to the requests of callers.

Runs in the agent process. A server may fail or hang while its reports and its health
check are good, and new flows would even prefer it: it looks idle.
"""

import enum
from collections.abc import Callable

from bramleystair.steering._options import ServerFaultSettings
from bramleystair.steering._outbox import Outbox

# Weight of the newest outcome in the moving average of failures: two failures in a row
# exceed a share of a half.
OUTCOME_WEIGHT = 0.3


# The end of a flow may overtake the response before it by this time in seconds.
REORDERING_S = 0.05


class Failure(enum.StrEnum):
    """Sign that a server fails its callers."""

    OVERDUE = "overdue"
    CLOSED = "closed"
    RETURNED = "returned"


class Phase(enum.StrEnum):
    """How new flows are admitted to a server."""

    SOUND = "sound"
    PAUSED = "paused"
    TRIAL = "trial"


class ServerHealth:
    """Decide whether a server gets new flows, by the outcome of its requests.

    A server whose recent requests fail is paused: it gets no new flows, and keeps those
    that it has. After the pause, one flow at a time is admitted as a trial. Answers in
    time make the server sound again; a failure starts a longer pause.

    Memory is bounded by the flows of the server that have a request in progress.

    Parameters
    ----------
    settings : ServerFaultSettings
        Limits and pauses.
    outbox : Outbox
        Receives counts and log lines.
    on_change : callable
        Called with the time when new flows are refused or admitted again.
    """

    def __init__(
        self,
        settings: ServerFaultSettings,
        outbox: Outbox,
        on_change: Callable[[float], None],
    ) -> None:
        self._settings = settings
        self._outbox = outbox
        self._on_change = on_change
        self._is_enabled = False
        self._slots = 1
        # Start of each request in progress that is not overdue, and the number of
        # requests before it, in the order of their starts.
        self._pending: dict[bytes, tuple[float, int]] = {}
        # Flows that ended without a response so far, and when this counts as a failure.
        self._closed: dict[bytes, float] = {}
        self._failure_share = 0.0
        self._paused_until_s: float | None = None
        self._next_trial_s = 0.0
        self._pauses = 0
        self._last_failure_s = float("-inf")

    @property
    def is_enabled(self) -> bool:
        """Whether the part applies to the server."""
        return self._is_enabled

    def set_slots(self, slots: int) -> None:
        """Set the number of requests that the server processes at a time."""
        self._slots = max(1, slots)
        self._is_enabled = 0 < slots <= self._settings.max_slots
        if not self._is_enabled:
            self.reset()

    def reset(self) -> None:
        """Discard what is known of the requests of a replaced server.

        The number of pauses is kept, since servers that fail may be replaced in turn.
        """
        self._pending.clear()
        self._closed.clear()
        self._failure_share = 0.0
        self._paused_until_s = None

    def get_phase(self, now: float) -> Phase:
        """Return how new flows are admitted."""
        if self._paused_until_s is None:
            return Phase.SOUND
        return Phase.PAUSED if now < self._paused_until_s else Phase.TRIAL

    def is_failing(self, now: float) -> bool:
        """Return whether new flows should go to other servers."""
        if self._paused_until_s is None:
            return False
        return now < max(self._paused_until_s, self._next_trial_s)

    def record_admission(self, now: float) -> None:
        """Record that a flow was admitted."""
        if self._paused_until_s is not None:
            self._next_trial_s = now + self._settings.overdue_s

    def start_request(self, flow: bytes, now: float) -> None:
        """Record a request that is delivered to the server."""
        if not self._is_enabled:
            return
        self.cancel_request(flow)
        self._pending[flow] = now, len(self._pending)

    def cancel_request(self, flow: bytes) -> None:
        """Forget the request of a flow that its caller has ended."""
        self._pending.pop(flow, None)

    def record_answer(self, flow: bytes, now: float) -> None:
        """Record the response to the request of `flow`, unless it was overdue."""
        is_known = flow in self._pending or flow in self._closed
        self._pending.pop(flow, None)
        self._closed.pop(flow, None)
        if not is_known:
            return
        self._failure_share -= OUTCOME_WEIGHT * self._failure_share
        if self.get_phase(now) is not Phase.TRIAL:
            return
        if self._failure_share <= self._settings.failure_share / 2:
            self._paused_until_s = None
            self._outbox.log("server_health", b"", Phase.SOUND.value)
            self._on_change(now)

    def record_closed(self, flow: bytes, is_reset: bool, now: float) -> None:
        """Record that the server ended a flow without a response to its request.

        A server whose queue is full does so as well, which says nothing of its health.
        """
        pending = self._pending.pop(flow, None)
        if pending is None or pending[1] >= self._slots:
            return
        if is_reset:
            self._record_failure(Failure.CLOSED, now)
        else:
            self._closed[flow] = now + REORDERING_S

    def record_returned(self, now: float) -> None:
        """Record that the server returned a first packet, which it cannot accept."""
        if self._is_enabled:
            self._record_failure(Failure.RETURNED, now)

    def check_overdue(self, usual_s: float, now: float) -> None:
        """Count the requests that stay without a response for too long as failed.

        Parameters
        ----------
        usual_s : float
            Usual response time of the server in seconds; 0 if unknown.
        """
        while self._closed and next(iter(self._closed.values())) <= now:
            del self._closed[next(iter(self._closed))]
            self._record_failure(Failure.CLOSED, now)
        while self._pending and self._compute_first_due(usual_s) <= now:
            del self._pending[next(iter(self._pending))]
            self._record_failure(Failure.OVERDUE, now)

    def compute_due(self, usual_s: float) -> float:
        """Return the time at which `check_overdue` has to be called next."""
        closed_due_s = next(iter(self._closed.values()), float("inf"))
        return min(closed_due_s, self._compute_first_due(usual_s))

    def _compute_first_due(self, usual_s: float) -> float:
        """Return the time from which the oldest request in progress is overdue."""
        if not self._pending:
            return float("inf")
        settings = self._settings
        started_s, preceding = next(iter(self._pending.values()))
        limit_s = max(settings.overdue_s, settings.overdue_factor * usual_s)
        # Requests are served in the order of their arrival.
        return started_s + limit_s * (1 + preceding / self._slots)

    def _record_failure(self, failure: Failure, now: float) -> None:
        settings = self._settings
        self._outbox.count("request_failed", failure.value)
        if now - self._last_failure_s > settings.memory_s:
            self._pauses = 0
        self._last_failure_s = now
        self._failure_share += OUTCOME_WEIGHT * (1 - self._failure_share)
        phase = self.get_phase(now)
        if phase is Phase.PAUSED or self._failure_share < settings.failure_share:
            return
        pause_s = min(settings.max_pause_s, settings.pause_s * 2**self._pauses)
        # More doublings would exceed any maximum.
        self._pauses = min(self._pauses + 1, 16)
        self._paused_until_s = now + pause_s
        # The first answers after the pause decide, not the failures before it.
        self._failure_share = settings.failure_share
        self._outbox.count("server_paused", failure.value)
        self._outbox.log(
            "server_health",
            b"",
            Phase.PAUSED.value,
            cause=failure.value,
            seconds=pause_s,
            was=phase.value,
        )
        self._on_change(now)
