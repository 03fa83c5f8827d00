"""Ranking of the members for a new flow by load and weight."""

import math
import random as random_module
from collections.abc import Callable, Sequence

import attrs

from bramleystair.flows._services import Service
from bramleystair.flows._settings import FlowSettings
from bramleystair.wire import ServiceLoad

# A load report is rejected if it is below this home's redirects to the member by more
# than this number. Flows up to this number may have ended since.
ENDED_FLOWS_TOLERANCE = 3
# A load report is also rejected if it differs from the estimate by more than this many
# standard deviations. Flows are distributed to homes at random, so the number of
# redirects of one home varies by its square root.
MAX_DEVIATIONS = 4.0
# Added to the number of redirects in the deviation: no redirect by chance must not give
# a deviation of 0.
SMOOTHING_FLOWS = 4
# Two random candidates besides the home are enough to keep the loads balanced.
RANDOM_CANDIDATES = 2


@attrs.frozen
class MemberLoad:
    """Flows and limit of one member, as known to the home that places a flow."""

    server: str
    weight: float
    flows: int
    limit: int


def compute_shares(loads: Sequence[MemberLoad], total: float) -> dict[str, float]:
    """Return the number of flows out of `total` that each member should hold.

    Shares are proportional to the weights. The part of a share above its member's limit
    is divided among the members below their limits, again by weight.
    """
    shares: dict[str, float] = {}
    open_loads = [load for load in loads if load.weight > 0]
    remaining = total
    while open_loads:
        unit = remaining / sum(load.weight for load in open_loads)
        full = [load for load in open_loads if load.limit < unit * load.weight]
        if not full:
            shares.update((load.server, unit * load.weight) for load in open_loads)
            break
        for load in full:
            shares[load.server] = load.limit
            remaining -= load.limit
        open_loads = [load for load in open_loads if load.limit >= unit * load.weight]
    return shares


class MemberRanker:
    """Store the load reports of the members and rank the members for a new flow.

    Parameters
    ----------
    server : str
        Name of this server.
    count_redirects : callable
        Returns the number of this home's redirects, by service number and server.
    """

    def __init__(
        self,
        server: str,
        settings: FlowSettings,
        random: random_module.Random,
        count_redirects: Callable[[int, str], int],
    ) -> None:
        self._server = server
        self._count_redirects = count_redirects
        self._margin = settings.place_margin
        self._max_report_age_s = settings.load_fresh_s
        self._attempts = settings.place_attempts
        self._random = random
        self._reports: dict[tuple[int, str], tuple[float, ServiceLoad]] = {}
        self._placed_since_report: dict[tuple[int, str], int] = {}

    def record_report(
        self, sender: str, loads: Sequence[ServiceLoad], now: float
    ) -> None:
        """Store the load report of `sender`."""
        for load in loads:
            self._reports[load.service_id, sender] = (now, load)
            self._placed_since_report.pop((load.service_id, sender), None)

    def record_placed(self, service_id: int, server: str) -> None:
        """Count a flow that `server` accepted since its last report."""
        key = (service_id, server)
        self._placed_since_report[key] = self._placed_since_report.get(key, 0) + 1

    def discard_reports(self, is_gone) -> None:
        """Remove the reports of servers for which `is_gone` returns true."""
        for key in [key for key in self._reports if is_gone(key[1])]:
            del self._reports[key]
            self._placed_since_report.pop(key, None)

    def rank(self, service: Service, own: MemberLoad | None, now: float) -> list[str]:
        """Return the members to try for one new flow, the preferred one first.

        Parameters
        ----------
        service : Service
            Service of the flow.
        own : MemberLoad or None
            Load of this server, or None if it may not accept the flow.

        Returns
        -------
        list of str
            The home and two random candidates by flows per share, then members whose
            load is unknown, then the others. Full members come last.
        """
        loads = [] if own is None else [own]
        unknown = []
        for candidate in service.candidates:
            if candidate.server == self._server:
                continue
            load = self._estimate_load(service, candidate.server, candidate.weight, now)
            if load is None:
                unknown.append(candidate.server)
            else:
                loads.append(load)
        ratios = self._compute_ratios(loads)
        others = [load.server for load in loads if load.server != self._server]
        self._random.shuffle(others)
        self._random.shuffle(unknown)
        sampled, remaining = others[:RANDOM_CANDIDATES], others[RANDOM_CANDIDATES:]
        ranked = self._prefer_home(sampled, own, ratios)
        remaining.sort(key=ratios.__getitem__)
        ordered = [*ranked, *unknown, *remaining]
        # Full members come last and stay in the list: a report may be out of date.
        ordered.sort(key=lambda server: ratios.get(server) == float("inf"))
        return ordered[: self._attempts]

    def _estimate_load(
        self, service: Service, server: str, weight: float, now: float
    ) -> MemberLoad | None:
        key = (service.service_id, server)
        reported_s, report = self._reports.get(key, (0.0, None))
        if report is None or now - reported_s > self._max_report_age_s:
            return None
        member = service.table.get_member(server)
        # Every other home has the same report and places about as many flows by it. If
        # they were not counted, the member with the lowest report would get too many
        # flows until its next report.
        homes = len(service.candidates) - 1
        placed = self._placed_since_report.get(key, 0)
        flows = report.flows + placed * homes
        estimate = self._estimate_flows(service, server, report.flows + placed)
        if estimate is not None:
            flows = estimate
        return MemberLoad(
            server, weight, flows, min(member.max_flows, report.flow_limit)
        )

    def _estimate_flows(
        self, service: Service, server: str, reported: int
    ) -> int | None:
        """Estimate the flows by redirects here; None if the report is plausible."""
        weights = {c.server: c.weight for c in service.candidates}
        share = weights.get(self._server, 0.0) / sum(weights.values())
        if share <= 0:
            return None
        redirects = self._count_redirects(service.service_id, server)
        deviation = math.sqrt(redirects + SMOOTHING_FLOWS) / share
        is_wrong = (
            redirects > reported + ENDED_FLOWS_TOLERANCE
            or abs(reported - redirects / share) > MAX_DEVIATIONS * deviation
        )
        return round(redirects / share) if is_wrong else None

    def _compute_ratios(self, loads: Sequence[MemberLoad]) -> dict[str, float]:
        shares = compute_shares(loads, sum(load.flows for load in loads) + 1)
        ratios = {}
        for load in loads:
            is_full = load.flows >= load.limit or shares.get(load.server, 0) <= 0
            ratios[load.server] = (
                float("inf") if is_full else (load.flows + 1) / shares[load.server]
            )
        return ratios

    def _prefer_home(
        self, sampled: list[str], own: MemberLoad | None, ratios: dict[str, float]
    ) -> list[str]:
        ranked = sorted(sampled, key=ratios.__getitem__)
        if own is None:
            return ranked
        best = ratios[ranked[0]] if ranked else float("inf")
        if ratios[self._server] <= best * (1 + self._margin):
            return [self._server, *ranked]
        return sorted([*ranked, self._server], key=ratios.__getitem__)
