"""Comparison of the project's placement with common policies, on replayed traces."""

import itertools
import json
import random
import statistics
from collections import Counter
from collections.abc import Callable, Iterator, Sequence, Set
from pathlib import Path

import attrs
import xxhash
from result import Err, Ok, Result

from bramleystair.actions import Count
from bramleystair.bench._report import format_table
from bramleystair.flows import (
    Deliver,
    FlowAction,
    FlowSettings,
    MessageArrived,
    ResetCaller,
    ViewChanged,
)
from bramleystair.packets import get_endpoint, pack_endpoint, read_headers
from bramleystair.replay import NodeFactories, ReplayResult, read_trace, run_trace
from bramleystair.requests import Dispatcher, DispatcherSettings
from bramleystair.routing import Route, RouteRefusal
from bramleystair.views import Candidate, View
from bramleystair.wire import Forward, ServiceLoad

TRACES = ("mixed-speeds", "table-edits", "request-storm")
COLUMNS = {
    "trace": "trace",
    "policy": "policy",
    "broken_flows": "broken flows",
    "imbalance": "imbalance",
    "refused_flows": "refused flows",
    "answered_requests": "answered requests",
    "refusals": "refused requests by reason",
    "latency_p99_s": "p99 latency s",
}
MEASURES = (
    "broken_flows",
    "imbalance",
    "refused_flows",
    "answered_requests",
    "not_run_requests",
    "latency_p99_s",
)
REFUSAL_PREFIX = "refused_"


@attrs.define
class FlowMemory:
    """Flows that all balancers of a compared policy share, without delay or loss."""

    servers: dict[bytes, str] = attrs.field(factory=dict)
    counts: Counter[str] = attrs.field(factory=Counter)
    turn: Iterator[int] = attrs.field(factory=itertools.count)

    def put(self, flow: bytes, server: str) -> None:
        """Keep the owner of a flow."""
        old = self.servers.get(flow)
        if old is not None:
            self.counts[old] -= 1
        self.servers[flow] = server
        self.counts[server] += 1


Policy = Callable[[bytes, Sequence[Candidate], FlowMemory], Candidate]


def choose_by_hash(
    flow: bytes, candidates: Sequence[Candidate], memory: FlowMemory
) -> Candidate:
    """Return the candidate at the position that the hash of the flow names."""
    return candidates[xxhash.xxh64_intdigest(flow) % len(candidates)]


def choose_in_turn(
    flow: bytes, candidates: Sequence[Candidate], memory: FlowMemory
) -> Candidate:
    """Return the candidates one after the other."""
    return candidates[next(memory.turn) % len(candidates)]


def choose_least_connected(
    flow: bytes, candidates: Sequence[Candidate], memory: FlowMemory
) -> Candidate:
    """Return the candidate with the fewest flows; its weight is not considered."""
    return min(candidates, key=lambda item: (memory.counts[item.server], item.server))


class PolicyRouter:
    """Router of a compared policy.

    Parameters
    ----------
    policy : callable
        Choose a candidate for a flow.
    memory : FlowMemory or None
        Shared memory of flows; None for a policy without memory.
    """

    def __init__(self, policy: Policy, memory: FlowMemory | None) -> None:
        self._policy = policy
        self._memory = memory
        self._view = View()

    def set_view(self, view: View) -> None:
        """Use `view` for all later packets."""
        self._view = view

    def route(self, packet: bytes) -> Route | RouteRefusal:
        """Return the route of an inner packet, or the reason why it has none."""
        flow = read_headers(packet).unwrap().flow
        for table in self._view.tables.values():
            endpoint = pack_endpoint(table.protocol, table.address, table.port)
            if endpoint == get_endpoint(flow):
                return self._choose(flow, table)
        return RouteRefusal("no_service")

    def _choose(self, flow: bytes, table) -> Route | RouteRefusal:
        server = self._find_known(flow, table.service_id)
        if server is None:
            found = sorted(
                self._view.list_candidates(table.service_id),
                key=lambda candidate: candidate.server,
            )
            if not found:
                return RouteRefusal("no_member", table.service)
            server = self._policy(flow, found, self._memory or FlowMemory()).server
            if self._memory is not None:
                self._memory.put(flow, server)
        return Route(server, "", 0, table.service_id, table.version, flow)

    def _find_known(self, flow: bytes, service_id: int) -> str | None:
        if self._memory is None:
            return None
        server = self._memory.servers.get(flow)
        reachable = {
            row.server for row in self._view.list_reachable_members(service_id)
        }
        return server if server in reachable else None


class PlainController:
    """Agent that only knows its cap and its own flows, for compared policies."""

    def __init__(
        self,
        server: str,
        zone: str,
        settings: FlowSettings,
        random: random.Random,
    ) -> None:
        self._server = server
        self._view = View()
        self._flows: dict[bytes, int] = {}

    def list_loads(self) -> tuple[ServiceLoad, ...]:
        """Return the flows of each service."""
        counts = Counter(self._flows.values())
        return tuple(
            ServiceLoad(service, flows=count) for service, count in counts.items()
        )

    def handle(self, event: object, now: float) -> list[FlowAction]:
        """Deliver packets of known flows and admit new ones up to the cap."""
        if isinstance(event, ViewChanged):
            self._view = event.view
        if isinstance(event, MessageArrived) and isinstance(event.message, Forward):
            return self._handle_forward(event.message)
        return []

    def _handle_forward(self, message: Forward) -> list[FlowAction]:
        flow, packet = message.flow, message.packet
        deliver = Deliver(message.service_id, flow, packet)
        if flow in self._flows:
            return [deliver]
        if not read_headers(packet).unwrap().is_initial_syn:
            return [ResetCaller(flow, packet), Count("flow_broken", "unknown")]
        table = self._view.tables_by_id.get(message.service_id)
        row = None if table is None else table.get_member(self._server)
        held = list(self._flows.values()).count(message.service_id)
        if row is None or held >= row.max_flows:
            return [ResetCaller(flow, packet), Count("flow_refused", "cap")]
        self._flows[flow] = message.service_id
        return [deliver]


class PolicySelector:
    """Choice of agents for requests by a compared policy, blind to reported loads."""

    def __init__(self, policy: Policy, source: random.Random) -> None:
        self._policy = policy
        self._source = source
        self._memory = FlowMemory()

    def add_request(self, server: str, service_id: int) -> None:
        """Count a request sent to `server`."""
        self._memory.counts[server] += 1

    def remove_request(self, server: str, service_id: int) -> None:
        """Count the end of a request sent to `server`."""
        self._memory.counts[server] -= 1

    def set_loads(
        self, server: str, loads: tuple[ServiceLoad, ...], now: float
    ) -> None:
        """Ignore reported loads."""

    def choose(
        self, view: View, service_id: int, tried: Set[str], now: float
    ) -> Result[Candidate, str]:
        """Return a candidate that was not tried, or why there is none."""
        found = [
            candidate
            for candidate in view.list_candidates(service_id)
            if candidate.server not in tried
        ]
        if not found:
            return Err("no_candidate")
        found.sort(key=lambda candidate: candidate.server)
        key = self._source.randbytes(8)
        return Ok(self._policy(key, found, self._memory))


def build_parts(policy: Policy, *, has_memory: bool) -> NodeFactories:
    """Return the decision modules of a compared policy."""
    memory = FlowMemory() if has_memory else None

    def create_dispatcher(
        settings: DispatcherSettings, source: random.Random
    ) -> Dispatcher:
        dispatcher = Dispatcher(settings, source)
        dispatcher._selector = PolicySelector(policy, source)
        return dispatcher

    return NodeFactories(
        lambda: PolicyRouter(policy, memory), PlainController, create_dispatcher
    )


POLICIES: dict[str, Callable[[], NodeFactories]] = {
    "bramleystair": NodeFactories,
    "plain hash": lambda: build_parts(choose_by_hash, has_memory=False),
    "round robin": lambda: build_parts(choose_in_turn, has_memory=True),
    "least connections": lambda: build_parts(choose_least_connected, has_memory=True),
}


def measure_policy(
    *traces: Path,
    seeds: int = 3,
    seed: int = 1,
    output: Path = Path("policy.json"),
    plot: Path = Path(),
) -> None:
    """Compare the project's placement with common policies on traces.

    Round robin and least connections share one memory of flows among all balancers
    without delay or loss, which no real balancer has.

    Parameters
    ----------
    traces
        Traces to replay; by default those of mixed speeds, table edits and request
        storms.
    seeds
        Number of seeds for each policy and trace.
    seed
        First seed.
    output
        Data file to write.
    plot
        Image to write; by default none.
    """
    paths = traces or tuple(_list_traces())
    rows = [
        _measure(path, name, range(seed, seed + seeds))
        for path in paths
        for name in POLICIES
    ]
    output.write_text(json.dumps(rows, indent=1) + "\n")
    print(format_table([_format_row(row) for row in rows], COLUMNS))
    if plot != Path():
        plot_rows(rows, plot)


def plot_rows(rows: list[dict], path: Path) -> None:
    """Write bars of each measure by trace and policy, with the spread over seeds."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    names = list(dict.fromkeys(row["trace"] for row in rows))
    figure, axes = pyplot.subplots(len(MEASURES), 1, figsize=(10, 3 * len(MEASURES)))
    width = 0.8 / len(POLICIES)
    for axis, measure in zip(axes, MEASURES, strict=True):
        for index, policy in enumerate(POLICIES):
            shown = [row[measure] for row in rows if row["policy"] == policy]
            middle = [spread[1] for spread in shown]
            error = [
                [spread[1] - spread[0] for spread in shown],
                [spread[2] - spread[1] for spread in shown],
            ]
            places = [number + index * width for number in range(len(names))]
            axis.bar(places, middle, width, yerr=error, label=policy)
        axis.set_title(measure)
        axis.set_xticks(range(len(names)), names, rotation=15)
    axes[0].legend()
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)


def _list_traces() -> Iterator[Path]:
    for name in TRACES:
        yield from sorted(Path("traces").glob(f"{name}-*.jsonl"))


def _measure(path: Path, policy: str, seeds: range) -> dict:
    trace = read_trace(path).unwrap()
    outcomes = [run_trace(trace, seed, POLICIES[policy]()) for seed in seeds]
    row: dict = {"trace": trace.name, "policy": policy, "seeds": list(seeds)}
    for measure in MEASURES:
        row[measure] = _compute_spread(
            [outcome.measures.get(measure, 0.0) for outcome in outcomes]
        )
    row["refusals"] = _average_refusals(outcomes)
    return row


def _compute_spread(values: list[float]) -> tuple[float, float, float]:
    return min(values), statistics.median(values), max(values)


def _average_refusals(outcomes: Sequence[ReplayResult]) -> dict[str, float]:
    totals: Counter[str] = Counter()
    for outcome in outcomes:
        for name, value in outcome.measures.items():
            if name.startswith(REFUSAL_PREFIX) and name != "refused_flows":
                totals[name.removeprefix(REFUSAL_PREFIX)] += value
    return {name: total / len(outcomes) for name, total in totals.items()}


def _format_row(row: dict) -> dict[str, str]:
    shown = {"trace": row["trace"], "policy": row["policy"]}
    for measure in MEASURES:
        low, middle, high = row[measure]
        shown[measure] = f"{middle:.3g} ({low:.3g} to {high:.3g})"
    reasons = [f"{name} {value:.0f}" for name, value in row["refusals"].items()]
    shown["refusals"] = ", ".join(reasons) or "none"
    return shown
