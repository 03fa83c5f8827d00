import contextlib
import io
import json
import re
import tempfile
from pathlib import Path

import hypothesis
from behave import given, then, when
from features.support.platform import FakePlatform
from hypothesis import strategies as st

from bramleystair import operators
from bramleystair.operators import _cli
from bramleystair.tables import (
    BalancerAnnouncement,
    Member,
    Protocol,
    Table,
    decode_object,
    encode_object,
    read_table_csv,
    write_table_csv,
)

KEY = "table/feed"


def build_platform():
    platform = FakePlatform()
    rows = tuple(Member(f"s{n}", f"z{n % 2}", 1.0, 9, 9) for n in range(3))
    table = Table("feed", "10.0.0.1", 80, Protocol.TCP, rows)
    node = BalancerAnnouncement("n0", "z0", "r", "127.0.0.1", 1, 2, 1)
    for key, item in ((KEY, table), ("balancer/n0", node)):
        platform.other_client.put_object(key, encode_object(item).decode()).unwrap()
    return platform


def read_rows(platform):
    body = platform.store._objects[KEY]["body"].encode()
    return decode_object(KEY, body).unwrap().members


def change_weight(file, server, weight):
    rows = read_table_csv(file.read_bytes()).unwrap()
    changed = [
        Member(row.server, row.zone, weight, 9, 9) if row.server == server else row
        for row in rows
    ]
    file.write_bytes(write_table_csv(changed))


class Editors:
    """Operators, each with an exported file and its last report."""

    def __init__(self, platform, names, directory):
        self.platform = platform
        self.sessions = {name: platform.create_operator(name) for name in names}
        self.files = {name: Path(directory) / f"{name}.csv" for name in names}
        self.reports = {}

    def export(self, name):
        report = operators.export_table(self.sessions[name], "feed", self.files[name])
        assert report.exit_code == 0, report

    def apply(self, name, is_merging=False):
        self.reports[name] = operators.apply_table(
            self.sessions[name], self.files[name], is_merging=is_merging
        )
        return self.reports[name]


@given('a platform with the service "feed" of 3 backend servers in 2 zones')
def create_platform(context):
    context.platform = build_platform()
    context.directory = tempfile.TemporaryDirectory()
    context.add_cleanup(context.directory.cleanup)
    context.editors = Editors(context.platform, ("ada", "bo"), context.directory.name)
    context.writes = sum(context.platform.store._versions.values())


@given('"ada" and "bo" have exported the table')
def export_for_both(context):
    context.editors.export("ada")
    context.editors.export("bo")


@when('"{name}" sets the weight of "{server}" to {weight:d} and applies')
def set_and_apply(context, name, server, weight):
    change_weight(context.editors.files[name], server, float(weight))
    context.editors.apply(name)


@when('"{name}" sets the weight of "{server}" to {weight:d} and applies with merge')
def set_and_merge(context, name, server, weight):
    change_weight(context.editors.files[name], server, float(weight))
    context.editors.apply(name, is_merging=True)


@when('"{name}" sets the weight of "{server}" to {weight:d} by edit')
def edit_weight(context, name, server, weight):
    context.editors.reports[name] = operators.edit_table(
        context.editors.sessions[name],
        "feed",
        lambda rows: _cli.edit_rows(rows, [f"{server}:weight={weight}"], []),
    )


@when('"{name}" applies again')
def apply_again(context, name):
    context.editors.apply(name)


@when("the platform's next response is lost")
def lose_response(context):
    context.platform.application.faults.lose_answers = 1


@when("the platform fails after the next 2 reads")
def fail_after_reads(context):
    context.editors.sessions["ada"].client.session.script = 2 * ["none"] + 40 * [
        "lost_request"
    ]


@when("the platform fails now")
def fail_now(context):
    context.platform.application.faults.outage = True


@when("the platform is available again")
def end_outage(context):
    context.editors.sessions["ada"].client.session.script = []


@then('"{first}" got {one} and "{second}" got {two}')
def check_both(context, first, one, second, two):
    found = [context.editors.reports[name].outcome for name in (first, second)]
    assert found == [one, two], found


@then('"{name}" got exit code {code:d}')
def check_code(context, name, code):
    assert context.editors.reports[name].exit_code == code


@then('"{name}" got {outcome} and exit code {code:d}')
def check_outcome_code(context, name, outcome, code):
    report = context.editors.reports[name]
    assert (report.outcome, report.exit_code) == (outcome, code), report


@then('"{name}" got {outcome} in version {version:d}')
def check_version(context, name, outcome, version):
    report = context.editors.reports[name]
    assert (report.outcome, report.version) == (outcome, version), report


@then('"{name}" got refused and nothing was written')
def check_refused(context, name):
    assert context.editors.reports[name].outcome == "refused"
    assert sum(context.platform.store._versions.values()) == context.writes


@then('the refusal names "{name}" and the row "{row}"')
def check_refusal(context, name, row):
    (write,) = context.editors.reports["bo"].writes_since
    assert (write.note.editor, write.note.changed) == (name, (row,))


@then('the conflict on row "{row}" names "{name}"')
def check_conflict(context, row, name):
    (conflict,) = context.editors.reports["bo"].conflicts
    assert conflict.ours.server == row
    assert [write.note.editor for write in conflict.writes] == [name]


@then("the weights on the platform are {weights}")
def check_weights(context, weights):
    found = [f"{row.weight:g}" for row in read_rows(context.platform)]
    assert found == weights.split(", "), found


@then("version {version:d} was pushed to the balancers {times:d} times")
def check_pushed(context, version, times):
    assert context.platform.pushed.count((KEY, version)) == times
    assert context.editors.reports["ada"].pushed_to == ("n0",)


@when('"{name}" marks "{zone}" out')
def mark_out(context, name, zone):
    context.editors.reports[name] = operators.mark_zone(
        context.editors.sessions[name], zone, is_in_service=False
    )


@when('"ada" marks "z0" out while "bo" marks it out and in')
def race_marks(context):
    ada, bo = context.editors.sessions.values()
    context.marks = []

    def mark_as_bo():
        for is_in_service in (False, True):
            report = operators.mark_zone(bo, "z0", is_in_service=is_in_service)
            context.marks.append(report)

    ada.client.session.script = ["none", "concurrent_write"]
    ada.client.session.concurrent_write = mark_as_bo
    context.marks.append(operators.mark_zone(ada, "z0", is_in_service=False))


@then("one mark was refused and names the other writer")
def check_marks(context):
    (refused,) = [mark for mark in context.marks if mark.outcome == "refused"]
    assert {write.note.editor for write in refused.writes_since} == {"bo"}


@then("every accepted mark has its own version")
def check_mark_versions(context):
    versions = [mark.version for mark in context.marks if mark.outcome == "accepted"]
    assert versions == [1, 2], versions


@when(
    "{count:d} generated histories of {editors:d} editors with lost responses are run"
)
def run_histories(context, count, editors):
    names = [f"e{number}" for number in range(editors)]
    step = st.tuples(
        st.sampled_from(names),
        st.sampled_from(["s0", "s1", "s2"]),
        st.integers(2, 9),
        st.booleans(),
        st.booleans(),
        st.booleans(),
    )
    context.histories = []

    @hypothesis.settings(max_examples=count)
    @hypothesis.given(st.lists(step, min_size=1, max_size=8))
    def run(steps):
        platform = build_platform()
        with tempfile.TemporaryDirectory() as directory:
            editor_group = Editors(platform, names, directory)
            for name in names:
                editor_group.export(name)
            accepted = [run_step(editor_group, platform, *values) for values in steps]
        context.histories.append((accepted, read_rows(platform)))

    run()


def run_step(editor_group, platform, name, server, weight, exports, merges, loses):
    """Return the rows that one accepted apply changed, or None."""
    if exports:
        editor_group.export(name)
    change_weight(editor_group.files[name], server, float(weight))
    platform.application.faults.lose_answers = int(loses)
    report = editor_group.apply(name, merges)
    platform.application.faults.lose_answers = 0
    assert report.outcome != "unknown"
    return report.changes if report.outcome == "accepted" else None


@then("every accepted change is on the platform unless a later one replaced it")
def check_histories(context):
    count = 0
    for accepted, rows in context.histories:
        expected = {f"s{n}": 1.0 for n in range(3)}
        for changes in accepted:
            for change in changes or ():
                expected[change.server] = change.after.weight
                count += 1
        found = {row.server: row.weight for row in rows}
        assert found == expected, (accepted, rows)
    assert count > len(context.histories)


@when(
    'the status is read while "n1" is behind, "n2" does not respond and "n3" sends a'
    " malformed response"
)
def read_status(context):
    def fetch(endpoint):
        if endpoint == "n2:1":
            raise ConnectionError
        if endpoint == "n3:1":
            return ["malformed"]
        version = 0 if endpoint == "n1:1" else 1
        return {
            "node": endpoint[:2],
            "kind": "balancer",
            "zone": "z0",
            "versions": {KEY: version},
            "state": "ready",
            "loads": [],
            "counters": {"flow_refused{cap}": 3},
        }

    names = [f"n{number}:1" for number in range(4)]
    session = context.editors.sessions["ada"]
    context.report = operators.read_status(session, names, fetch)


@then('the status names "n1" as behind with its version')
def check_status(context):
    lags = {lag.key: lag for lag in context.report.lags}
    assert lags[KEY].behind == {"n1": 0} and lags[KEY].holders == 1
    assert "flow_refused{cap}: 3" in "\n".join(context.report.format_lines())


@then("the status has {count:d} nodes without status and exit code {code:d}")
def check_unreachable(context, count, code):
    assert len(context.report.unreachable) == count
    assert context.report.exit_code == code


@when("{count:d} changes are watched with a log of {length:d} changes")
def watch_changes(context, count, length):
    platform = FakePlatform(log_length=length)
    session = platform.create_operator("ada")
    context.seen = []
    platform.other_client.put_object("a", "x").unwrap()
    for change in operators.watch_changes(session, "", 0):
        context.seen.append((change.key, change.version))
        if change.key == "last":
            break
        for number in range(count):
            platform.other_client.put_object(f"k{number % 2}", "x").unwrap()
        platform.other_client.put_object("last", "x").unwrap()
        count = 0
    context.last = {(key, n) for key, n in platform.store._versions.items()}


@then("the last version of each object was reported once")
def check_watched(context):
    assert len(context.seen) == len(set(context.seen)), context.seen
    assert {pair for pair in context.last if pair[0] != "last"} <= set(context.seen)


@when('"bramleystair {line}" is run')
def run_line(context, line):
    words = line.replace("{dir}", context.directory.name).split()
    output = io.StringIO()
    create = _cli._create_session
    _cli._create_session = lambda *names: context.editors.sessions["ada"]
    try:
        with contextlib.redirect_stdout(output), contextlib.redirect_stderr(output):
            operators.main(words)
    except SystemExit as exit:
        context.code = exit.code
    finally:
        _cli._create_session = create
    context.output = output.getvalue()


@then("its exit code is {code:d} and its JSON says so")
def check_json(context, code):
    assert context.code == code, (context.code, context.output)
    assert json.loads(context.output)["exit_code"] == code


@then("its exit code is {code:d}")
def check_exit(context, code):
    assert context.code == code and re.search("--fast", context.output)
