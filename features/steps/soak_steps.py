import json
import tempfile
from pathlib import Path

from behave import given, then, when

from bramleystair.platform.standins._settings import SERVICE_NAME
from bramleystair.soak import run_seed
from bramleystair.soak._check import MIN_FINAL_SHARE, check_run
from bramleystair.soak._faults import Fault
from bramleystair.soak._memory import MEMORY_LOG

FLOW = "aa" * 12 + ".1"
REQUEST = f"{FLOW}-1"


@when("the soak test runs with seed {seed:d} and the faults {faults} for {seconds:d} s")
def run_soak(context, seed, faults, seconds):
    context.result = run_seed(seed, seconds, faults)


@then("callers made requests and no invariant was violated")
def check_no_violation(context):
    result = context.result
    assert result.requests > 100, result
    assert result.broken_flows == 0, result
    assert result.flows_elsewhere == 0, result
    assert result.misrouted_flows == 0, result
    assert result.doubled == 0, result
    assert result.misdelivered == 0, result
    assert result.false_not_run == 0, result
    assert result.exceeded_memory == 0, result
    assert result.final_share >= MIN_FINAL_SHARE, result


def create_valid_run(context):
    context.servers = {"server-0": [(10.1, "run", REQUEST)], "server-1": []}
    context.callers = [
        {"time": 10.0, "event": "opened", "flow": FLOW, "request": None},
        {
            "time": 10.1,
            "event": "response",
            "flow": FLOW,
            "request": REQUEST,
            "answer": f"{REQUEST} {SERVICE_NAME}",
        },
    ]
    context.faults = []
    context.peak_mb = 299


def add_reset(context, *faults):
    """Add the reset of the open flow, whose packets balancer-1 took."""
    reset = {"time": 12.0, "event": "reset", "flow": FLOW, "was_open": True}
    context.callers.append(reset | {"balancers": ["balancer-1"]})
    context.faults = list(faults)


def add_returned_packets(context, count, *faults):
    """Let another server return packets of the flow, 0.4 s apart."""
    context.servers["server-1"] += [
        (12.0 + 0.4 * number, "returned", f"{FLOW}-2") for number in range(count)
    ]
    context.faults = list(faults)


@given("a run in which {condition}")
def create_run(context, condition):
    create_valid_run(context)
    match condition:
        case "a request ran at two servers":
            context.servers["server-1"].append((10.2, "run", REQUEST))
        case "a caller got the response to another request":
            context.callers[1]["answer"] = f"{FLOW}-2 {SERVICE_NAME}"
        case "a node took more memory than permitted":
            context.peak_mb = 301
        case "a request ran on a flow that never opened":
            del context.callers[0]
        case "requests of a flow ran at two servers":
            context.servers["server-1"].append((10.4, "run", f"{FLOW}-2"))
        case "packets of a flow reached only other servers":
            add_returned_packets(context, 3)
        case "packets of a flow reached others by planned work":
            add_returned_packets(context, 3, Fault("stop_agent", "agent-0", 11, 11.5))
        case "packets of a flow reached others twice":
            add_returned_packets(context, 2)
        case "packets of a flow reached others as copies":
            context.servers["server-1"] += [
                (12.0 + 0.01 * number, "returned", f"{FLOW}-2") for number in range(3)
            ]
        case "packets of a flow reached others and its own":
            add_returned_packets(context, 3)
            context.servers["server-0"].append((12.6, "repeated", f"{FLOW}-2"))
        case "packets of a flow reached others after its agent's kill":
            add_returned_packets(context, 3, Fault("kill_agent", "agent-0", 11, 11.5))
        case "packets of a flow reached others after its server's kill":
            add_returned_packets(context, 3, Fault("kill_server", "server-0", 11, 12))
        case _:
            reason = condition.removeprefix("an open flow was reset ")
            add_reset(context, *build_faults_of_reset(reason))


def build_faults_of_reset(reason):
    """Return the faults before or after the reset of a flow that opened at 10 s."""
    match reason:
        case "without a fault":
            return ()
        case "by a planned restart":
            return (Fault("stop_agent", "agent-0", 11.0, 11.5),)
        case "by restarts in turn":
            return (
                Fault("roll_agents", "", 10.5, 14.0),
                Fault("roll_balancers", "", 10.5, 14.0),
            )
        case "by another writer":
            return (
                Fault("change_entries", "deleted, once, agents [0]", 11.0, 11.1),
                Fault("add_objects", "evacuations/zone-odd null", 11.0, 13.0),
            )
        case "by odd reports":
            return (
                Fault("post_reports", "state 1, once, agents [0]", 11.0, 11.1),
                Fault("odd_reports", "own reports, repeated, agents [0]", 11.0, 13.0),
            )
        case "by lost responses":
            return (
                Fault("lose_responses", "balancer-1", 11.0, 13.0),
                Fault("lose_responses", "agent-0", 11.0, 13.0),
                Fault("lose_kind", "members", 11.0, 13.0),
            )
        case "by another agent's kill":
            return (Fault("kill_agent", "agent-1", 11.0, 11.5),)
        case "by another path's pause":
            return (Fault("pause_balancer", "balancer-0", 11.0, 11.5),)
        case "by a kill long before":
            return (Fault("kill_agent", "agent-0", 4.0, 4.5),)
        case "by an earlier server":
            return (Fault("kill_server", "server-0", 8.0, 9.0),)
        case "after its server was killed":
            return (Fault("kill_server", "server-0", 10.5, 11.0),)
        case "after its agent was killed":
            return (Fault("kill_agent", "agent-0", 11.0, 11.5),)
        case "after a balancer was paused":
            return (Fault("pause_balancer", "balancer-1", 9, 11),)
        case _:
            raise ValueError(f"unknown condition: {reason}")


@when("the run is checked")
def check_logs(context):
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        for server, requests in context.servers.items():
            events = [
                {"time": time_s, "event": event, "request": request}
                for time_s, event, request in requests
            ]
            write_events(folder / f"{server}.log", events)
        write_events(folder / "callers.log", context.callers)
        peak = {"node": "balancer-0", "peak_mb": context.peak_mb, "limit_mb": 300}
        write_events(folder / MEMORY_LOG, [peak])
        context.result = check_run(1, folder, context.faults)


def write_events(path, events):
    lines = [json.dumps(event) + "\n" for event in events]
    path.write_text("".join(lines), encoding="utf-8")


@then("it counts {count:d} of {measure}")
def check_measure(context, count, measure):
    assert getattr(context.result, measure) == count, context.result
    if count:
        assert context.result.is_failed
