import contextlib
import tempfile
from pathlib import Path
from unittest import mock

import attrs
from behave import then, when

from bramleystair.flows import Admission
from bramleystair.flows._owner_lookup import OwnerLookup
from bramleystair.replay import (
    Event,
    Expectation,
    _platform_model,
    read_trace,
    run_trace,
    write_trace,
)
from bramleystair.replay._histories import PAIRS, generate_histories
from bramleystair.replay._nodes import AgentNode
from bramleystair.replicas import ObjectStore
from bramleystair.requests._admission import Admission as RequestAdmission
from bramleystair.views import View

TRACES = Path("traces")


def load_trace(name):
    return read_trace(TRACES / f"{name}.jsonl").unwrap()


def return_no_version(store, key):
    return 0


def admit_every_flow(admission, member, *values):
    return "" if member is not None else "wrong_service"


def reset_without_query(lookup, flow, pending):
    del lookup._pending[flow]
    lookup._reset_unknown(flow, pending)


def drain_silently(node):
    node.is_draining, node.drained_s = True, node.now


PATCHES = {
    "zone marks are ignored": [(View, "is_in_service", lambda view, zone: True)],
    "members are never queried": [(OwnerLookup, "start", reset_without_query)],
    "a drain is not announced": [(AgentNode, "drain", drain_silently)],
    "cold agents admit every flow": [(Admission, "check", admit_every_flow)],
    "agents start every request": [(RequestAdmission, "check", lambda *values: "")],
    "a replica accepts older versions": [
        (ObjectStore, "get_version", return_no_version)
    ],
    "versions of two epochs are compared": [
        (_platform_model, "combine_version", lambda epoch, version: version)
    ],
}
# Delayed duplicates of messages carry older versions.
DELAYED_DUPLICATES = Event(
    0.0, "network", "set", {"doubled": 0.5, "extra_delay_s": 2.0}
)


@when('the trace "{name}" is replayed')
def replay(context, name):
    context.results = [run_trace(load_trace(name))]


@when('the trace "{name}" is replayed again')
def replay_again(context, name):
    context.results.append(run_trace(load_trace(name)))


@when("{count:d} histories of pairs of faults with seed {seed:d} are replayed")
def replay_histories(context, count, seed):
    histories = list(generate_histories(count, seed))
    context.results = [run_trace(history.trace) for history in histories]


@then("all expectations and invariants are met")
def check_met(context):
    failed = [result for result in context.results if result.failures]
    lines = [line for result in failed for line in result.list_lines()]
    assert not failed, "\n".join(lines)


@then('each file in "traces" has a row in this feature')
def check_trace_listed(context):
    names = {path.stem for path in TRACES.glob("*.jsonl")}
    rows = {
        row["trace"]
        for scenario in context.feature.scenarios
        for examples in getattr(scenario, "examples", ())
        for row in examples.table
        if "trace" in examples.table.headings
    }
    assert names and names <= rows, names - rows


@then("{count:d} histories contain each of the {pairs:d} pairs of faults once")
def check_pairs(context, count, pairs):
    found = {history.faults for history in generate_histories(count, 1)}
    assert len(found) == pairs == len(PAIRS)


@then("both results are equal")
def check_equal(context):
    first, second = context.results
    assert first == second


@when('the trace "{name}" is replayed while {fault}')
def replay_with_fault(context, name, fault):
    trace = load_trace(name)
    if fault == "a replica accepts older versions":
        trace = attrs.evolve(trace, events=(DELAYED_DUPLICATES, *trace.events))
    if fault == "an expectation cannot be met":
        impossible = Expectation("opened_flows", 10**6, None)
        trace = attrs.evolve(trace, expectations=(*trace.expectations, impossible))
    with contextlib.ExitStack() as stack:
        for patch in PATCHES.get(fault, ()):
            stack.enter_context(mock.patch.object(*patch))
        context.results = [run_trace(trace)]


@then('"{measure}" is reported as not met')
def check_unmet(context, measure):
    (result,) = context.results
    assert measure in {failure.measure for failure in result.failures}, result


@when('the trace text "{text}" is read')
def read_text(context, text):
    with tempfile.TemporaryDirectory() as directory:
        path = Path(directory) / "t.jsonl"
        path.write_text(text)
        context.trace = read_trace(path)


@then('the error contains "{detail}"')
def check_error(context, detail):
    assert detail in str(context.trace.unwrap_err()), context.result


@when("a history with an expectation that cannot be met is written and read")
def write_history(context):
    (history,) = generate_histories(1, 3)
    impossible = Expectation("opened_flows", 10**6, None)
    trace = attrs.evolve(history.trace, expectations=(impossible,))
    with tempfile.TemporaryDirectory() as directory:
        path = Path(directory) / f"{trace.name}.jsonl"
        write_trace(path, trace)
        context.traces = [trace, read_trace(path).unwrap()]


@then("both replays fail with the same measures")
def check_same_failure(context):
    first, second = (run_trace(trace) for trace in context.traces)
    assert first.failures and first == second
