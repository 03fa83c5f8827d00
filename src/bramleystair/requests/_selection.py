"""Choice of the agent that a request goes to."""

import collections
import random
from collections.abc import Set

from result import Err, Ok, Result

from bramleystair.views import Candidate, View
from bramleystair.wire import ServiceLoad

LOAD_FRESH_S = 3.0


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
        self._reported: dict[tuple[str, int], tuple[float, ServiceLoad]] = {}

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
            self._reported[server, load.service_id] = (now, load)

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
            load, limit = self._estimate(candidate.server, service_id, now)
            member = table.get_member(candidate.server)
            if load < min(limit, member.max_requests):
                loads[candidate] = load
        if not loads:
            return Err("cap")
        return Ok(self._choose_of_two(loads))

    def _estimate(
        self, server: str, service_id: int, now: float
    ) -> tuple[float, float]:
        own = self._own[server, service_id]
        time_s, load = self._reported.get((server, service_id), (0.0, None))
        if load is None or now - time_s > LOAD_FRESH_S:
            return own, float("inf")
        # Neither the count of one balancer nor a report of some time ago is whole.
        return max(own, load.requests), load.request_limit

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
