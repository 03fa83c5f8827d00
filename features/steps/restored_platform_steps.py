import random

from behave import given, then, when
from features.support.platform import FakePlatform
from operators_steps import KEY as TABLE_KEY
from platform_link_steps import wait_until

from bramleystair.operators._status import Change, watch_changes
from bramleystair.replicas import BalancerReplica, PlatformObjects, ReplicaSettings
from bramleystair.store import PlatformClient
from bramleystair.tables import (
    BalancerAnnouncement,
    Member,
    Protocol,
    Table,
    encode_object,
)

ANNOUNCEMENT = BalancerAnnouncement("n0", "z0", "r", "127.0.0.1", 1, 2, 1, 1 << 16)
ANNOUNCEMENT_KEY = "balancer/n0"
MAX_WATCH_CALLS = 20
WATCH_COUNT = 2
# Places the copy between two writes; shorter than the HTTP call from one to the next.
COPY_MARGIN_S = 5e-4


def build_table(weight):
    rows = (Member("s0", "z0", float(weight), 9, 9),)
    return Table("feed", "10.0.0.1", 80, Protocol.TCP, rows)


def write_weight(context, weight):
    # An operator's command reads the object before it writes it.
    present = context.client.get_object(TABLE_KEY)
    version = present.map(lambda item: item.version).unwrap_or(0)
    body = encode_object(build_table(weight)).decode()
    context.client.put_verified(TABLE_KEY, body, if_match=version).unwrap()


@given('a balancer that holds table "feed" with the weights 1, 2 and 3 in turn')
def create_balancer(context):
    context.platform = FakePlatform()
    context.client = context.platform.create_client()
    context.reader = context.platform.create_client()
    context.replica = BalancerReplica(
        "n1", "z0", "r", 1, (), ReplicaSettings(), random.Random(1)
    )
    for weight in (1, 2, 3):
        context.platform.now += 10.0
        write_weight(context, weight)
        list_objects(context)
        check_weight(context, weight)


@when("the platform returns from a copy with the weight 1")
def restore_first(context):
    context.platform.store.restore(15.0)


@when("the table is written with the weight {weight:d}")
def write_table(context, weight):
    write_weight(context, weight)


@when("a client that has not read the restored platform writes the weight {weight:d}")
def write_without_reading(context, weight):
    context.client = context.platform.create_client()
    body = encode_object(build_table(weight)).decode()
    context.client.put_verified(TABLE_KEY, body, if_match=1).unwrap()


@when("the balancer lists the platform's objects")
def list_objects(context):
    listing = context.reader.list_objects("table/").unwrap()
    objects = tuple(item.to_stored_object() for item in listing.objects)
    context.replica.handle(PlatformObjects(objects), context.platform.now)


@then("the balancer holds the weight {weight:d}")
def check_weight(context, weight):
    (row,) = context.replica.view.tables["feed"].members
    assert row.weight == weight, row


@when('table "{first}" is written and then table "{second}"')
def write_two_tables(context, first, second):
    client = PlatformClient(context.url)
    for name in (first, second):
        client.put_object(f"table/{name}", "{}").unwrap()
        wait_until(context, lambda name=name: f"table/{name}" in context.received)


def restore_during_outage(context, lost_key, write):
    application = context.application
    store = application.store
    application.faults.outage = True
    application.faults.lose_rate = 1.0
    with store._changed:
        lost_s = store._undo_log.find_last_write(lost_key)
    store.restore(store._now() - lost_s + COPY_MARGIN_S)
    assert lost_key not in store._objects
    write(store)
    # The responses to the pending watches are lost, so the node resumes them later.
    wait_until(
        context, lambda: context.metrics.get_count("platform_failed") >= WATCH_COUNT
    )
    application.faults.outage = False
    application.faults.lose_rate = 0.0


@when('the platform has an outage in which table "{name}" replaces table "{lost}"')
def lose_table(context, name, lost):
    restore_during_outage(
        context,
        f"table/{lost}",
        lambda store: store.put_object(f"table/{name}", {"body": "{}"}, None),
    )


@when("the node has announced itself")
def announce(context):
    context.link.renew(ANNOUNCEMENT, 360.0)
    wait_until(context, lambda: is_announced(context))


@when("the platform has an outage in which it loses the announcement")
def lose_announcement(context):
    restore_during_outage(context, ANNOUNCEMENT_KEY, lambda store: None)


def is_announced(context):
    return ANNOUNCEMENT_KEY in context.application.store._objects


@then("the platform holds the announcement again")
def check_announced(context):
    wait_until(context, lambda: is_announced(context))


@when('a client\'s write of "table/a" is delayed, and the platform restored meanwhile')
def delay_write(context):
    platform, client = context.platform, context.client
    platform.now += 10.0
    previous = client.get_object("table/a").unwrap()
    platform.write_concurrently("table/a")
    lost = client.session.call

    def restore_first(method, url, params, json, headers):
        # The client's first attempt is on its way; it reads what became of it.
        client.session.call = lost
        platform.store.restore(5.0)
        platform.write_concurrently("table/a")
        return lost(method, url, params, json, headers)

    client.session.call = restore_first
    client.session.script = ["lost_request"]
    context.result = client.put_verified(
        "table/a", "ours", if_match=1, nonce="own", previous=previous
    )


@when("{seconds:d} s pass at the platform")
def pass_time(context, seconds):
    context.platform.now += seconds


@when("the platform returns from a copy that is {seconds:d} s old")
def restore_copy(context, seconds):
    context.platform.store.restore(seconds)


@when("an operator watches the changes")
def watch(context):
    session = context.platform.create_operator("cy")
    # The platform fails after these calls, which ends a watch that shows nothing.
    session.client.session.script = ["none"] * MAX_WATCH_CALLS + ["lost_request"] * 9
    context.changes = watch_changes(session, "table/", 0.0)
    assert next(context.changes).editor == "ada"


@then('the operator is shown the change by "{name}"')
def check_change(context, name):
    change = next(context.changes)
    assert isinstance(change, Change), change
    assert change.editor == name
