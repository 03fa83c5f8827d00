import concurrent.futures
import json
import random
import threading
import time

from behave import given, then, when

from bramleystair.daemons import PlatformLink
from bramleystair.metrics import Metrics
from bramleystair.replicas import PlatformObjects
from bramleystair.standins._platform import (
    PlatformApplication,
    create_platform_server,
)
from bramleystair.store import PlatformClient

WAIT_S = 45.0


@given("a platform with a connected node")
def connect(context):
    context.application = PlatformApplication()
    server = create_platform_server(context.application, host="127.0.0.1", port=0)
    server.prepare()
    pool = concurrent.futures.ThreadPoolExecutor(1)
    pool.submit(server.serve)
    context.add_cleanup(pool.shutdown)
    context.add_cleanup(server.stop)
    context.add_cleanup(context.application.close)
    context.url = "http://{}:{}".format(*server.bind_addr)
    context.received = set()
    context.changed = threading.Condition()
    context.metrics = Metrics({})
    link = PlatformLink(context.url, context.metrics, record_changes(context), random)
    link.start()
    link.set_watch(True)
    context.add_cleanup(link.close)
    context.link = link
    # Wait until both watch calls are pending, so that the writes below can end them.
    wait_until(context, lambda: context.application.calls["watch"] == 2)


def record_changes(context):
    def record(event):
        with context.changed:
            if isinstance(event, PlatformObjects):
                context.received.update(item.key for item in event.objects)
            context.changed.notify_all()

    return record


def wait_until(context, is_met):
    with context.changed:
        for _ in range(int(WAIT_S / 0.01)):
            if is_met():
                return
            context.changed.wait(0.01)
    raise AssertionError(f"condition not met within {WAIT_S} s")


@when('{count:d} leases are renewed and then table "{name}" is written')
def write_objects(context, count, name):
    client = PlatformClient(context.url)
    for _ in range(count):
        client.put_object("agent/a", "{}", lease_s=360.0).unwrap()
    client.put_object(f"table/{name}", "{}").unwrap()


@then('the node receives table "{name}"')
def check_received(context, name):
    wait_until(context, lambda: f"table/{name}" in context.received)


@when('another writer leaves table "{name}" with {field} set to {value}')
def leave_odd_object(context, name, field, value):
    store = context.application.store
    store.put_object(f"table/{name}", {"body": "{}"}, None)
    # The object and its entry in the log of changes.
    store._objects[f"table/{name}"][field] = json.loads(value)


@when('table "{name}" is written')
def write_table(context, name):
    PlatformClient(context.url).put_object(f"table/{name}", "{}").unwrap()


@then('a node that connects now receives table "{name}"')
def connect_later(context, name):
    context.received.clear()
    link = PlatformLink(context.url, context.metrics, record_changes(context), random)
    link.start()
    link.set_watch(True)
    context.add_cleanup(link.close)
    check_received(context, name)


@then("no response ended with an error")
def check_errors(context):
    text = context.metrics.render()[0].decode()
    assert "platform_failed" not in text, text


@when('table "{name}" is written and the response to its watch is lost')
def lose_watch_response(context, name):
    context.application.faults.withhold_watches = 1
    PlatformClient(context.url).put_object(f"table/{name}", "{}").unwrap()
    context.written_s = time.monotonic()


@then('the node receives table "{name}" within {limit:d} s')
def check_received_in_time(context, name, limit):
    check_received(context, name)
    elapsed_s = time.monotonic() - context.written_s
    assert elapsed_s <= limit, elapsed_s


@then("the platform counted at most {count:d} calls of the node")
def check_calls(context, count):
    calls = context.application.calls
    assert 3 <= calls["watch"] + calls["get"] <= count, calls
