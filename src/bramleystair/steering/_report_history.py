"""Judgement of the reports that an agent receives in the name of its server.

Any writer can send a report. One that contradicts the known server is used once it is
confirmed: by the silence of the known server, or by packets that the server returned.
"""

import enum

import attrs

from bramleystair.steering._agent_settings import AgentSteeringSettings
from bramleystair.steering._types import ServerReport, ServerState

# A server reports at about the interval and repeats a call that was not acknowledged,
# so its sequence number rises by a few in an interval. A larger step is a sign of
# another writer.
MAX_SEQUENCE_STEP = 10
MAX_REPORTS_PER_HEARTBEAT = 4
# Silence of the known server, in report intervals, after which another one is used that
# has reported twice. It leaves room for a late report, and lets the drain of a new
# server take effect within two intervals. One that has reported once is used after
# `AgentSteeringSettings.silent_heartbeats`.
CONFIRMED_SILENCE_HEARTBEATS = 1.5
# Reports that are closer together may have been delayed and delivered at once.
MIN_SPACING_HEARTBEATS = 0.5
# Identities whose unconfirmed reports are kept.
MAX_CLAIMS = 4

Identity = tuple[str, int]


class Verdict(enum.Enum):
    """What a report says about the server."""

    CURRENT = enum.auto()
    REPLACED = enum.auto()
    UNCONFIRMED = enum.auto()
    OUTDATED = enum.auto()


@attrs.define(eq=False)
class _Claim:
    """Reports that contradict the known server.

    Parameters
    ----------
    count : int
        Number of reports with rising sequence numbers, not counting close ones.
    """

    report: ServerReport
    last_s: float
    count: int = 1


class ReportHistory:
    """Tell reports of the known server from those of others.

    Parameters
    ----------
    settings : AgentSteeringSettings
        Interval of the reports, and when a server counts as silent.
    """

    def __init__(self, settings: AgentSteeringSettings) -> None:
        self.settings = settings
        # Last report of the known server, and the time of it or of its shutdown.
        self.known: ServerReport | None = None
        self.known_s = float("-inf")
        # Whether a shutdown of the known server was reported.
        self.is_removed = False
        # Time of the last report of the known server, used or not, that it drains.
        self._drain_s = float("-inf")
        self._claims: dict[Identity, _Claim] = {}

    @property
    def has_other_server(self) -> bool:
        """Whether a server with another identity has reported since the known one."""
        return any(identity != self._get_known() for identity in self._claims)

    @property
    def has_other_service(self) -> bool:
        """Whether a server of another service has reported since the known one."""
        return any(
            claim.report.service != self.known.service
            for claim in self._claims.values()
        )

    def judge(self, report: ServerReport, now: float) -> Verdict:
        """Record a report and return what it says about the server."""
        identity = get_identity(report)
        is_same = identity == self._get_known()
        if self.known is None or (self.is_removed and not is_same):
            self._use(report, now)
            return Verdict.REPLACED
        if is_same and report.state is ServerState.DRAINING:
            self._drain_s = now
        elif is_same and self._has_drained(now):
            return Verdict.OUTDATED
        if is_same and not self.is_removed and self._continues(report, now):
            self._use(report, now)
            return Verdict.CURRENT
        claim = self._record_claim(report, now)
        if self._is_confirmed(claim, now):
            self._use(report, now)
            return Verdict.CURRENT if is_same else Verdict.REPLACED
        return Verdict.OUTDATED if is_same else Verdict.UNCONFIRMED

    def take_draining(self, now: float) -> ServerReport | None:
        """Use a server that drains as soon as the known one missed a report.

        Its report was acknowledged, and no second one may follow in time.
        """
        for identity, claim in self._claims.items():
            is_draining = claim.report.state is ServerState.DRAINING
            if not is_draining or identity == self._get_known():
                continue
            if (
                now - self.known_s
                >= CONFIRMED_SILENCE_HEARTBEATS * self.settings.heartbeat_s
            ):
                self._use(claim.report, now)
                return claim.report
        return None

    def take_other_server(self, now: float) -> ServerReport | None:
        """Use the server with another identity that reported last, if any."""
        others = [
            claim
            for identity, claim in self._claims.items()
            if identity != self._get_known()
        ]
        if not others:
            return None
        report = max(others, key=lambda claim: claim.last_s).report
        self._use(report, now)
        return report

    def refute_other_servers(self) -> None:
        """Forget the reports of other servers, since the known one is alive."""
        known = self._get_known()
        self._claims = {key: c for key, c in self._claims.items() if key == known}

    def restore(self, report: ServerReport, now: float) -> None:
        """Use a former server again, which proved to be alive."""
        self._use(report, now)

    def remove(self, now: float) -> None:
        """Record the shutdown of the known server."""
        self.is_removed = True
        self.known_s = now
        self._claims.clear()

    def knows(self, server: str, started_ms: int | None) -> bool:
        """Return whether a server has reported under the identifier.

        `started_ms` is None if its start is unknown. True if no server has reported:
        the agent may have been restarted since.
        """
        if self.known is None:
            return True
        identities = [get_identity(self.known), *self._claims]
        return any(
            server == identity[0] and started_ms in (None, identity[1])
            for identity in identities
        )

    def _use(self, report: ServerReport, now: float) -> None:
        if report.state is ServerState.DRAINING:
            self._drain_s = now
        elif get_identity(report) != self._get_known():
            self._drain_s = float("-inf")
        self.known = report
        self.known_s = now
        self.is_removed = False
        self._claims.clear()

    def _get_known(self) -> Identity | None:
        return None if self.known is None else get_identity(self.known)

    def _has_drained(self, now: float) -> bool:
        """Return whether the known server has just said that it drains.

        A server that drains does not become ready again, but another writer may report
        that it does, or may have reported the drain.
        """
        silent_s = self.settings.silent_heartbeats * self.settings.heartbeat_s
        return now - self._drain_s < silent_s

    def _continues(self, report: ServerReport, now: float) -> bool:
        """Return whether the sequence number may follow the one of the known report."""
        step = report.sequence - self.known.sequence
        return 0 <= step <= self._get_largest_step(now - self.known_s)

    def _get_largest_step(self, elapsed_s: float) -> float:
        intervals = elapsed_s / self.settings.heartbeat_s
        return MAX_SEQUENCE_STEP + MAX_REPORTS_PER_HEARTBEAT * intervals

    def _record_claim(self, report: ServerReport, now: float) -> _Claim:
        identity = get_identity(report)
        claim = self._claims.get(identity)
        step = 0 if claim is None else report.sequence - claim.report.sequence
        if step <= 0 or step > self._get_largest_step(now - claim.last_s):
            self._claims.pop(identity, None)
            while len(self._claims) >= MAX_CLAIMS:
                del self._claims[next(iter(self._claims))]
            claim = self._claims[identity] = _Claim(report, now)
            return claim
        if now - claim.last_s >= MIN_SPACING_HEARTBEATS * self.settings.heartbeat_s:
            claim.count += 1
            claim.last_s = now
        claim.report = report
        return claim

    def _is_confirmed(self, claim: _Claim, now: float) -> bool:
        silence_s = now - self.known_s
        silent_s = self.settings.silent_heartbeats * self.settings.heartbeat_s
        if silence_s >= silent_s and not self._takes_back_drain(claim.report):
            return True
        needed_s = CONFIRMED_SILENCE_HEARTBEATS * self.settings.heartbeat_s
        return claim.count > 1 and silence_s >= needed_s

    def _takes_back_drain(self, report: ServerReport) -> bool:
        """Return whether a report may be a late one from before the server's drain."""
        return (
            get_identity(report) == self._get_known()
            and self.known.state is ServerState.DRAINING
            and report.state is not ServerState.DRAINING
        )


def get_identity(report: ServerReport) -> Identity:
    """Return what distinguishes a server from one that was started later."""
    return report.server, report.started_ms
