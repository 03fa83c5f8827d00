"""Rendering of docs/CAPACITY.md from the measured slopes."""

import json
import math
from pathlib import Path

import attrs
import matplotlib as mpl

from bramleystair.bench._fits import Slope
from bramleystair.bench._fleet_spec import PLANNED_FLEET, FleetSpec
from bramleystair.bench._message_slopes import BURST_ZONE_COUNT, PARTITION_S
from bramleystair.bench._processes import RATE_NODES
from bramleystair.bench._report import fill_template, format_table
from bramleystair.bench._slope_data import PARTS, read_slopes
from bramleystair.daemons import WATCH_S

# The page is rendered on machines without a display.
mpl.use("agg")
mpl.rcParams["svg.hashsalt"] = "bramleystair"
mpl.rcParams["svg.fonttype"] = "none"

from matplotlib import pyplot as plt  # noqa: E402

DAY_S = 86_400
MICRO = 1e6
MAX_OBJECT_BYTES = 60_000
UPGRADE_WINDOW_S = 3600
LIST_PERIOD_S = 3600
PLOT_COLUMNS = 4
# Objects held by an agent of one service with four members. The 15 zone marks are
# counted as balancer announcements, of which it holds four.
OBJECTS_PER_AGENT = {"table": 1, "agent": 4, "liveness": 4, "balancer": 19}
MAX_SCALE_FACTOR = 1000.0
# Below every measured slope, but above the rounding errors of the fits.
NEGLIGIBLE = 1e-9


@attrs.frozen
class LoadModel:
    """Loads of a fleet, computed from the slopes.

    Parameters
    ----------
    slopes : dict of str to Slope
        Measured slopes by name.
    sizes : FleetSpec
        Fleet whose loads are computed.
    base_bytes : float
        Memory of a process that holds hardly any objects.
    """

    slopes: dict[str, Slope]
    sizes: FleetSpec
    base_bytes: float

    @property
    def members(self) -> int:
        """Return the number of balancers and agents."""
        return self.sizes.balancers + self.sizes.agents

    @property
    def objects(self) -> int:
        """Return the number of objects, one liveness report per member included."""
        return self.sizes.tables + self.sizes.zones + 2 * self.members

    def predict(self, name: str, size: float) -> float:
        """Return the cost that slope `name` predicts at `size`."""
        return self.slopes[name].predict(size)

    def scale_slope(self, name: str, size: float) -> float:
        """Return the part of slope `name` that grows with `size`."""
        return self.slopes[name].slope * size

    @property
    def stored_objects(self) -> int:
        """Return the number of objects in the platform's store."""
        return self.sizes.tables + self.sizes.zones + self.members

    def compute_store_bytes(self) -> float:
        """Return the memory that all objects take in a balancer."""
        counts = {
            "table": self.sizes.tables,
            "agent": self.sizes.agents,
            "balancer": self.sizes.balancers,
            "liveness": self.members,
        }
        return sum(
            self.scale_slope(f"memory_{kind}", count) for kind, count in counts.items()
        )

    def compute_daily_growth(self) -> float:
        """Return the bytes per day that accumulate when replaced VMs get new names."""
        return sum(
            self.scale_slope(f"memory_{kind}", self.sizes.replaced_per_day)
            for kind in ("tombstone", "liveness")
        )

    def compute_balancer_messages(self) -> float:
        """Return the messages per second that a balancer sends and receives."""
        sent = self.predict("balancer_messages", self.sizes.balancers)
        received = sent * (
            self.predict("balancer_received", self.sizes.balancers)
            / self.predict("balancer_sent", self.sizes.balancers)
        )
        return sent + received

    def compute_steady_bytes(self) -> float:
        """Return the control bytes per second of a balancer without changes."""
        return sum(
            self.predict(f"balancer_{way}", self.sizes.balancers)
            for way in ("sent", "received")
        )

    def compute_change_bytes(self) -> float:
        """Return a balancer's bytes per second for changes, averaged over a day."""
        spread = self.predict("spread_bytes", self.sizes.balancers)
        replaced = self.slopes["replaced_bytes"].slope
        events = self.sizes.replaced_per_day + self.sizes.failures_per_day
        return (spread * self.sizes.changes_per_day + replaced * events) / DAY_S

    def compute_balancer_core(self) -> float:
        """Return the fraction of a core that the control plane uses on a balancer."""
        handled = self.slopes["seen_work"].predict(self.compute_balancer_messages())
        ticks = self.predict("second", self.objects)
        return (handled + ticks) / MICRO

    def compute_agent_core(self) -> float:
        """Return the fraction of a core that the control plane uses in an agent."""
        return self.slopes["seen_work"].predict(self.compute_agent_messages()) / MICRO

    def compute_agent_messages(self) -> float:
        """Return the messages per second that an agent sends and receives."""
        return 2 * self.predict("agent_messages", self.sizes.balancers)

    def compute_agent_bytes(self) -> float:
        """Return the control bytes per second of an agent without changes."""
        return sum(
            self.predict(f"agent_{way}", self.sizes.balancers)
            for way in ("sent", "received")
        )

    def compute_flows(self) -> float:
        """Return the open flows of one agent."""
        return self.sizes.flows / self.sizes.agents

    def compute_agent_state(self) -> float:
        """Return the memory that an agent's objects, flows and redirects take."""
        objects = sum(
            self.scale_slope(f"memory_{kind}", count)
            for kind, count in OBJECTS_PER_AGENT.items()
        )
        flows = self.compute_flows()
        bytes_per_flow = (
            self.slopes["memory_flow"].slope + self.slopes["memory_redirect"].slope
        )
        return objects + flows * bytes_per_flow

    def compute_renewals(self) -> float:
        """Return the lease renewals per second."""
        return self.scale_slope("renewals", self.members) / 60

    def compute_watches(self) -> float:
        """Return the number of watches held open at the platform."""
        return round(self.predict("watches", self.sizes.zones))

    def compute_watch_calls(self) -> float:
        """Return the watch calls per second that time-outs and changes cause."""
        prefixes = 2
        changes = self.sizes.changes_per_day / DAY_S
        return self.compute_watches() * (prefixes / WATCH_S + changes)


def find_limit(is_within) -> float:
    """Return the largest factor of the planned size that is within a limit.

    It is infinite if the limit holds at `MAX_SCALE_FACTOR`.
    """
    low, high = 0.0, MAX_SCALE_FACTOR
    if is_within(high):
        return math.inf
    for _ in range(60):
        middle = (low + high) / 2
        low, high = (middle, high) if is_within(middle) else (low, middle)
    return low


def write_capacity_page(data_path: Path) -> None:
    """Write CAPACITY.md and its plot from the data in `data_path`."""
    (data_path.parent / "CAPACITY.md").write_text(render_capacity(data_path))
    _plot_slopes(read_slopes(data_path), data_path / "slopes.svg")


def render_capacity(data_path: Path) -> str:
    """Render CAPACITY.md from the data in `data_path`."""
    slopes = read_slopes(data_path)
    data = {
        part: json.loads((data_path / f"{part}.json").read_text()) for part in PARTS
    }
    rows = data["processes"]["rows"]
    base = max(row["seen"]["memory"] for row in rows)
    model = LoadModel(slopes, PLANNED_FLEET, base)
    values = {
        "commands": "\n".join(f"    {data[part]['command']}" for part in PARTS),
        "roles": _format_roles(model),
        "platform": _format_platform(model),
        "bursts": _format_bursts(model),
        "limits": _format_limits(model),
        "unmet": _format_budget_checks(model),
        "slopes": _format_slopes(slopes),
        "processes": _format_processes(rows),
        "process_slopes": _format_process_slopes(slopes),
        **_format_figures(model, rows),
    }
    return fill_template("CAPACITY.md", values)


def fmt(value: float, digits: int = 3) -> str:
    """Return `value` with `digits` significant digits and thousands separators."""
    if value == math.inf:
        return "none found"
    if abs(value) < NEGLIGIBLE or not math.isfinite(value):
        return "0" if math.isfinite(value) else str(value)
    if value == round(value):
        return f"{round(value, digits - 1 - math.floor(math.log10(abs(value)))):,.0f}"
    places = max(0, digits - 1 - math.floor(math.log10(abs(value))))
    rounded = round(value, digits - 1 - math.floor(math.log10(abs(value))))
    return f"{rounded:,.{places}f}"


def _format_roles(model: LoadModel) -> str:
    sizes = model.sizes
    cores = {"balancer": model.compute_balancer_core()}
    cores["agent"] = model.compute_agent_core()
    memory = {"balancer": model.base_bytes + model.compute_store_bytes()}
    memory["agent"] = model.base_bytes + model.compute_agent_state()
    totals = {
        "balancer": model.compute_steady_bytes() + model.compute_change_bytes(),
        "agent": model.compute_agent_bytes(),
    }
    state = {"balancer": model.compute_store_bytes()}
    state["agent"] = model.compute_agent_state()
    messages = {"balancer": model.compute_balancer_messages()}
    messages["agent"] = model.compute_agent_messages()
    carried = {
        "balancer": "`ObjectStore`; heartbeats; digests; header-first gossip",
        "agent": "heartbeats; load reports; flow entries and redirects",
    }
    rows = []
    for role in ("balancer", "agent"):
        rows.append(
            {
                "role": role,
                "state": f"{fmt(state[role] / 1e6)} MB",
                "memory": _format_share(
                    memory[role] / 1e6, sizes.budget_bytes / 1e6, "MB"
                ),
                "messages": fmt(messages[role]),
                "core": _format_share(cores[role] * 100, sizes.budget_core * 100, "%"),
                "bytes": _format_share(totals[role], sizes.budget_bytes_per_s, "B/s"),
                "carried": carried[role],
            }
        )
    columns = {
        "role": "role",
        "state": "state",
        "memory": "memory of the process",
        "messages": "messages/s, both ways",
        "core": "processor time",
        "bytes": "control bytes, both ways",
        "carried": "sources",
    }
    return format_table(rows, columns)


def _format_share(value: float, budget: float, unit: str) -> str:
    share = value / budget
    return f"{fmt(value)} of {fmt(budget)} {unit} ({share:.0%})"


def _format_platform(model: LoadModel) -> str:
    sizes = model.sizes
    renewals = model.compute_renewals()
    watches = model.compute_watches()
    before = renewals * watches
    listed = model.members * model.compute_watches() / LIST_PERIOD_S
    rows = [
        {
            "load": "lease renewals",
            "rate": f"{fmt(renewals)} writes/s",
            "limit": f"{sizes.platform_writes_per_s} writes/s",
            "carried": "`RenewLease`, each member every 120 s",
        },
        {
            "load": "configuration changes",
            "rate": f"{fmt(sizes.changes_per_day / DAY_S)} writes/s",
            "limit": f"{sizes.platform_writes_per_s} writes/s",
            "carried": "conditional updates",
        },
        {
            "load": "watch calls, `WATCHED_PREFIXES` only",
            "rate": f"{fmt(model.compute_watch_calls())} calls/s",
            "limit": f"{sizes.platform_reads_per_s} calls/s",
            "carried": f"{fmt(watches)} watchers of tables and zone marks",
        },
        {
            "load": "watch calls, all objects (current daemons)",
            "rate": f"{fmt(before)} calls/s",
            "limit": f"{sizes.platform_reads_per_s} calls/s",
            "carried": "one call for each renewal and watcher",
        },
        {
            "load": "announcements, listed instead of watched",
            "rate": f"{fmt(listed)} objects/s",
            "limit": "none stated",
            "carried": "`LISTED_PREFIXES`, once per hour and watcher",
        },
    ]
    columns = {
        "load": "load",
        "rate": "rate",
        "limit": "platform limit",
        "carried": "source",
    }
    return format_table(rows, columns)


def _format_bursts(model: LoadModel) -> str:
    sizes = model.sizes
    zone = model.members / sizes.zones
    region = model.members / sizes.regions
    window = model.scale_slope("replaced_bytes", sizes.replaced_per_day)
    first_writes = model.members / sizes.platform_writes_per_s
    spread = model.predict("spread_bytes", sizes.balancers)
    rows = [
        _build_burst_row("a configuration change", spread, spread, sizes),
        _build_burst_row(
            f"loss of a zone ({fmt(zone)} members)",
            model.predict("zone_lost_bytes", zone),
            model.predict("zone_lost_peak", zone),
            sizes,
        ),
        _build_burst_row(
            f"reconnection of a region ({fmt(region)} members)",
            model.predict("rejoin_bytes", region),
            model.predict("rejoin_peak", region),
            sizes,
        ),
        _build_burst_row(
            f"{sizes.replaced_per_day} replacements in an hour",
            window,
            window / UPGRADE_WINDOW_S,
            sizes,
        ),
        _build_burst_row(
            "start of a new node (load of that node)",
            model.predict("start_received", model.objects),
            model.predict("start_received", model.objects)
            / max(1.0, model.predict("start_seconds", model.objects)),
            sizes,
        ),
    ]
    text = format_table(
        rows,
        {
            "event": "event",
            "bytes": "bytes per balancer",
            "peak": "busiest second",
            "seconds": "equivalent seconds of the 11 KB/s budget",
        },
    )
    return text + (
        f"\n\nA change completes {fmt(model.compute_watches())} watches, which are then"
        f" requested again.\nAfter an outage or a restart of the whole"
        f" fleet, {model.members:,} announcements are written;\nat"
        f" {sizes.platform_writes_per_s} writes/s this takes {fmt(first_writes)} s,"
        f" against a lease of {fmt(3 * sizes.lease_renew_s)} s."
    )


def _build_burst_row(event: str, total: float, peak: float, sizes: FleetSpec) -> dict:
    return {
        "event": event,
        "bytes": fmt(total),
        "peak": f"{fmt(peak)} B/s",
        "seconds": fmt(total / sizes.budget_bytes_per_s),
    }


def _list_scaling_limits(model: LoadModel) -> list[tuple[float, str, str, str]]:
    sizes = model.sizes

    def scale(factor: float) -> LoadModel:
        scaled = sizes.scale(factor)
        scaled = attrs.evolve(
            scaled,
            zones=sizes.zones,
            changes_per_day=sizes.changes_per_day * factor,
            replaced_per_day=sizes.replaced_per_day * factor,
        )
        return attrs.evolve(model, sizes=scaled)

    def fits_bytes(factor: float) -> bool:
        scaled = scale(factor)
        total = scaled.compute_steady_bytes() + scaled.compute_change_bytes()
        return total <= sizes.budget_bytes_per_s

    def fits_memory(factor: float) -> bool:
        total = model.base_bytes + scale(factor).compute_store_bytes()
        return total <= sizes.budget_bytes

    return [
        (
            find_limit(
                lambda f: scale(f).compute_renewals() <= sizes.platform_writes_per_s
            ),
            "lease renewals at the platform",
            "writes per second",
            "a longer lease, or one renewal for all agents of a VM group",
        ),
        (
            find_limit(lambda f: scale(f).compute_balancer_core() <= sizes.budget_core),
            "ticks and messages of a balancer",
            "processor time",
            "checks of silent members at a rate independent of their number per zone",
        ),
        (
            find_limit(fits_memory),
            "every balancer holds every object",
            "memory",
            "balancers that hold the tables of only some services",
        ),
        (
            find_limit(fits_bytes),
            "gossip to every balancer",
            "control bytes per second",
            "spreading to each region first, then within it",
        ),
    ]


def _format_limits(model: LoadModel) -> str:
    rows = [
        {
            "mechanism": mechanism,
            "resource": resource,
            "factor": fmt(factor),
            "balancers": fmt(factor * model.sizes.balancers)
            if math.isfinite(factor)
            else f"above {MAX_SCALE_FACTOR * model.sizes.balancers:,.0f}",
            "next": replacement,
        }
        for factor, mechanism, resource, replacement in sorted(
            _list_scaling_limits(model)
        )
    ]
    columns = {
        "mechanism": "mechanism",
        "resource": "limiting resource",
        "factor": "times the planned size",
        "balancers": "balancers",
        "next": "possible replacement",
    }
    return format_table(rows, columns)


def _format_budget_checks(model: LoadModel) -> str:
    sizes = model.sizes
    budget = sizes.budget_bytes_per_s
    zone = model.predict("zone_lost_peak", model.members / sizes.zones)
    region = model.predict("rejoin_peak", model.members / sizes.regions)
    start = model.predict("start_received", model.objects)
    averages = {
        "processor time": model.compute_balancer_core() / sizes.budget_core,
        "memory": (model.base_bytes + model.compute_store_bytes()) / sizes.budget_bytes,
        "control bytes": (model.compute_steady_bytes() + model.compute_change_bytes())
        / budget,
    }
    lines = []
    for name, share in averages.items():
        verdict = "met" if share <= 1 else "**not met**"
        lines.append(f"- Average {name}: {verdict}, {share:.0%} of the budget.")
    for name, peak in (
        ("the loss of a zone", zone),
        ("the reconnection of a region", region),
    ):
        verdict = "met" if peak <= budget else "**not met**"
        lines.append(
            f"- 11 KB/s in the busiest second of {name}: {verdict},"
            f" {fmt(peak / budget)} times the budget."
        )
    verdict = "met" if start <= budget else "**not met**"
    lines.append(
        f"- 11 KB/s while a node starts: {verdict}, it receives"
        f" {fmt(start / 1e6)} MB at once."
    )
    watch_answers = model.compute_renewals() * model.compute_watches()
    verdict = "met" if watch_answers <= sizes.platform_reads_per_s else "**not met**"
    lines.append(
        f"- {sizes.platform_reads_per_s} platform calls/s: {verdict} while the daemons"
        f" watch all objects, {fmt(watch_answers)} calls/s, because each renewal"
        f" completes the watch of every watcher. With only `WATCHED_PREFIXES` watched,"
        f" there are {fmt(model.compute_watch_calls())} calls/s."
    )
    growth = model.compute_daily_growth()
    remaining = sizes.budget_bytes - model.base_bytes - model.compute_store_bytes()
    lines.append(
        f"- Tombstones and reports are never removed: {fmt(growth / 1e6)} MB per day"
        f" if replaced VMs get new names, which fills the memory budget after"
        f" {fmt(remaining / growth)} days without a restart of the whole fleet."
    )
    members = (MAX_OBJECT_BYTES - model.slopes["table_bytes"].intercept) / model.slopes[
        "table_bytes"
    ].slope
    lines.append(
        f"- A table is sent in one datagram, so a service has at most {fmt(members)}"
        f" members."
    )
    return "\n".join(lines)


def _format_figures(model: LoadModel, rows: list[dict]) -> dict[str, str]:
    slopes = model.slopes
    flows = model.compute_flows()
    return {
        "objects": f"{model.objects:,}",
        "flows_per_agent": fmt(flows),
        "flow_bytes": fmt(slopes["memory_flow"].slope),
        "redirect_bytes": fmt(slopes["memory_redirect"].slope),
        "handover_bytes": fmt(slopes["handover"].slope),
        "handover_total": fmt(model.scale_slope("handover", flows) / 1000),
        "move_us": fmt(slopes["move"].slope),
        "move_total": fmt(model.scale_slope("move", flows) / 1000),
        "new_flows_balancer": fmt(model.sizes.flows_per_s / model.sizes.balancers),
        "new_flows_agent": fmt(model.sizes.flows_per_s / model.sizes.agents),
        "steady_bytes": fmt(model.compute_steady_bytes()),
        "change_bytes": fmt(model.compute_change_bytes()),
        "spread_seconds": fmt(max(slopes["spread_seconds"].costs)),
        "start_received": fmt(slopes["start_received"].slope),
        "start_seconds": fmt(max(slopes["start_seconds"].costs)),
        "start_in_flight": fmt(max(slopes["start_in_flight"].costs) / 1000),
        "base_memory": fmt(model.base_bytes / 1e6),
        "ratio": fmt(slopes["seen_work"].slope / slopes["predicted_work"].slope),
        "rendezvous": fmt(slopes["rendezvous"].slope),
        "view_table": fmt(model.predict("view_table", model.objects)),
        "view_agent": fmt(model.predict("view_agent", model.objects)),
        "process_count": str(max(row["nodes"] for row in rows)),
        "table_bytes": fmt(slopes["table_bytes"].predict(4)),
        "heartbeat_bytes": fmt(slopes["heartbeat_bytes"].predict(1)),
        "digest_bytes": fmt(slopes["digest_bytes"].predict(model.objects)),
        "reconcile_bytes": fmt(model.predict("reconcile", model.objects)),
        "cut_s": fmt(PARTITION_S),
        "cut_share": f"{1 / BURST_ZONE_COUNT:.0%}",
        "cut_least": fmt(min(slopes["rejoin_bytes"].sizes)),
        "cut_most": fmt(max(slopes["rejoin_bytes"].sizes)),
        "region_factor": fmt(
            model.members / model.sizes.regions / max(slopes["rejoin_bytes"].sizes), 2
        ),
        "zone_factor": fmt(
            model.members / model.sizes.zones / max(slopes["zone_lost_bytes"].sizes), 2
        ),
        "rate_nodes": str(RATE_NODES),
        "stored": f"{model.stored_objects:,}",
        "operator_reads": fmt(model.predict("operator_reads", model.stored_objects)),
        "operator_writes": fmt(model.predict("operator_writes", model.stored_objects)),
        "operator_bytes": fmt(
            model.predict("operator_bytes", model.stored_objects) / 1e6
        ),
        "operator_work": fmt(
            model.predict("operator_work", model.stored_objects) / 1000
        ),
        "operator_rate": fmt(
            model.predict("operator_bytes", model.stored_objects)
            * model.sizes.changes_per_day
            / DAY_S
            / 1000
        ),
        "platform_state": fmt(
            model.predict("operator_bytes", model.stored_objects)
            / model.predict("operator_reads", model.stored_objects)
            / 1e6
        ),
        "writes_limit": str(model.sizes.platform_writes_per_s),
        "watch_s": f"{WATCH_S:.0f}",
    }


def _format_slopes(slopes: dict[str, Slope]) -> str:
    rows = [
        {
            "name": f"`{slope.name}`",
            "against": slope.size,
            "sizes": f"{fmt(min(slope.sizes))} to {fmt(max(slope.sizes))}",
            "intercept": f"{fmt(slope.intercept)} {slope.unit}",
            "slope": f"{fmt(slope.slope)} ± {fmt(slope.error, 2)} {slope.unit}",
        }
        for slope in slopes.values()
    ]
    columns = {
        "name": "slope",
        "against": "against",
        "sizes": "sizes",
        "intercept": "at 0",
        "slope": "per unit of size",
    }
    return format_table(rows, columns)


def _format_process_slopes(slopes: dict[str, Slope]) -> str:
    rows = []
    titles = {
        "bytes_per_s": "control bytes/s per process",
        "spread": "bytes per process to spread one version",
        "work": "processor time (us/s)",
    }
    for kind, title in titles.items():
        for source in ("predicted", "seen"):
            slope = slopes[f"{source}_{kind}"]
            rows.append(
                {
                    "what": title,
                    "source": source,
                    "against": slope.size,
                    "intercept": fmt(slope.intercept),
                    "slope": f"{fmt(slope.slope)} ± {fmt(slope.error, 2)}",
                }
            )
    columns = {
        "what": "cost",
        "source": "",
        "against": "against",
        "intercept": "at 0",
        "slope": "per unit",
    }
    return format_table(rows, columns)


def _format_processes(rows: list[dict]) -> str:
    lines = [
        {
            "nodes": row["nodes"],
            "period": row["period_s"],
            "messages": fmt(row["seen"]["messages_per_s"]),
            "bytes": f"{fmt(row['predicted']['bytes_per_s'], 4)} /"
            f" {fmt(row['seen']['bytes_per_s'], 4)}",
            "spread": f"{fmt(row['predicted']['spread'], 4)} /"
            f" {fmt(row['seen']['spread'], 4)}",
            "work": f"{fmt(row['predicted']['work'])} / {fmt(row['seen']['work'])}",
            "reached": f"{row['seen']['reached']:.0%} in"
            f" {fmt(row['seen']['spread_s'], 2)} s",
        }
        for row in rows
    ]
    columns = {
        "nodes": "processes",
        "period": "heartbeat period (s)",
        "messages": "messages/s",
        "bytes": "B/s, predicted / seen",
        "spread": "B per version, predicted / seen",
        "work": "us/s, predicted / seen",
        "reached": "version reached",
    }
    return format_table(lines, columns)


def _plot_slopes(slopes: dict[str, Slope], path: Path) -> None:
    count = math.ceil(len(slopes) / PLOT_COLUMNS)
    figure, axes = plt.subplots(
        count, PLOT_COLUMNS, figsize=(4 * PLOT_COLUMNS, 2.6 * count)
    )
    for axis in axes.flat[len(slopes) :]:
        axis.remove()
    for axis, slope in zip(axes.flat, slopes.values(), strict=False):
        ends = [0.0, max(slope.sizes)]
        axis.plot(slope.sizes, slope.costs, "o", markersize=4)
        axis.plot(ends, [slope.predict(end) for end in ends], linewidth=1)
        axis.set_title(slope.name, fontsize=9)
        axis.set_xlabel(slope.size, fontsize=8)
        axis.set_ylabel(slope.unit, fontsize=8)
        axis.tick_params(labelsize=7)
    figure.tight_layout()
    figure.savefig(path, metadata={"Date": None})
    plt.close(figure)
