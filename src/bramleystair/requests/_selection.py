"""Selection of the agent that receives a request."""

import collections
import random
from collections.abc import Set

import attrs
from result import Err, Ok, Result

from bramleystair.views import Candidate, View
from bramleystair.wire import ServiceLoad

LOAD_REPORT_MAX_AGE_S = 3.0
# Smooths load reports: many requests finish between two reports, so a single report
# is a noisy sample.
LOAD_SMOOTHING_FACTOR = 0.3


@attrs.define
class _Report:
    time_s: float
    requests: float
    limit: int


class AgentSelector:
    """Select agents by weighted power of two choices.

    Two candidates are drawn at random and the less loaded one is selected.

    Parameters
    ----------
    rng : random.Random
        Random number generator for the choices.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._outstanding: collections.Counter[tuple[str, int]] = collections.Counter()
        self._reports: dict[tuple[str, int], _Report] = {}

    def add_request(self, server: str, service_id: int) -> None:
        """Record a request sent to `server`."""
        self._outstanding[server, service_id] += 1

    def remove_request(self, server: str, service_id: int) -> None:
        """Record the end of a request sent to `server`."""
        self._outstanding[server, service_id] -= 1
        if not self._outstanding[server, service_id]:
            del self._outstanding[server, service_id]

    def set_loads(
        self, server: str, loads: tuple[ServiceLoad, ...], now: float
    ) -> None:
        """Apply a load report of `server`."""
        for load in loads:
            key = (server, load.service_id)
            previous = self._reports.get(key)
            requests = load.requests
            if previous is not None:
                requests = previous.requests + LOAD_SMOOTHING_FACTOR * (
                    requests - previous.requests
                )
            self._reports[key] = _Report(now, requests, load.request_limit)

    def choose(
        self, view: View, service_id: int, tried: Set[str], now: float
    ) -> Result[Candidate, str]:
        """Return an untried candidate below its request limit, or why there is none."""
        untried = [
            candidate
            for candidate in view.list_candidates(service_id)
            if candidate.server not in tried
        ]
        if not untried:
            return Err("no_candidate")
        table = view.tables_by_id[service_id]
        loads = {}
        for candidate in untried:
            key = (candidate.server, service_id)
            outstanding = self._outstanding[key]
            reported, limit = self._get_report(key, now)
            member = table.get_member(candidate.server)
            # Only this balancer's own requests count against the limit. The reported
            # load is out of date, and the agent checks its current load itself; a
            # stale report must not block capacity that has since become free.
            if outstanding < min(limit, member.max_requests):
                loads[candidate] = outstanding + reported
        if not loads:
            return Err("cap")
        return Ok(self._choose_power_of_two(loads))

    def _get_report(self, key: tuple[str, int], now: float) -> tuple[float, float]:
        """Return the smoothed number of reported requests and the reported limit."""
        report = self._reports.get(key)
        if report is None or now - report.time_s > LOAD_REPORT_MAX_AGE_S:
            return 0.0, float("inf")
        return report.requests, report.limit

    def _choose_power_of_two(self, loads: dict[Candidate, float]) -> Candidate:
        first = self._pick_weighted(list(loads))
        others = [candidate for candidate in loads if candidate is not first]
        if not others:
            return first
        second = self._pick_weighted(others)
        return min((first, second), key=lambda item: (loads[item] + 1) / item.weight)

    def _pick_weighted(self, candidates: list[Candidate]) -> Candidate:
        weights = [candidate.weight for candidate in candidates]
        return self._rng.choices(candidates, weights)[0]
