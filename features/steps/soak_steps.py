import json
import tempfile
from pathlib import Path

from behave import given, then, when

from bramleystair.platform.standins._settings import SERVICE_NAME
from bramleystair.soak import run_seed
from bramleystair.soak._faults import Fault
from bramleystair.soak._run import check_run

FLOW = "aa" * 12
REQUEST = f"{FLOW}-1"


@when("the soak test runs with seed {seed:d} for {seconds:d} s")
def run_soak(context, seed, seconds):
    context.result = run_seed(seed, seconds)


@then("callers made requests and no invariant was violated")
def check_no_violation(context):
    result = context.result
    assert result.requests > 100, result
    assert result.broken_flows == 0, result
    assert result.doubled == 0, result
    assert result.misdelivered == 0, result
    assert result.false_not_run == 0, result


def create_valid_run(context):
    context.servers = {"server-0": [REQUEST], "server-1": []}
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


def add_reset(context):
    reset = {"time": 12.0, "event": "reset", "flow": FLOW, "was_open": True}
    context.callers.append(reset)


@given("a run in which {what}")
def create_run_with_violation(context, what):
    create_valid_run(context)
    if what == "a request ran at two servers":
        context.servers["server-1"].append(REQUEST)
    elif what == "a caller got the response to another request":
        context.callers[1]["answer"] = f"{FLOW}-2 {SERVICE_NAME}"
    elif what == "an open flow was reset without a fault":
        add_reset(context)
    elif what == "an open flow was reset by a planned restart":
        add_reset(context)
        context.faults = [Fault("stop_agent", "agent-0", 11.0, 11.5)]
    elif what == "a request ran on a flow that never opened":
        del context.callers[0]
    elif what.startswith("an open flow was reset after "):
        add_reset(context)
        context.faults = {
            "its server was killed": [Fault("kill_server", "server-0", 10.5, 11.0)],
            "its agent was killed": [Fault("kill_agent", "agent-0", 11.0, 11.5)],
            "a balancer was paused": [Fault("pause_balancer", "balancer-1", 9, 11)],
        }[what.removeprefix("an open flow was reset after ")]
    else:
        raise NotImplementedError(what)


@when("the run is checked")
def check_logs(context):
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        for server, requests in context.servers.items():
            events = [{"time": 1.0, "event": "run", "request": r} for r in requests]
            write_events(folder / f"{server}.log", events)
        write_events(folder / "callers.log", context.callers)
        context.result = check_run(1, folder, context.faults)


def write_events(path, events):
    lines = [json.dumps(event) + "\n" for event in events]
    path.write_text("".join(lines), encoding="utf-8")


@then("it counts {count:d} of {measure}")
def check_measure(context, count, measure):
    assert getattr(context.result, measure) == count, context.result
    if count:
        assert context.result.is_failed
