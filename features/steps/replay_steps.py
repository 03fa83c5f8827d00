import contextlib
import tempfile
from pathlib import Path
from unittest import mock

import attrs
from behave import then, when

from bramleystair.flows import Admission
from bramleystair.flows._owner_lookup import OwnerLookup
from bramleystair.replay import Event, Expectation, read_trace, run_trace, write_trace
from bramleystair.replay._nodes import AgentNode
from bramleystair.replay._soak import PAIRS, generate_histories
from bramleystair.replicas import ObjectStore
from bramleystair.requests._admission import Admission as RequestAdmission
from bramleystair.views import View

TRACES = Path("traces")


def load(name):
    return read_trace(TRACES / f"{name}.jsonl").unwrap()


def forget_version(store, key):
    return 0


def admit(admission, member, *values):
    return "" if member is not None else "wrong_service"


def reset_unknown(lookup, flow, pending):
    del lookup._pending[flow]
    lookup._reset_unknown(flow, pending)


def note_drain(node):
    node.is_draining, node.drained_s = True, node.now


PATCHES = {
    "zone marks are ignored": [(View, "is_in_service", lambda view, zone: True)],
    "members are never queried": [(OwnerLookup, "start", reset_unknown)],
    "a drain is not announced": [(AgentNode, "drain", note_drain)],
    "cold agents admit every flow": [(Admission, "check", admit)],
    "agents start every request": [(RequestAdmission, "check", lambda *values: "")],
    "a replica accepts older versions": [(ObjectStore, "get_version", forget_version)],
}
# Doubled messages that arrive late bring older versions.
LATE = Event(0.0, "network", "set", {"doubled": 0.5, "extra_delay_s": 2.0})


@when('the trace "{name}" is replayed')
def replay(context, name):
    context.outcomes = [run_trace(load(name))]


@when('the trace "{name}" is replayed again')
def replay_again(context, name):
    context.outcomes.append(run_trace(load(name)))


@when("{count:d} histories of pairs of faults with seed {seed:d} are replayed")
def replay_histories(context, count, seed):
    histories = list(generate_histories(count, seed))
    context.outcomes = [run_trace(history.trace) for history in histories]


@then("its stated outcomes and all invariants are kept")
@then("their stated outcomes and all invariants are kept")
def check_kept(context):
    failed = [outcome for outcome in context.outcomes if outcome.failures]
    lines = [line for outcome in failed for line in outcome.list_lines()]
    assert not failed, "\n".join(lines)


@then('each file in "traces" has a row in this feature')
def check_rows(context):
    names = {path.stem for path in TRACES.glob("*.jsonl")}
    rows = {
        row["trace"]
        for scenario in context.feature.scenarios
        for examples in getattr(scenario, "examples", ())
        for row in examples.table
        if "trace" in examples.table.headings
    }
    assert names and names <= rows, names - rows


@then("{count:d} histories hold each of the {pairs:d} pairs of faults once")
def check_pairs(context, count, pairs):
    found = {history.faults for history in generate_histories(count, 1)}
    assert len(found) == pairs == len(PAIRS)


@then("both outcomes are equal")
def check_equal(context):
    first, second = context.outcomes
    assert first == second


@when('the trace "{name}" is replayed while {fault}')
def replay_with_fault(context, name, fault):
    trace = load(name)
    if fault == "a replica accepts older versions":
        trace = attrs.evolve(trace, events=(LATE, *trace.events))
    if fault == "a stated outcome cannot be met":
        impossible = Expectation("opened_flows", 10**6, None)
        trace = attrs.evolve(trace, bounds=(*trace.bounds, impossible))
    with contextlib.ExitStack() as stack:
        for patch in PATCHES.get(fault, ()):
            stack.enter_context(mock.patch.object(*patch))
        context.outcomes = [run_trace(trace)]


@then('"{measure}" is reported as not kept')
def check_found(context, measure):
    (outcome,) = context.outcomes
    assert measure in {failure.measure for failure in outcome.failures}, outcome


@when('the trace text "{text}" is read')
def read_text(context, text):
    with tempfile.TemporaryDirectory() as directory:
        path = Path(directory) / "t.jsonl"
        path.write_text(text)
        context.result = read_trace(path)


@then('the error says "{detail}"')
def check_error(context, detail):
    assert detail in str(context.result.unwrap_err()), context.result


@when("a history with an outcome that cannot be met is written and read")
def write_history(context):
    (history,) = generate_histories(1, 3)
    impossible = Expectation("opened_flows", 10**6, None)
    trace = attrs.evolve(history.trace, bounds=(impossible,))
    with tempfile.TemporaryDirectory() as directory:
        path = Path(directory) / f"{trace.name}.jsonl"
        write_trace(path, trace)
        context.traces = [trace, read_trace(path).unwrap()]


@then("its replay has the same measures")
def check_same(context):
    first, second = (run_trace(trace) for trace in context.traces)
    assert first.failures and first == second
