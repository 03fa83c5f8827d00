"""Comparison of the load balancer's placement with baseline policies on traces."""

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
METRICS = (
    "broken_flows",
    "imbalance",
    "refused_flows",
    "answered_requests",
    "not_run_requests",
    "latency_p99_s",
)
REFUSAL_PREFIX = "refused_"


@attrs.define
class SharedFlowState:
    """Flow assignments that all balancers share without delay or loss."""

    servers: dict[bytes, str] = attrs.field(factory=dict)
    counts: Counter[str] = attrs.field(factory=Counter)
    next_index: Iterator[int] = attrs.field(factory=itertools.count)

    def assign(self, flow: bytes, server: str) -> None:
        """Assign `flow` to `server`, replacing an earlier assignment."""
        old = self.servers.get(flow)
        if old is not None:
            self.counts[old] -= 1
        self.servers[flow] = server
        self.counts[server] += 1


Policy = Callable[[bytes, Sequence[Candidate], SharedFlowState], Candidate]


def choose_by_hash(
    flow: bytes, candidates: Sequence[Candidate], state: SharedFlowState
) -> Candidate:
    """Return the candidate at the index given by the flow's hash."""
    return candidates[xxhash.xxh64_intdigest(flow) % len(candidates)]


def choose_round_robin(
    flow: bytes, candidates: Sequence[Candidate], state: SharedFlowState
) -> Candidate:
    """Return each candidate in turn."""
    return candidates[next(state.next_index) % len(candidates)]


def choose_least_connected(
    flow: bytes, candidates: Sequence[Candidate], state: SharedFlowState
) -> Candidate:
    """Return the candidate with the fewest flows, ignoring weights."""
    return min(candidates, key=lambda item: (state.counts[item.server], item.server))


class PolicyRouter:
    """Router that places flows by a baseline policy.

    Parameters
    ----------
    policy : callable
        Function that chooses a candidate for a flow.
    state : SharedFlowState or None
        Assignments shared by all balancers; None for a stateless policy.
    """

    def __init__(self, policy: Policy, state: SharedFlowState | None) -> None:
        self._policy = policy
        self._state = state
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
        server = self._find_assigned_server(flow, table.service_id)
        if server is None:
            found = sorted(
                self._view.list_candidates(table.service_id),
                key=lambda candidate: candidate.server,
            )
            if not found:
                return RouteRefusal("no_member", table.service)
            server = self._policy(flow, found, self._state or SharedFlowState()).server
            if self._state is not None:
                self._state.assign(flow, server)
        return Route(server, "", 0, table.service_id, table.version, flow)

    def _find_assigned_server(self, flow: bytes, service_id: int) -> str | None:
        if self._state is None:
            return None
        server = self._state.servers.get(flow)
        reachable = {
            row.server for row in self._view.list_reachable_members(service_id)
        }
        return server if server in reachable else None


class BaselineController:
    """Flow controller of an agent under a baseline policy.

    It knows only its own flows and its flow limit in the table: it has no warm-up,
    redirects or handover.
    """

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
        """Return the number of flows of each service."""
        counts = Counter(self._flows.values())
        return tuple(
            ServiceLoad(service, flows=count) for service, count in counts.items()
        )

    def handle(self, event: object, now: float) -> list[FlowAction]:
        """Deliver packets of known flows and admit new flows up to `max_flows`."""
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
        open_flows = list(self._flows.values()).count(message.service_id)
        if row is None or open_flows >= row.max_flows:
            return [ResetCaller(flow, packet), Count("flow_refused", "cap")]
        self._flows[flow] = message.service_id
        return [deliver]


class PolicySelector:
    """Selection of agents for requests by a baseline policy."""

    def __init__(self, policy: Policy, rng: random.Random) -> None:
        self._policy = policy
        self._rng = rng
        self._state = SharedFlowState()

    def add_request(self, server: str, service_id: int) -> None:
        """Record a request sent to `server`."""
        self._state.counts[server] += 1

    def remove_request(self, server: str, service_id: int) -> None:
        """Record the end of a request sent to `server`."""
        self._state.counts[server] -= 1

    def set_loads(
        self, server: str, loads: tuple[ServiceLoad, ...], now: float
    ) -> None:
        """Do nothing; baseline policies ignore reported loads."""

    def choose(
        self, view: View, service_id: int, tried: Set[str], now: float
    ) -> Result[Candidate, str]:
        """Return an untried candidate, or the reason why there is none."""
        found = [
            candidate
            for candidate in view.list_candidates(service_id)
            if candidate.server not in tried
        ]
        if not found:
            return Err("no_candidate")
        found.sort(key=lambda candidate: candidate.server)
        key = self._rng.randbytes(8)
        return Ok(self._policy(key, found, self._state))


def build_node_factories(policy: Policy, *, is_stateful: bool) -> NodeFactories:
    """Return the decision modules of a baseline policy."""
    state = SharedFlowState() if is_stateful else None

    def create_dispatcher(
        settings: DispatcherSettings, rng: random.Random
    ) -> Dispatcher:
        dispatcher = Dispatcher(settings, rng)
        dispatcher._selector = PolicySelector(policy, rng)
        return dispatcher

    return NodeFactories(
        lambda: PolicyRouter(policy, state), BaselineController, create_dispatcher
    )


POLICIES: dict[str, Callable[[], NodeFactories]] = {
    "bramleystair": NodeFactories,
    "plain hash": lambda: build_node_factories(choose_by_hash, is_stateful=False),
    "round robin": lambda: build_node_factories(choose_round_robin, is_stateful=True),
    "least connections": lambda: build_node_factories(
        choose_least_connected, is_stateful=True
    ),
}


def measure_policy(
    *traces: Path,
    seeds: int = 3,
    seed: int = 1,
    output: Path = Path("policy.json"),
    plot: Path = Path(),
) -> None:
    """Compare the load balancer's placement with baseline policies on traces.

    For round robin and least connections, all balancers share one table of flows
    without delay or loss, which no real deployment has.

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
        JSON file to write.
    plot
        Image file of the plot; by default none is written.
    """
    paths = traces or tuple(_list_default_traces())
    rows = [
        _measure_trace(path, name, range(seed, seed + seeds))
        for path in paths
        for name in POLICIES
    ]
    output.write_text(json.dumps(rows, indent=1) + "\n")
    print(format_table([_format_row(row) for row in rows], COLUMNS))
    if plot != Path():
        plot_rows(rows, plot)


def plot_rows(rows: list[dict], path: Path) -> None:
    """Plot each metric by trace and policy; error bars show the range over seeds."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    names = list(dict.fromkeys(row["trace"] for row in rows))
    figure, axes = pyplot.subplots(len(METRICS), 1, figsize=(10, 3 * len(METRICS)))
    width = 0.8 / len(POLICIES)
    for axis, metric in zip(axes, METRICS, strict=True):
        for index, policy in enumerate(POLICIES):
            values = [row[metric] for row in rows if row["policy"] == policy]
            medians = [bounds[1] for bounds in values]
            error = [
                [bounds[1] - bounds[0] for bounds in values],
                [bounds[2] - bounds[1] for bounds in values],
            ]
            positions = [number + index * width for number in range(len(names))]
            axis.bar(positions, medians, width, yerr=error, label=policy)
        axis.set_title(metric)
        axis.set_xticks(range(len(names)), names, rotation=15)
    axes[0].legend()
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)


def _list_default_traces() -> Iterator[Path]:
    for name in TRACES:
        yield from sorted(Path("traces").glob(f"{name}-*.jsonl"))


def _measure_trace(path: Path, policy: str, seeds: range) -> dict:
    trace = read_trace(path).unwrap()
    results = [run_trace(trace, seed, POLICIES[policy]()) for seed in seeds]
    row: dict = {"trace": trace.name, "policy": policy, "seeds": list(seeds)}
    for metric in METRICS:
        row[metric] = _compute_range(
            [result.measures.get(metric, 0.0) for result in results]
        )
    row["refusals"] = _average_refusals(results)
    return row


def _compute_range(values: list[float]) -> tuple[float, float, float]:
    return min(values), statistics.median(values), max(values)


def _average_refusals(results: Sequence[ReplayResult]) -> dict[str, float]:
    totals: Counter[str] = Counter()
    for result in results:
        for name, value in result.measures.items():
            if name.startswith(REFUSAL_PREFIX) and name != "refused_flows":
                totals[name.removeprefix(REFUSAL_PREFIX)] += value
    return {name: total / len(results) for name, total in totals.items()}


def _format_row(row: dict) -> dict[str, str]:
    values = {"trace": row["trace"], "policy": row["policy"]}
    for metric in METRICS:
        low, median, high = row[metric]
        values[metric] = f"{median:.3g} ({low:.3g} to {high:.3g})"
    reasons = [f"{name} {value:.0f}" for name, value in row["refusals"].items()]
    values["refusals"] = ", ".join(reasons) or "none"
    return values
