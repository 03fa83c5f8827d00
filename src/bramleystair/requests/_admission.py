"""Admission control for requests at the agent."""

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

# Number of recent outcomes from which a cold backend server is detected.
OUTCOME_WINDOW = 20
COLD_LATENCY_FACTOR = 4.0
COLD_SHED_FRACTION = 0.2
BASELINE_GAIN = 0.1
# Two consecutive sheds at the same load bring its shed rate above the threshold, before
# four sheds within the outcome window would indicate a cold backend server. The decay
# lets a blocked load be probed again after about 25 successes.
SHED_RATE_GAIN = 0.3
SHED_RATE_DECAY = 0.99
SHED_RATE_THRESHOLD = 0.5
LATENCY_GAIN = 0.2
# Estimates decay: one that is high enough to refuse every request would otherwise never
# be corrected by new measurements.
ESTIMATE_HALF_LIFE_S = 5.0


@attrs.define
class _SlotReservation:
    service_id: int
    until_s: float


@attrs.define
class _Estimate:
    latency_s: float
    time_s: float


class WarmUpLimit:
    """Limit concurrent requests to a cold backend server while it warms up.

    Parameters
    ----------
    initial_fraction : float
        Fraction of the cap that is admitted at the start of a warm-up.
    warm_up_s : float
        Time in which the admitted fraction rises to 1.
    """

    def __init__(self, initial_fraction: float, warm_up_s: float) -> None:
        self._initial_fraction = initial_fraction
        self._warm_up_s = warm_up_s
        self.started_s: float | None = None
        self._baseline_s: float | None = None
        self._latencies: collections.deque[float] = collections.deque()
        self._sheds: collections.deque[bool] = collections.deque(maxlen=OUTCOME_WINDOW)

    def compute_fraction(self, now: float) -> float:
        """Return the admitted fraction of the cap."""
        if self.started_s is None:
            self.started_s = now
        if not self._warm_up_s:
            return 1.0
        age = min(1.0, (now - self.started_s) / self._warm_up_s)
        return self._initial_fraction + (1 - self._initial_fraction) * age

    def limit(self, cap: int, now: float) -> int:
        """Return the number of requests admitted under the cap `cap`."""
        if cap <= 0:
            return 0
        return max(1, math.floor(cap * self.compute_fraction(now)))

    def observe(self, latency_s: float, is_shed: bool, now: float) -> bool:
        """Record an outcome; return whether it starts a new warm-up."""
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


class ConcurrencyLimit:
    """Limit concurrent requests to the number that the backend server does not shed.

    Otherwise a request cap above the backend server's own limit would cause sheds under
    high load, which would be taken for a cold backend server.
    """

    def __init__(self) -> None:
        self.limit = math.inf
        self._shed_rates: dict[int, float] = {}

    def observe(self, load: int, is_shed: bool) -> None:
        """Record the outcome of a request that started at concurrency `load`."""
        rate = self._shed_rates.get(load, 0.0)
        self._shed_rates[load] = rate + SHED_RATE_GAIN * (is_shed - rate)
        if not is_shed and self.limit + 1 in self._shed_rates:
            self._shed_rates[self.limit + 1] *= SHED_RATE_DECAY
        shedding = (
            level
            for level, rate in self._shed_rates.items()
            if level > 1 and rate >= SHED_RATE_THRESHOLD
        )
        self.limit = min(shedding, default=math.inf) - 1


class LatencyEstimator:
    """Estimate the latency of a request from earlier ones at the same concurrency."""

    def __init__(self) -> None:
        self._estimates: dict[tuple[int, int], _Estimate] = {}

    def observe(self, service_id: int, load: int, latency_s: float, now: float) -> None:
        """Record the latency of a request that started at concurrency `load`."""
        estimate = self._estimates.get((service_id, load))
        if estimate is None:
            self._estimates[service_id, load] = _Estimate(latency_s, now)
            return
        estimate.latency_s += LATENCY_GAIN * (latency_s - estimate.latency_s)
        estimate.time_s = now

    def estimate(self, service_id: int, load: int, now: float) -> float:
        """Return the expected latency in seconds; 0 without measurements."""
        for level in range(load, 0, -1):
            estimate = self._estimates.get((service_id, level))
            if estimate is not None:
                age_s = now - estimate.time_s
                return estimate.latency_s * 0.5 ** (age_s / ESTIMATE_HALF_LIFE_S)
        return 0.0


class Admission:
    """Decide whether the agent admits another request.

    A recently issued ticket reserves a slot, so that its request is not refused when it
    arrives.

    Parameters
    ----------
    server : str
        Name of the backend server.
    settings : LedgerSettings
        Limits and periods.
    """

    def __init__(self, server: str, settings: LedgerSettings) -> None:
        self._server = server
        self._settings = settings
        self._view = View()
        self._is_draining = False
        self._running: collections.Counter[int] = collections.Counter()
        self._reserved_slots: collections.Counter[int] = collections.Counter()
        self._reservations: collections.OrderedDict[bytes, _SlotReservation] = (
            collections.OrderedDict()
        )
        self._latency_estimator = LatencyEstimator()
        self._concurrency_limit = ConcurrencyLimit()
        self.warm_up_limit = WarmUpLimit(settings.initial_fraction, settings.warm_up_s)

    def set_view(self, view: View) -> None:
        """Replace the current view by `view`."""
        self._view = view

    def start_drain(self) -> None:
        """Admit no further requests without a reserved slot."""
        self._is_draining = True

    def get_service_name(self, service_id: int) -> str:
        """Return the name of a service in the current view."""
        return self._view.tables_by_id[service_id].service

    def check(self, service_id: int, deadline_s: float, now: float) -> str:
        """Return the reason to refuse a new request; empty if it is admitted.

        Parameters
        ----------
        service_id : int
            Service of the request.
        deadline_s : float
            Remaining time for the request, in seconds; 0 if not known yet.
        now : float
            Current time in seconds.
        """
        self.release_expired_slots(now)
        reason = self._check_placement(service_id)
        if reason:
            return reason
        if self._is_draining:
            return "draining"
        cap = self._get_member(service_id).max_requests
        used = self._running[service_id] + self._reserved_slots[service_id]
        if used >= cap:
            return "cap"
        if used >= self.warm_up_limit.limit(cap, now):
            return "cold"
        load = self.count_active() + 1
        if load > self._concurrency_limit.limit:
            return "overload"
        if 0 < deadline_s < self._latency_estimator.estimate(service_id, load, now):
            return "infeasible"
        return ""

    def check_run(
        self, ticket: Ticket, message: Run, deadline_s: float, now: float
    ) -> str:
        """Return the reason to refuse a request with a valid ticket; empty if none."""
        if len(message.body) > self._settings.max_body_bytes:
            return "too_large"
        self.release_expired_slots(now)
        if ticket.nonce in self._reservations:
            return self._check_placement(ticket.service_id)
        return self.check(ticket.service_id, deadline_s, now)

    def reserve_slot(self, service_id: int, nonce: bytes, now: float) -> None:
        """Reserve a slot for the request of a new ticket."""
        self._reservations[nonce] = _SlotReservation(
            service_id, now + self._settings.hold_s
        )
        self._reserved_slots[service_id] += 1

    def release_slot(self, nonce: bytes) -> None:
        """Release the slot reserved for a ticket, if any."""
        reservation = self._reservations.pop(nonce, None)
        if reservation is not None:
            self._reserved_slots[reservation.service_id] -= 1

    def release_expired_slots(self, now: float) -> None:
        """Release the slots of tickets that were not used in time."""
        while self._reservations:
            nonce, reservation = next(iter(self._reservations.items()))
            if reservation.until_s > now:
                return
            self.release_slot(nonce)

    def start(self, service_id: int) -> int:
        """Record the start of a request; return the number that run, including it."""
        self._running[service_id] += 1
        return self._running.total()

    def finish(self, entry: Entry, is_shed: bool, now: float) -> bool:
        """Record the end of a request; return whether it starts a new warm-up."""
        self._running[entry.service_id] -= 1
        latency_s = now - entry.started_s
        load = entry.load_at_start
        self._concurrency_limit.observe(load, is_shed)
        if not is_shed:
            self._latency_estimator.observe(entry.service_id, load, latency_s, now)
        return self.warm_up_limit.observe(latency_s, is_shed, now)

    def count_active(self) -> int:
        """Return the number of running requests and reserved slots."""
        return self._running.total() + len(self._reservations)

    def list_loads(self, now: float) -> tuple[ServiceLoad, ...]:
        """Return the current requests and limits by service."""
        loads = []
        for service_id in self._view.tables_by_id:
            member = self._get_member(service_id)
            if member is None:
                continue
            requests = self._running[service_id] + self._reserved_slots[service_id]
            limit = self.warm_up_limit.limit(member.max_requests, now)
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
