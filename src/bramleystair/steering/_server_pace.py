"""Pace of a backend server: the requests in progress that it answers in time.

A server that has just started answers more slowly than later, and one that goes down
and up loses what it was given. The pace is learnt from the answers alone: it starts at
one request in progress, rises by one with each answer in time up to the number at which
answers would take too long, and falls when requests are rejected or get no answer.
"""

import enum
import math

import attrs

from bramleystair.steering._options import PaceSettings

# A server may always process this number of requests: without any, no answer would show
# that it has recovered.
LOWEST_LIMIT = 1.0
# Factor by which a rejected or unanswered request lowers the limit.
DECREASE = 0.5
# Weight of the newest sample in the moving average of the time per request.
SAMPLE_WEIGHT = 0.1
# A request that started behind others and is answered within this share of the time of
# one request was rejected: the server cannot have processed those before it.
REJECTION_SHARE = 0.25
# Time constant with which failures are forgotten: a few reports of a server.
FAILURE_MEMORY_S = 2.0
# Minimum interval between log lines of one outcome.
LOG_PERIOD_S = 1.0


class PaceReason(enum.StrEnum):
    """Cause of a change of the pace."""

    STARTED = "started"
    REPLACED = "replaced"
    SILENT = "silent"
    RETURNED = "returned"
    UNANSWERED = "unanswered"
    REJECTED = "rejected"
    LATE = "late"
    ANSWERED = "answered"


class PaceOutcome(enum.StrEnum):
    """Direction in which the pace changed."""

    RAISED = "raised"
    LOWERED = "lowered"
    FULL = "full"


@attrs.frozen
class PaceChange:
    """A change of the pace by at least one request, or to the full pace.

    Parameters
    ----------
    limit : float
        Requests in progress from now on.
    seconds : float
        Time since the server started, was replaced or recovered from silence.
    is_logged : bool
        Whether the last log line of this outcome is old enough for another one.
    """

    outcome: PaceOutcome
    reason: PaceReason
    limit: float
    seconds: float
    is_logged: bool


class ServerPace:
    """Learn how many requests in progress a server answers in time.

    Parameters
    ----------
    settings : PaceSettings
        Response time to keep, and bounds.
    now : float
        Time in seconds.
    """

    def __init__(self, settings: PaceSettings, now: float) -> None:
        self._settings = settings
        self._limit = LOWEST_LIMIT
        self._slots = 1
        # Moving average of the time per request at the server; 0 if unknown.
        self._request_s = 0.0
        self._started_s = now
        # Recent failures, which weigh less as they get older.
        self._failures = 0.0
        self._failed_s = float("-inf")
        self._logged_s: dict[PaceOutcome, float] = {}
        self._changes: list[PaceChange] = []

    @property
    def is_full(self) -> bool:
        """Whether the server has reached the highest number of requests in progress."""
        return self._limit >= self._highest

    @property
    def _highest(self) -> float:
        return max(LOWEST_LIMIT, self._settings.max_per_slot * self._slots)

    def applies(self, slots: int) -> bool:
        """Return whether the pace is learnt for a server with this number of slots."""
        return 0 < slots <= self._settings.max_slots

    def start(self, now: float, reason: PaceReason) -> None:
        """Forget what was learnt of a server that was replaced or fell silent.

        Failures are kept for a while: a server that goes down and up is replaced by
        another one at the same address each time.
        """
        self._started_s = now
        self._request_s = 0.0
        self._set_limit(LOWEST_LIMIT, reason, now)

    def record_response(
        self, service_s: float, running: int, slots: int, now: float
    ) -> None:
        """Learn from the response to a request.

        Parameters
        ----------
        service_s : float
            Time from the request to the first byte of its response in seconds.
        running : int
            Requests in progress when it started, including it.
        """
        self._slots = slots
        if running > slots and service_s < REJECTION_SHARE * self._request_s:
            self._lower(PaceReason.REJECTED, now)
            return
        self._failures = 0.0
        sample_s = service_s * slots / max(slots, running)
        weight = SAMPLE_WEIGHT if self._request_s else 1.0
        self._request_s += weight * (sample_s - self._request_s)
        # Each request in progress adds the time of one, up to the time allowed.
        learnt = slots * self._settings.response_s / max(self._request_s, 1e-6)
        if service_s > self._settings.response_s or learnt < self._limit:
            self._set_limit(min(self._limit, learnt), PaceReason.LATE, now)
            return
        self._set_limit(min(self._limit + 1, learnt), PaceReason.ANSWERED, now)

    def record_failure(self, reason: PaceReason, now: float) -> None:
        """Learn from a request without a response, or a first packet sent back."""
        if now - self._failed_s >= self._settings.response_s:
            # Requests that fail together, as in a crash, count as one failure.
            self._failures = self._count_failures(now) + 1
            self._failed_s = now
        self._lower(reason, now)

    def record_silence(self, now: float) -> None:
        """Start over with a server that sends nothing."""
        self.start(now, PaceReason.SILENT)

    def compute_limit(self, slots: int, now: float) -> float:
        """Return the requests in progress that the server answers in time.

        Without the pace, these are its slots.
        """
        if not self.applies(slots):
            return float(slots)
        self._slots = slots
        return min(self._limit, self._highest)

    def compute_share(self, slots: int, now: float) -> float:
        """Return the share of the work of a server at full pace, above 0 and up to 1.

        Each recent failure halves it. It compares servers with each other and bounds
        nothing, so servers that fail together are still used.
        """
        limit = self.compute_limit(slots, now)
        return limit / self._highest * 0.5 ** self._count_failures(now)

    def take_changes(self) -> list[PaceChange]:
        """Return the changes since the last call."""
        changes, self._changes = self._changes, []
        return changes

    def _count_failures(self, now: float) -> float:
        if self._failures == 0:
            return 0.0
        return self._failures * math.exp((self._failed_s - now) / FAILURE_MEMORY_S)

    def _lower(self, reason: PaceReason, now: float) -> None:
        self._set_limit(self._limit * DECREASE, reason, now)

    def _set_limit(self, limit: float, reason: PaceReason, now: float) -> None:
        previous, was_full = self._limit, self.is_full
        self._limit = min(self._highest, max(LOWEST_LIMIT, limit))
        if int(previous) == int(self._limit) and was_full == self.is_full:
            return
        outcome = PaceOutcome.LOWERED
        if self._limit >= previous:
            outcome = PaceOutcome.FULL if self.is_full else PaceOutcome.RAISED
        is_logged = now - self._logged_s.get(outcome, float("-inf")) >= LOG_PERIOD_S
        if is_logged:
            self._logged_s[outcome] = now
        seconds = now - self._started_s
        self._changes.append(
            PaceChange(outcome, reason, self._limit, seconds, is_logged)
        )
