import json
import threading

import hypothesis
import requests
from behave import given, then, when
from features.support.platform import FakePlatform
from hypothesis import strategies as st

from bramleystair.standins._platform import (
    PlatformApplication,
    create_platform_server,
)
from bramleystair.store import PlatformClient

FAULTS = st.lists(
    st.sampled_from(
        [
            "none",
            "lost_request",
            "lost_response",
            "malformed_response",
            "concurrent_write",
        ]
    ),
    max_size=9,
)


def write(platform, client, script, nonce="own"):
    present = client.get_object("table/a").unwrap()
    client.session.count = 0
    client.session.script = list(script)
    return client.put_verified(
        "table/a", "ours", if_match=present.version, nonce=nonce, previous=present
    )


@given('the platform with object "{key}" in version 1')
def create_platform(context, key):
    context.platform = FakePlatform()
    context.client = context.platform.create_client()
    context.client.put_object(key, "first", if_match=0, nonce="first").unwrap()


@given("the platform that keeps {count:d} changes")
def create_platform_with_short_log(context, count):
    context.platform = FakePlatform(log_length=count)
    context.client = context.platform.create_client()


@when('a client writes "table/a" on version 1 with the faults "{faults}"')
def write_with_faults(context, faults):
    client = context.client
    client.session.count = 0
    client.session.script = faults.split(",")
    present = context.platform.store._objects["table/a"]
    assert present["version"] == 1
    previous = context.platform.other_client.get_object("table/a").ok()
    context.result = client.put_verified(
        "table/a", "ours", if_match=1, nonce="own", previous=previous
    )


@when('another writer replaces "table/a" unconditionally after a lost request')
def replace_unconditionally(context):
    client = context.client
    client.session.concurrent_write = lambda: context.platform.write_concurrently(
        "table/a", False
    )
    context.result = write(
        context.platform, client, ["lost_request", "concurrent_write"]
    )


@when("the platform has an outage")
def stop_platform(context):
    context.platform.application.faults.outage = True


@then("the write is reported as accepted")
def check_accepted(context):
    assert context.result.is_ok(), context.result


@then("the write is reported as refused as conflict")
def check_conflict(context):
    assert context.result.unwrap_err().kind == "conflict", context.result


@then("the write is reported as unknown_outcome")
def check_unknown(context):
    assert context.result.unwrap_err().kind == "unknown_outcome", context.result


@then("the write took effect {times:d} times")
def check_times(context, times):
    written = context.platform.list_written("own")
    assert len(written) == times, written
    if times:
        assert context.result.unwrap().version == written[0]


@then("at most {count:d} calls were made")
def check_calls(context, count):
    assert 0 < context.client.session.count <= count


@then("{reads:d} further reads make at most {count:d} calls")
def check_budget(context, reads, count):
    context.client.session.count = 0
    for _ in range(reads):
        assert context.client.get_object("table/a").is_err()
    assert reads <= context.client.session.count <= count


@when("the platform allows {rate:d} call per second")
def set_rate_limit(context, rate):
    context.platform.application.faults.rate_limit_per_s = rate


@when('a client reads "table/a" {times:d} times')
def read_repeatedly(context, times):
    context.platform.waits.clear()
    context.results = [context.client.get_object("table/a") for _ in range(times)]


@then("every read succeeds")
def check_reads(context):
    assert all(result.is_ok() for result in context.results), context.results


@then("each wait was at least {seconds:d} s")
def check_waits(context, seconds):
    assert context.platform.waits
    assert min(context.platform.waits) >= seconds


@when("{count:d} generated fault sequences are run")
def run_fault_sequences(context, count):
    context.outcomes = []

    @hypothesis.settings(max_examples=count)
    @hypothesis.given(FAULTS, FAULTS, st.booleans())
    def run(first, second, is_conditional):
        platform = FakePlatform()
        client = platform.create_client()
        client.put_object("table/a", "first", nonce="first").unwrap()
        client.session.concurrent_write = lambda: platform.write_concurrently(
            "table/a", is_conditional
        )
        for number, script in enumerate((first, second)):
            result = write(platform, client, script, f"own{number}")
            client.session.script = []
            written = platform.list_written(f"own{number}")
            context.outcomes.append((result, written))

    run()


@then("each accepted write took effect once")
def check_accepted_writes(context):
    for result, written in context.outcomes:
        if result.is_ok():
            assert written == [result.unwrap().version], (result, written)


@then("no refused write took effect")
def check_refused_writes(context):
    for result, written in context.outcomes:
        if result.is_err() and result.unwrap_err().is_refusal:
            assert written == [], (result, written)


@then("every kind of outcome occurred")
def check_outcome_kinds(context):
    kinds = {result.err().kind for result, _ in context.outcomes if result.is_err()}
    assert {"conflict", "unknown_outcome"} <= kinds, kinds
    assert any(result.is_ok() for result, _ in context.outcomes)


@when('"table/a" is deleted and written again')
def delete_and_write(context):
    context.client.delete_object("table/a", if_match=1).unwrap()
    context.result = context.client.put_object("table/a", "again", if_match=0)


@then("its version is {version:d}")
def check_version(context, version):
    assert context.result.unwrap().version == version
    assert context.client.get_object("table/a").unwrap().version == version


@then("the watch from the start reports versions {versions}")
def check_watch(context, versions):
    changes = context.client.watch("table/", 0, 0).unwrap()
    found = [str(item.version) for item in changes.objects]
    assert found == versions.split(", "), found


@when("{count:d} objects are written")
def write_many(context, count):
    for number in range(count):
        context.client.put_object(f"table/{number}", "x").unwrap()


@then("a watch from cursor {cursor:d} fails as cursor_expired")
def check_expired(context, cursor):
    assert context.client.watch("", cursor, 0).unwrap_err().kind == "cursor_expired"
    listing = context.client.list_objects().unwrap()
    assert context.client.watch("", listing.cursor, 0).unwrap().objects == ()


@when('"{key}" is written with a lease of {lease:d} s and {seconds:d} s pass')
def write_lease(context, key, lease, seconds):
    context.client.put_object(key, "x", lease_s=lease).unwrap()
    assert context.client.get_object(key).is_ok()
    context.platform.now += seconds


@then('"{key}" is gone and the watch reports its tombstone in version {version:d}')
def check_lease(context, key, version):
    assert context.client.get_object(key).unwrap_err().kind == "not_found"
    last = context.client.watch(key, 0, 0).unwrap().objects[-1]
    assert (last.is_deleted, last.version) == (True, version)


@when("generated responses replace the platform's")
def replace_responses(context):
    context.results = []
    values = st.recursive(
        st.none() | st.booleans() | st.integers() | st.text(max_size=5),
        lambda inner: (
            st.lists(inner, max_size=3)
            | st.dictionaries(
                st.sampled_from(["key", "version", "body", "note", "history"]), inner
            )
        ),
        max_leaves=8,
    )
    responses = values.map(lambda value: json.dumps(value).encode()) | st.binary()

    @hypothesis.settings(max_examples=300)
    @hypothesis.given(responses)
    def run(data):
        response = requests.Response()
        response.status_code, response._content = 200, data
        client = context.platform.create_client()
        client._session.request = lambda *args, **options: response
        context.results.append((data, client.get_object("table/a")))

    run()


@then("each read returns an object or a malformed error")
def check_generated_responses(context):
    for data, result in context.results:
        if result.is_ok():
            assert isinstance(json.loads(data)["version"], int), data
        else:
            assert result.unwrap_err().kind == "malformed"


@given("the stand-in on a loopback port")
def start_standin(context):
    context.application = PlatformApplication()
    server = create_platform_server(context.application, host="127.0.0.1", port=0)
    server.prepare()
    thread = threading.Thread(target=server.serve, daemon=True)
    thread.start()

    def stop():
        server.stop()
        thread.join()

    context.add_cleanup(stop)
    context.url = f"http://127.0.0.1:{server.bind_addr[1]}"
    context.client = PlatformClient(context.url)


@when('"/control" makes it lose one response')
def lose_response(context):
    response = requests.post(context.url + "/control", json={"lose_answers": 1})
    assert response.json()["faults"]["lose_answers"] == 1


@when("an object is written over HTTP")
def write_http(context):
    context.result = context.client.put_verified("table/a", "x", if_match=0)
    assert context.client.calls["put", "unreachable"] == 1


@then("a pending watch returns after a write and is counted as one call")
def check_pending_watch(context):
    cursor = context.client.list_objects().unwrap().cursor
    results = []
    watcher = threading.Thread(
        target=lambda: results.append(context.client.watch("", cursor, 30.0))
    )
    watcher.start()
    while not context.application.calls["watch"]:
        threading.Event().wait(0.01)
    PlatformClient(context.url).put_object("zone/z", "x").unwrap()
    watcher.join()
    assert [item.key for item in results[0].unwrap().objects] == ["zone/z"]
    assert context.application.calls["watch"] == 1


@then('"/control" refuses an unknown fault')
def check_control(context):
    response = requests.post(context.url + "/control", json={"outrage": True})
    assert response.status_code == 400
