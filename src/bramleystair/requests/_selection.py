"""Choice of the agent that a request goes to."""

import collections
import random
from collections.abc import Set

import attrs
from result import Err, Ok, Result

from bramleystair.views import Candidate, View
from bramleystair.wire import ServiceLoad

LOAD_FRESH_S = 3.0
# Requests end many times between two reports, so a single one says little.
REPORT_GAIN = 0.3


@attrs.define
class _Report:
    time_s: float
    requests: float
    limit: int


class Selector:
    """Choose the less loaded of two random candidates.

    Parameters
    ----------
    source : random.Random
        Source of the choices.
    """

    def __init__(self, source: random.Random) -> None:
        self._source = source
        self._own: collections.Counter[tuple[str, int]] = collections.Counter()
        self._reports: dict[tuple[str, int], _Report] = {}

    def add(self, server: str, service_id: int) -> None:
        """Count a request sent to `server`."""
        self._own[server, service_id] += 1

    def remove(self, server: str, service_id: int) -> None:
        """Count the end of a request sent to `server`."""
        self._own[server, service_id] -= 1
        if not self._own[server, service_id]:
            del self._own[server, service_id]

    def set_loads(
        self, server: str, loads: tuple[ServiceLoad, ...], now: float
    ) -> None:
        """Use the loads that `server` reported."""
        for load in loads:
            key = (server, load.service_id)
            known = self._reports.get(key)
            requests = load.requests
            if known is not None:
                requests = known.requests + REPORT_GAIN * (requests - known.requests)
            self._reports[key] = _Report(now, requests, load.request_limit)

    def choose(
        self, view: View, service_id: int, tried: Set[str], now: float
    ) -> Result[Candidate, str]:
        """Return a candidate that is below its cap, or why there is none."""
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
            own = self._own[key]
            reported, limit = self._get_report(key, now)
            member = table.get_member(candidate.server)
            # The agent knows its present load; a report of the past must not keep
            # requests away from places that have become free.
            if own < min(limit, member.max_requests):
                loads[candidate] = own + reported
        if not loads:
            return Err("cap")
        return Ok(self._choose_of_two(loads))

    def _get_report(self, key: tuple[str, int], now: float) -> tuple[float, float]:
        """Return the smoothed reported requests and the reported limit."""
        report = self._reports.get(key)
        if report is None or now - report.time_s > LOAD_FRESH_S:
            return 0.0, float("inf")
        return report.requests, report.limit

    def _choose_of_two(self, loads: dict[Candidate, float]) -> Candidate:
        first = self._pick(list(loads))
        others = [candidate for candidate in loads if candidate is not first]
        if not others:
            return first
        second = self._pick(others)
        return min((first, second), key=lambda item: (loads[item] + 1) / item.weight)

    def _pick(self, candidates: list[Candidate]) -> Candidate:
        weights = [candidate.weight for candidate in candidates]
        return self._source.choices(candidates, weights)[0]
