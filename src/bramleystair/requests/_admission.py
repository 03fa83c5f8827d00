"""Admission of requests at the agent."""

import collections
import math
import statistics

import attrs

from bramleystair.requests._entries import Entry
from bramleystair.requests._settings import LedgerSettings
from bramleystair.requests._tickets import Ticket
from bramleystair.tables import Member
from bramleystair.views import View
from bramleystair.wire import Run, ServiceLoad

# Outcomes from which a cold backend server is recognised.
OUTCOME_WINDOW = 20
COLD_LATENCY_FACTOR = 4.0
COLD_SHED_FRACTION = 0.2
BASELINE_GAIN = 0.1
# Two requests in a row that are shed at the same load close it; four would look cold.
# It is tried again about once in 25 successes.
SHED_GAIN = 0.3
SHED_DECAY = 0.99
SHEDDING_FRACTION = 0.5
LATENCY_GAIN = 0.2
# An estimate that refuses every request would never be corrected, so it fades.
ESTIMATE_HALF_LIFE_S = 5.0


@attrs.define
class _Hold:
    service_id: int
    until_s: float


@attrs.define
class _Estimate:
    latency_s: float
    time_s: float


class WarmLimit:
    """Limit the requests of a backend server that is cold.

    Parameters
    ----------
    initial_fraction : float
        Share of the cap right after the start.
    warm_up_s : float
        Time in which the share rises to 1.
    """

    def __init__(self, initial_fraction: float, warm_up_s: float) -> None:
        self._initial_fraction = initial_fraction
        self._warm_up_s = warm_up_s
        self.started_s: float | None = None
        self._baseline_s: float | None = None
        self._latencies: collections.deque[float] = collections.deque()
        self._sheds: collections.deque[bool] = collections.deque(maxlen=OUTCOME_WINDOW)

    def compute_fraction(self, now: float) -> float:
        """Return the admitted share of the cap."""
        if self.started_s is None:
            self.started_s = now
        if not self._warm_up_s:
            return 1.0
        age = min(1.0, (now - self.started_s) / self._warm_up_s)
        return self._initial_fraction + (1 - self._initial_fraction) * age

    def limit(self, cap: int, now: float) -> int:
        """Return the number of requests admitted under `cap`."""
        if cap <= 0:
            return 0
        return max(1, math.floor(cap * self.compute_fraction(now)))

    def observe(self, latency_s: float, is_shed: bool, now: float) -> bool:
        """Take an outcome; return whether it starts a new warm-up."""
        self._sheds.append(is_shed)
        if not is_shed:
            self._latencies.append(latency_s)
        is_cold = self._is_shedding() or self._is_slow(now)
        if is_cold and self.compute_fraction(now) >= 1.0:
            self.started_s = now
            self._sheds.clear()
            self._latencies.clear()
            return True
        return False

    def _is_shedding(self) -> bool:
        is_full = len(self._sheds) == OUTCOME_WINDOW
        return is_full and sum(self._sheds) >= COLD_SHED_FRACTION * OUTCOME_WINDOW

    def _is_slow(self, now: float) -> bool:
        if len(self._latencies) < OUTCOME_WINDOW:
            return False
        median_s = statistics.median(self._latencies)
        self._latencies.clear()
        if self.compute_fraction(now) < 1.0:
            return False
        if self._baseline_s is None:
            self._baseline_s = median_s
        if median_s > COLD_LATENCY_FACTOR * self._baseline_s:
            return True
        self._baseline_s += BASELINE_GAIN * (median_s - self._baseline_s)
        return False


class ShedLimit:
    """Limit the requests at once to what the backend server takes without shedding.

    Without it, a cap above the backend server's own limit would look like a cold
    backend server as soon as the load is high.
    """

    def __init__(self) -> None:
        self.limit = math.inf
        self._rates: dict[int, float] = {}

    def observe(self, load: int, is_shed: bool) -> None:
        """Take the outcome of a request that started as the `load`-th at once."""
        rate = self._rates.get(load, 0.0)
        self._rates[load] = rate + SHED_GAIN * (is_shed - rate)
        if not is_shed and self.limit + 1 in self._rates:
            self._rates[self.limit + 1] *= SHED_DECAY
        shedding = (
            level
            for level, rate in self._rates.items()
            if level > 1 and rate >= SHEDDING_FRACTION
        )
        self.limit = min(shedding, default=math.inf) - 1


class LatencyEstimate:
    """Estimate how long a request takes from those that met the same load."""

    def __init__(self) -> None:
        self._estimates: dict[tuple[int, int], _Estimate] = {}

    def observe(self, service_id: int, load: int, latency_s: float, now: float) -> None:
        """Take the latency of a request that started as the `load`-th at once."""
        known = self._estimates.get((service_id, load))
        if known is None:
            self._estimates[service_id, load] = _Estimate(latency_s, now)
            return
        known.latency_s += LATENCY_GAIN * (latency_s - known.latency_s)
        known.time_s = now

    def estimate(self, service_id: int, load: int, now: float) -> float:
        """Return the expected latency in seconds; 0 when nothing is known."""
        for level in range(load, 0, -1):
            known = self._estimates.get((service_id, level))
            if known is not None:
                age_s = now - known.time_s
                return known.latency_s * 0.5 ** (age_s / ESTIMATE_HALF_LIFE_S)
        return 0.0


class Admission:
    """Decide whether the backend server takes another request.

    A ticket that was issued a short time ago holds a place, so that its request is
    not refused when it arrives.

    Parameters
    ----------
    server : str
        Name of the backend server.
    settings : LedgerSettings
        Limits.
    """

    def __init__(self, server: str, settings: LedgerSettings) -> None:
        self._server = server
        self._settings = settings
        self._view = View()
        self._is_draining = False
        self._running: collections.Counter[int] = collections.Counter()
        self._held: collections.Counter[int] = collections.Counter()
        self._holds: collections.OrderedDict[bytes, _Hold] = collections.OrderedDict()
        self._latency = LatencyEstimate()
        self._shed_limit = ShedLimit()
        self.warm_limit = WarmLimit(settings.initial_fraction, settings.warm_up_s)

    def set_view(self, view: View) -> None:
        """Use `view` from now on."""
        self._view = view

    def start_drain(self) -> None:
        """Admit no new work from now on."""
        self._is_draining = True

    def get_service(self, service_id: int) -> str:
        """Return the name of a service of the view."""
        return self._view.tables_by_id[service_id].service

    def check(self, service_id: int, deadline_s: float, now: float) -> str:
        """Return why a new request is refused; empty if it is admitted.

        Parameters
        ----------
        service_id : int
            Service of the request.
        deadline_s : float
            Time left for it in seconds; 0 when it is not known yet.
        now : float
            Current time in seconds.
        """
        self.drop_old_holds(now)
        reason = self._check_placement(service_id)
        if reason:
            return reason
        if self._is_draining:
            return "draining"
        cap = self._get_member(service_id).max_requests
        used = self._running[service_id] + self._held[service_id]
        if used >= cap:
            return "cap"
        if used >= self.warm_limit.limit(cap, now):
            return "cold"
        load = self.count_active() + 1
        if load > self._shed_limit.limit:
            return "overload"
        if 0 < deadline_s < self._latency.estimate(service_id, load, now):
            return "infeasible"
        return ""

    def check_run(
        self, ticket: Ticket, message: Run, deadline_s: float, now: float
    ) -> str:
        """Return why the request of a valid ticket is refused."""
        if len(message.body) > self._settings.max_body_bytes:
            return "too_large"
        self.drop_old_holds(now)
        if ticket.nonce in self._holds:
            return self._check_placement(ticket.service_id)
        return self.check(ticket.service_id, deadline_s, now)

    def hold(self, service_id: int, nonce: bytes, now: float) -> None:
        """Hold a place for a new ticket."""
        self._holds[nonce] = _Hold(service_id, now + self._settings.hold_s)
        self._held[service_id] += 1

    def drop_hold(self, nonce: bytes) -> None:
        """Release the place held for a ticket."""
        held = self._holds.pop(nonce, None)
        if held is not None:
            self._held[held.service_id] -= 1

    def drop_old_holds(self, now: float) -> None:
        """Release the places of tickets that were not used in time."""
        while self._holds:
            nonce, held = next(iter(self._holds.items()))
            if held.until_s > now:
                return
            self.drop_hold(nonce)

    def start(self, service_id: int) -> int:
        """Count a request that starts and return how many run, itself included."""
        self._running[service_id] += 1
        return self._running.total()

    def finish(self, entry: Entry, is_shed: bool, now: float) -> bool:
        """Count a request that left; return whether a new warm-up starts."""
        self._running[entry.service_id] -= 1
        latency_s = now - entry.started_s
        load = entry.load_at_start
        self._shed_limit.observe(load, is_shed)
        if not is_shed:
            self._latency.observe(entry.service_id, load, latency_s, now)
        return self.warm_limit.observe(latency_s, is_shed, now)

    def count_active(self) -> int:
        """Return the number of requests that run or hold a place."""
        return self._running.total() + len(self._holds)

    def list_loads(self, now: float) -> tuple[ServiceLoad, ...]:
        """Return the present requests and limits by service."""
        loads = []
        for service_id in self._view.tables_by_id:
            member = self._get_member(service_id)
            if member is None:
                continue
            requests = self._running[service_id] + self._held[service_id]
            limit = self.warm_limit.limit(member.max_requests, now)
            loads.append(ServiceLoad(service_id, 0, requests, 0, limit))
        return tuple(loads)

    def _get_member(self, service_id: int) -> Member | None:
        table = self._view.tables_by_id.get(service_id)
        return table.get_member(self._server) if table else None

    def _check_placement(self, service_id: int) -> str:
        member = self._get_member(service_id)
        if member is None:
            return "wrong_service"
        agent = self._view.agents.get(self._server)
        zones = {member.zone, agent.zone} if agent else {member.zone}
        if not all(self._view.is_in_service(zone) for zone in zones):
            return "zone_out"
        return ""
