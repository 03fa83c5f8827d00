"""Choice of the member that takes a new flow."""

import math
import random as random_module
from collections.abc import Callable, Sequence

import attrs

from bramleystair.flows._services import Service
from bramleystair.flows._settings import FlowSettings
from bramleystair.wire import ServiceLoad

# A report counts as wrong if it is below the flows that this home knows to be there by
# more than these, which may have ended since.
ENDED_FLOWS = 3
# Or if it differs from the estimate by so many standard deviations. Flows fall on homes
# at random, so the number seen here varies by its square root.
DEVIATIONS = 4.0
# Flows added to the number seen, so that none seen by chance does not count as certain.
UNSEEN_FLOWS = 4
# Two random candidates beside the home suffice to keep loads close together.
RANDOM_CANDIDATES = 2


@attrs.frozen
class Load:
    """Flows and limit of one member, as known where a flow is placed."""

    server: str
    weight: float
    flows: int
    limit: int


def compute_shares(loads: Sequence[Load], total: float) -> dict[str, float]:
    """Return the flows that each member should hold of `total`.

    Shares are proportional to the weights. What exceeds a member's limit is divided
    among the members below their limits, again by weight.
    """
    shares: dict[str, float] = {}
    open_loads = [load for load in loads if load.weight > 0]
    rest = total
    while open_loads:
        unit = rest / sum(load.weight for load in open_loads)
        full = [load for load in open_loads if load.limit < unit * load.weight]
        if not full:
            shares.update((load.server, unit * load.weight) for load in open_loads)
            break
        for load in full:
            shares[load.server] = load.limit
            rest -= load.limit
        open_loads = [load for load in open_loads if load.limit >= unit * load.weight]
    return shares


class Placement:
    """Hold the members' loads and rank the members for a new flow.

    Parameters
    ----------
    server : str
        This server.
    count_redirects : callable
        Returns how many flows of a service, given by its number, this home has placed
        at a server.
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
        self._fresh_s = settings.load_fresh_s
        self._attempts = settings.place_attempts
        self._random = random
        self._reports: dict[tuple[int, str], tuple[float, ServiceLoad]] = {}
        self._placed: dict[tuple[int, str], int] = {}

    def take_report(
        self, sender: str, loads: Sequence[ServiceLoad], now: float
    ) -> None:
        """Take over the load report of `sender`."""
        for load in loads:
            self._reports[load.service_id, sender] = (now, load)
            self._placed.pop((load.service_id, sender), None)

    def record_placed(self, service_id: int, server: str) -> None:
        """Add a flow that `server` accepted after its last report."""
        key = (service_id, server)
        self._placed[key] = self._placed.get(key, 0) + 1

    def forget(self, is_gone) -> None:
        """Remove the reports of servers for which `is_gone` returns true."""
        for key in [key for key in self._reports if is_gone(key[1])]:
            del self._reports[key]
            self._placed.pop(key, None)

    def rank(self, service: Service, own: Load | None, now: float) -> list[str]:
        """Return the members to try for one new flow, the preferred one first.

        Parameters
        ----------
        service : Service
            Service of the flow.
        own : Load or None
            Load of this server, or None when it may not take the flow.

        Returns
        -------
        list of str
            The home and two random candidates by flows per share, then members whose
            load is not known, then the others.
        """
        loads = [] if own is None else [own]
        unknown = []
        for candidate in service.candidates:
            if candidate.server == self._server:
                continue
            load = self._find_load(service, candidate.server, candidate.weight, now)
            if load is None:
                unknown.append(candidate.server)
            else:
                loads.append(load)
        ratios = self._compute_ratios(loads)
        others = [load.server for load in loads if load.server != self._server]
        self._random.shuffle(others)
        self._random.shuffle(unknown)
        drawn, rest = others[:RANDOM_CANDIDATES], others[RANDOM_CANDIDATES:]
        ranked = self._prefer_home(drawn, own, ratios)
        rest.sort(key=ratios.__getitem__)
        ordered = [*ranked, *unknown, *rest]
        # Members known to be full come last; a report may be out of date.
        ordered.sort(key=lambda server: ratios.get(server) == float("inf"))
        return ordered[: self._attempts]

    def _find_load(
        self, service: Service, server: str, weight: float, now: float
    ) -> Load | None:
        key = (service.service_id, server)
        reported_s, report = self._reports.get(key, (0.0, None))
        if report is None or now - reported_s > self._fresh_s:
            return None
        member = service.table.get_member(server)
        # Every other home has the same report and places as many flows by it; without
        # them, the member reported lowest receives too many until its next report.
        homes = len(service.candidates) - 1
        placed = self._placed.get(key, 0)
        flows = report.flows + placed * homes
        estimate = self._estimate_flows(service, server, report.flows + placed)
        if estimate is not None:
            flows = estimate
        return Load(server, weight, flows, min(member.max_flows, report.flow_limit))

    def _estimate_flows(
        self, service: Service, server: str, reported: int
    ) -> int | None:
        """Return the member's flows by this home's redirects if its report is wrong."""
        weights = {c.server: c.weight for c in service.candidates}
        share = weights.get(self._server, 0.0) / sum(weights.values())
        if share <= 0:
            return None
        seen = self._count_redirects(service.service_id, server)
        deviation = math.sqrt(seen + UNSEEN_FLOWS) / share
        is_wrong = (
            seen > reported + ENDED_FLOWS
            or abs(reported - seen / share) > DEVIATIONS * deviation
        )
        return round(seen / share) if is_wrong else None

    def _compute_ratios(self, loads: Sequence[Load]) -> dict[str, float]:
        shares = compute_shares(loads, sum(load.flows for load in loads) + 1)
        ratios = {}
        for load in loads:
            is_full = load.flows >= load.limit or shares.get(load.server, 0) <= 0
            ratios[load.server] = (
                float("inf") if is_full else (load.flows + 1) / shares[load.server]
            )
        return ratios

    def _prefer_home(
        self, drawn: list[str], own: Load | None, ratios: dict[str, float]
    ) -> list[str]:
        ranked = sorted(drawn, key=ratios.__getitem__)
        if own is None:
            return ranked
        best = ratios[ranked[0]] if ranked else float("inf")
        if ratios[self._server] <= best * (1 + self._margin):
            return [self._server, *ranked]
        return sorted([*ranked, self._server], key=ratios.__getitem__)
