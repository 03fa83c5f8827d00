"""Checks of a soak run by the logs of callers and servers."""

import bisect
import collections
import json
from pathlib import Path

import attrs

from bramleystair.platform.standins._settings import SERVICE_NAME
from bramleystair.soak._faults import Fault
from bramleystair.soak._memory import MEMORY_LOG

# Time after the end of a fault during which it still explains the reset of a flow.
FAULT_GRACE_S = 5.0
# Time at the end of a run in which `MIN_FINAL_SHARE` of requests must be answered.
FINAL_WINDOW_S = 4.0
MIN_FINAL_SHARE = 0.95
# A flow is misrouted if other servers return so many of its packets within this time
# while none reaches its own.
FLOW_STABILITY_S = 2.0
RETURNED_PACKETS = 3


@attrs.define
class SoakResult:
    """Violated invariants of one run.

    Parameters
    ----------
    requests : int
        Requests that ran at a server.
    broken_flows : int
        Established flows that were reset without an unplanned fault that explains it.
    flows_elsewhere : int
        Flows whose requests ran at two servers.
    misrouted_flows : int
        Flows whose packets reached other servers and not their own for
        `FLOW_STABILITY_S`, without an unplanned fault that explains it.
    doubled : int
        Requests that ran more than once.
    misdelivered : int
        Responses that belong to another request.
    false_not_run : int
        Requests that ran although the caller never saw their flow established.
    exceeded_memory : int
        Nodes that took more memory than the platform permits.
    final_share : float
        Share of answered requests after the faults.
    """

    seed: int
    requests: int = 0
    broken_flows: int = 0
    flows_elsewhere: int = 0
    misrouted_flows: int = 0
    doubled: int = 0
    misdelivered: int = 0
    false_not_run: int = 0
    exceeded_memory: int = 0
    final_share: float = 1.0
    details: list[str] = attrs.field(factory=list)

    @property
    def is_failed(self) -> bool:
        """Whether an invariant was violated."""
        return bool(
            self.broken_flows
            or self.flows_elsewhere
            or self.misrouted_flows
            or self.doubled
            or self.misdelivered
            or self.false_not_run
            or self.exceeded_memory
            or self.final_share < MIN_FINAL_SHARE
        )


@attrs.frozen
class _Flow:
    """Established flow: its server, and when the caller saw it open."""

    owner: str
    opened_s: float


def check_run(seed: int, folder: Path, faults: list[Fault]) -> SoakResult:
    """Return the invariants that the logs of callers and servers show as violated."""
    result = SoakResult(seed)
    callers = read_events(folder / "callers.log")
    servers = {path.stem: read_events(path) for path in folder.glob("server-*.log")}
    runs = collections.defaultdict(list)
    for server, events in servers.items():
        for event in events:
            if event["event"] == "run":
                runs[event["request"]].append(server)
    opened = {e["flow"]: e["time"] for e in callers if e["event"] == "opened"}
    owners = collections.defaultdict(set)
    for request, names in runs.items():
        owners[_get_flow(request)].update(names)
    flows = {
        name: _Flow(min(names), opened[name])
        for name, names in owners.items()
        if name in opened
    }
    result.requests = len(runs)
    result.doubled = sum(len(names) > 1 for names in runs.values())
    result.false_not_run = sum(_get_flow(request) not in opened for request in runs)
    for event in callers:
        if event["event"] == "response":
            if event["answer"] != f"{event['request']} {SERVICE_NAME}":
                result.misdelivered += 1
        elif event["event"] == "reset" and event["was_open"]:
            flow = flows.get(event["flow"])
            if flow is not None and not is_explained_by_fault(
                event["time"], flow, event["balancers"], faults
            ):
                result.broken_flows += 1
                result.details.append(
                    f"{event['time']:.3f} {event['flow']} of {flow.owner} reset, "
                    f"balancers {event['balancers']}"
                )
    elsewhere = [name for name, names in owners.items() if len(names) > 1]
    result.flows_elsewhere = len(elsewhere)
    result.details += [f"{name} ran at {sorted(owners[name])}" for name in elsewhere]
    misrouted = _find_misrouted_flows(servers, flows, faults)
    result.misrouted_flows = len(misrouted)
    result.details += [f"{name} reached only other servers" for name in misrouted]
    exceeded = [peak for peak in read_peaks(folder) if is_exceeded(peak)]
    result.exceeded_memory = len(exceeded)
    result.details += [json.dumps(peak) for peak in exceeded]
    result.final_share = compute_final_share(callers)
    return result


def read_peaks(folder: Path) -> list[dict]:
    """Return the peak memory of each node with its limit."""
    text = (folder / MEMORY_LOG).read_text(encoding="utf-8")
    return [json.loads(line) for line in text.splitlines()]


def is_exceeded(peak: dict) -> bool:
    """Return whether a node took more memory than permitted."""
    return peak["peak_mb"] > peak["limit_mb"]


def is_explained_by_fault(
    time_s: float, flow: _Flow, balancers: list[str], faults: list[Fault]
) -> bool:
    """Return whether an unplanned fault explains the reset of an established flow.

    Parameters
    ----------
    balancers : list of str
        Balancers that took the packet or sent the reset.
    """
    involved = {flow.owner.replace("server", "agent"), *balancers}
    for fault in faults:
        if fault.kind == "kill_server":
            # A killed server loses its flows, and each is reset at its next packet.
            is_lost = flow.opened_s <= fault.end_s and fault.start_s <= time_s
            if fault.target == flow.owner and is_lost:
                return True
            continue
        is_recent = fault.start_s <= time_s <= fault.end_s + FAULT_GRACE_S
        if fault.is_unplanned and is_recent and fault.target in involved:
            return True
    return False


def _find_misrouted_flows(
    servers: dict[str, list[dict]], flows: dict[str, _Flow], faults: list[Fault]
) -> list[str]:
    """Return the flows whose packets reached only other servers for a time."""
    returned = collections.defaultdict(list)
    received = collections.defaultdict(list)
    for server, events in servers.items():
        for event in events:
            name = _get_flow(event["request"])
            flow = flows.get(name)
            if flow is not None:
                times = received if server == flow.owner else returned
                times[name].append(event["time"])
    # The balancer that took a packet is not known.
    balancers = sorted({f.target for f in faults if f.target.startswith("balancer")})
    return [
        name
        for name, times in sorted(returned.items())
        if any(
            not is_explained_by_fault(time_s, flows[name], balancers, faults)
            for time_s in _find_misrouted_times(times, received[name])
        )
    ]


def _find_misrouted_times(returned: list[float], received: list[float]) -> list[float]:
    """Return the starts of times in which packets reached only other servers."""
    own = sorted(received)
    starts = []
    for start_s in returned:
        end_s = start_s + FLOW_STABILITY_S
        count = sum(start_s <= time_s <= end_s for time_s in returned)
        is_at_own = bisect.bisect(own, end_s) > bisect.bisect_left(own, start_s)
        if count >= RETURNED_PACKETS and not is_at_own:
            starts.append(start_s)
    return starts


def _get_flow(request: str) -> str:
    return request.partition("-")[0]


def compute_final_share(events: list[dict]) -> float:
    """Return the share of answered requests in the final window."""
    if not events:
        return 0.0
    start_s = events[-1]["time"] - FINAL_WINDOW_S
    last = [event for event in events if event["time"] >= start_s]
    answered = sum(event["event"] == "response" for event in last)
    failed = sum(event["event"] in ("reset", "expired", "not_opened") for event in last)
    return answered / (answered + failed) if answered + failed else 0.0


def read_events(path: Path) -> list[dict]:
    """Return the events in the log of a program; other lines are skipped."""
    events = []
    for line in path.read_text(encoding="utf-8", errors="replace").splitlines():
        if line.startswith('{"time": ') and '"event"' in line:
            try:
                events.append(json.loads(line))
            except ValueError:
                # The last line of a killed process may be truncated.
                continue
    return events
