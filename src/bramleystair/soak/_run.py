"""Execution of one soak run and check of its invariants."""

import collections
import json
import random as random_module
import tempfile
import threading
import time
from pathlib import Path

import attrs

from bramleystair.platform.standins._settings import SERVICE_NAME
from bramleystair.soak._faults import PLANNED_FAULTS, Fault, inject_fault
from bramleystair.soak._fleet import ProcessFleet

# Time after the end of a fault during which it still explains the reset of a flow.
FAULT_GRACE_S = 5.0
RECOVERY_S = 8.0
# Time at the end of a run in which `MIN_FINAL_SHARE` of requests must be answered.
FINAL_WINDOW_S = 4.0
MIN_FINAL_SHARE = 0.95
MAX_FAULT_GAP_S = 1.5


@attrs.define
class SoakResult:
    """Violated invariants of one run.

    Parameters
    ----------
    requests : int
        Requests that ran at a server.
    broken_flows : int
        Established flows that were reset without an unplanned fault that explains it.
    doubled : int
        Requests that ran more than once.
    misdelivered : int
        Responses that belong to another request.
    false_not_run : int
        Requests that ran although the caller never saw their flow established.
    final_share : float
        Share of answered requests after the faults.
    """

    seed: int
    requests: int = 0
    broken_flows: int = 0
    doubled: int = 0
    misdelivered: int = 0
    false_not_run: int = 0
    final_share: float = 1.0
    details: list[str] = attrs.field(factory=list)

    @property
    def is_failed(self) -> bool:
        """Whether an invariant was violated."""
        return bool(
            self.broken_flows
            or self.doubled
            or self.misdelivered
            or self.false_not_run
            or self.final_share < MIN_FINAL_SHARE
        )


def run_seed(seed: int, seconds: float, folder: Path | None = None) -> SoakResult:
    """Run the programs under random faults for `seconds` and check the outcome.

    Parameters
    ----------
    folder : Path, optional
        Folder for settings and outputs; a temporary folder by default.
    """
    if folder is None:
        with tempfile.TemporaryDirectory() as name:
            return run_seed(seed, seconds, Path(name))
    fleet = ProcessFleet(folder, seed)
    try:
        fleet.start()
        faults = _run_faults(fleet, seed, seconds)
        time.sleep(RECOVERY_S)
    finally:
        fleet.stop()
    return check_run(seed, folder, faults)


def _run_faults(fleet: ProcessFleet, seed: int, seconds: float) -> list[Fault]:
    """Inject two concurrent series of faults; each has one fault at a time."""
    faults: list[Fault] = []
    end_s = time.monotonic() + seconds
    locks = collections.defaultdict(threading.Lock)

    def run_series(number: int) -> None:
        source = random_module.Random(seed * 2 + number)
        while time.monotonic() < end_s:
            with locks["series", number]:
                faults.append(inject_fault(fleet, source))
            time.sleep(source.uniform(0, MAX_FAULT_GAP_S))

    threads = [threading.Thread(target=run_series, args=(n,)) for n in range(2)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return faults


def check_run(seed: int, folder: Path, faults: list[Fault]) -> SoakResult:
    """Return the invariants that the logs of callers and servers show as violated."""
    result = SoakResult(seed)
    runs: dict[str, list[str]] = collections.defaultdict(list)
    for path in folder.glob("server-*.log"):
        for event in read_events(path):
            runs[event["request"]].append(path.stem)
    callers = read_events(folder / "callers.log")
    opened = {event["flow"] for event in callers if event["event"] == "opened"}
    result.requests = len(runs)
    result.doubled = sum(len(servers) > 1 for servers in runs.values())
    result.false_not_run = sum(
        request.partition("-")[0] not in opened for request in runs
    )
    owners = {
        request.partition("-")[0]: servers[-1] for request, servers in runs.items()
    }
    for event in callers:
        if event["event"] == "response":
            if event["answer"] != f"{event['request']} {SERVICE_NAME}":
                result.misdelivered += 1
        elif event["event"] == "reset" and event["was_open"]:
            owner = owners.get(event["flow"])
            if owner is not None and not is_explained_by_fault(
                event["time"], owner, faults
            ):
                result.broken_flows += 1
                result.details.append(f"{event['time']:.3f} {event['flow']} {owner}")
    result.final_share = compute_final_share(callers)
    return result


def is_explained_by_fault(time_s: float, owner: str, faults: list[Fault]) -> bool:
    """Return whether an unplanned fault explains the reset of an established flow."""
    agent = owner.replace("server", "agent")
    for fault in faults:
        if fault.kind == "kill_server" and fault.target == owner:
            # A killed server loses its flows, and each is reset at its next packet.
            if fault.start_s <= time_s:
                return True
            continue
        is_recent = fault.start_s <= time_s <= fault.end_s + FAULT_GRACE_S
        is_involved = fault.target == agent or fault.target.startswith("balancer")
        if is_recent and is_involved and fault.kind not in PLANNED_FAULTS:
            return True
    return False


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
