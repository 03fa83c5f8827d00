"""Results of the demonstration and the guarantees that they are checked against."""

from collections import Counter

import attrs

from bramleystair.standins._demo_sampler import AgentSampler
from bramleystair.standins._deployments import Deployment

# Heartbeats are sent every 0.5 s; a flow without replies for longer than this is dead.
SILENCE_LIMIT_S = 5.0
DRAIN_LIMIT_S = 3.0
LIMITS = {
    "broken_flows": 0,
    "misdelivered": 0,
    "lost": 0,
    "doubled": 0,
    "false_not_run": 0,
    "imbalance": 0.10,
    "zone_quiet_s": 3.0,
    "in_force_s": 5.0,
    "cold_overload": 0,
    "drain_late_work": 0,
}


@attrs.define
class Events:
    """Times of the planned changes, and values observed at them."""

    zone: str
    drained: str
    cold: str
    drained_s: float = 0.0
    zone_out_s: float = 0.0
    zone_in_s: float = 0.0
    zone_quiet_s: float = 0.0
    zone_given_up: int = 0
    in_force_s: list[float] = attrs.Factory(list)
    steady_flows: list[dict] = attrs.Factory(list)
    ended: list[str] = attrs.Factory(list)


@attrs.frozen
class Report:
    """Results of one run; the design page states the guarantees."""

    flows: int
    broken_flows: int
    misdelivered: int
    requests: int
    lost: int
    doubled: int
    false_not_run: int
    imbalance: float
    zone_quiet_s: float
    in_force_s: float
    cold_overload: int
    cold_flows: int
    drain_late_work: int
    zone_given_up: int
    unknown: int
    unanswered_flows: int


def build_report(
    events: Events,
    sampler: AgentSampler,
    flow_report: dict,
    records: list[dict],
    runs: dict[str, int],
    deployment: Deployment,
) -> Report:
    """Compute the results of a run."""
    flows = flow_report["flows"]
    zones = {server.name: server.zone for server in deployment.list_servers()}
    writes = [record for record in records if not record["is_idempotent"]]
    return Report(
        flows=len(flows),
        broken_flows=sum(_is_broken(flow, events, zones) for flow in flows),
        misdelivered=len(flow_report["misdelivered"]),
        requests=len(records),
        lost=sum(_is_lost(record, runs) for record in records),
        doubled=sum(_count_runs(record["tickets"], runs) > 1 for record in writes),
        false_not_run=sum(
            _count_runs(record["not_run"], runs) > 0 for record in records
        ),
        imbalance=round(_compute_imbalance(events, deployment), 3),
        zone_quiet_s=round(events.zone_quiet_s, 2),
        in_force_s=round(max(events.in_force_s), 2),
        cold_overload=max(0, sampler.cold_overload),
        cold_flows=sampler.cold_flows,
        drain_late_work=_count_late_work(events, flows, records),
        zone_given_up=events.zone_given_up,
        unknown=sum(record["outcome"] == "unknown" for record in records),
        unanswered_flows=sum(not flow["answers"] for flow in flows),
    )


def list_violations(report: Report) -> list[str]:
    """Return a message for each result above its limit."""
    figures = attrs.asdict(report)
    violations = [
        f"{name} is {figures[name]}, at most {limit} is allowed"
        for name, limit in LIMITS.items()
        if figures[name] > limit
    ]
    if not report.cold_flows:
        violations.append("the cold backend server received no flow")
    return violations


def print_table(figures: dict, violations: list[str]) -> None:
    """Print the results with their limits."""
    print(f"\n{'figure':<18}{'measured':>10}{'limit':>10}")
    for name, value in figures.items():
        print(f"{name:<18}{value:>10}{LIMITS.get(name, ''):>10}")
    for line in violations:
        print(f"VIOLATION: {line}")


def _is_broken(flow: dict, events: Events, zones: dict[str, str]) -> bool:
    if flow["answers"] and flow["silent_s"] > SILENCE_LIMIT_S:
        return True
    return any(
        not _is_caused_by_zone_mark(change, events, zones) for change in flow["breaks"]
    )


def _is_caused_by_zone_mark(
    change: dict, events: Events, zones: dict[str, str]
) -> bool:
    """Return whether a change of server was caused by the availability zone's mark."""
    is_after_mark = 0 < events.zone_out_s <= change["at_s"]
    return is_after_mark and zones[change["from"]] == events.zone


def _is_lost(record: dict, runs: dict[str, int]) -> bool:
    if record["outcome"] == "lost":
        return True
    return record["outcome"] == "done" and not _count_runs(record["tickets"], runs)


def _count_runs(tickets: list[str], runs: dict[str, int]) -> int:
    return sum(runs.get(ticket, 0) for ticket in set(tickets))


def _compute_imbalance(events: Events, deployment: Deployment) -> float:
    """Return the largest relative deviation of a server's flows from its share.

    The flows are those before the first planned change; the server that starts later
    has no share.
    """
    counts = Counter(flow["server"] for flow in events.steady_flows if flow["server"])
    worst = 0.0
    for service in deployment.services:
        names = [
            server.name
            for server in deployment.list_servers()
            if server.service == service and server.name != events.cold
        ]
        total = sum(counts[name] for name in names)
        share = total / len(names)
        if share:
            deviations = [abs(counts[name] - share) / share for name in names]
            worst = max(worst, *deviations)
    return worst


def _count_late_work(events: Events, flows: list[dict], records: list[dict]) -> int:
    limit_s = events.drained_s + DRAIN_LIMIT_S
    late_flows = sum(
        flow["server"] == events.drained and flow["server_since_s"] > limit_s
        for flow in flows
    )
    late_requests = sum(
        record["server"] == events.drained and record["started_s"] > limit_s
        for record in records
    )
    return late_flows + late_requests
