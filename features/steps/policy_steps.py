import json
import tempfile
from pathlib import Path

from behave import then, when

from bramleystair.bench import measure_policy

TRACES = Path("traces")


def measure(trace, count):
    with tempfile.TemporaryDirectory() as directory:
        output = Path(directory) / "policy.json"
        plot = Path(directory) / "policy.png"
        path = TRACES / f"{trace}.jsonl"
        measure_policy(path, seeds=count, output=output, plot=plot)
        assert plot.stat().st_size > 0
        return json.loads(output.read_text())


@when('the trace "{trace}" is measured with {count:d} seed for every policy')
def measure_trace(context, trace, count):
    context.trace = trace
    context.rows = measure(trace, count)


@then('"{ours}" breaks 0 flows and "{other}" breaks some')
def check_broken(context, ours, other):
    broken = {row["policy"]: row["broken_flows"] for row in context.rows}
    assert broken[ours] == [0, 0, 0], broken
    assert broken[other][0] > 0, broken


@then("the data file holds a row for each of {count:d} policies")
def check_rows(context, count):
    assert len({row["policy"] for row in context.rows}) == count


@then("a second run with the same seed gives the same rows")
def check_reproducible(context):
    assert measure(context.trace, 1) == context.rows
