import re

import attrs
from behave import step, then, when
from steering_samples import get_member, make_entry

from bramleystair.steering import (
    EntryChange,
    EntryChanged,
    EntryCondition,
    EntryWithdrawn,
    Load,
    LoadReport,
    SendMessage,
    Subscribe,
)

REPORT_PERIOD_S = 0.25
OTHER_PORT = 9


def publish_entries(context, entries, number, condition):
    change = EntryChange(get_member(number), condition, 1, 70)
    actions = context.balancer.set_members(entries, context.now, [change])
    context.all_actions += actions


def make_entries(context, without=None):
    return [make_entry(n, f"zone-{n}") for n in range(context.count) if n != without]


@when("the entry of member {number:d} is missing")
def remove_entry(context, number):
    entries = make_entries(context, without=number)
    publish_entries(context, entries, number, EntryCondition.MISSING)


@when("the entry of member {number:d} is found unreadable")
def add_unreadable(context, number):
    entries = make_entries(context)
    publish_entries(context, entries, number, EntryCondition.UNREADABLE)


@when("the entry of member {number:d} names another port")
def change_port(context, number):
    address = get_member(number)[0], OTHER_PORT
    entry = attrs.evolve(make_entry(number, "zone"), address=address)
    entries = [*make_entries(context, without=number), entry]
    publish_entries(context, entries, number, EntryCondition.OTHER_PORT)


@when('the entry of member {number:d} names the zone "{zone}"')
def change_zone(context, number, zone):
    entries = [*make_entries(context, without=number), make_entry(number, zone)]
    publish_entries(context, entries, number, EntryCondition.READABLE)


@when('zone "{zone}" is evacuated')
def evacuate(context, zone):
    context.balancer.set_evacuated_zones({zone})


@when("member {number:d} says that it has withdrawn its entry")
def withdraw(context, number):
    sender = get_member(number)
    actions = context.balancer.handle_message(sender, EntryWithdrawn(), context.now)
    context.all_actions += actions


@step("all members but member {silent:d} report their loads for {seconds:f} s")
def report_loads(context, silent, seconds):
    end_s = context.now + seconds
    while context.now < end_s:
        context.now += REPORT_PERIOD_S
        for member in list(context.balancer.members):
            sender = member.entry.address
            if sender != get_member(silent):
                message = LoadReport(Load())
                context.balancer.handle_message(sender, message, context.now)
        context.all_actions += context.balancer.run_timers(context.now)


@when("all members report their loads for {seconds:f} s")
def report_all_loads(context, seconds):
    report_loads(context, -1, seconds)


@then("the balancer has members {numbers}")
def check_members(context, numbers):
    expected = {get_member(int(n)) for n in re.findall(r"\d+", numbers)}
    assert {m.entry.address for m in context.balancer.members} == expected


@then("the balancer has member {number:d}, and member {moved:d} at the other port")
def check_moved(context, number, moved):
    expected = {get_member(number), (get_member(moved)[0], OTHER_PORT)}
    assert {m.entry.address for m in context.balancer.members} == expected


@then("member {number:d} was told of the change at least {count:d} times, others never")
def check_told(context, number, count):
    told = [
        action.address
        for action in context.all_actions
        if isinstance(action, SendMessage) and isinstance(action.message, EntryChanged)
    ]
    assert set(told) == {get_member(number)}, told
    assert len(told) >= count, told


@then("no new flow is placed on member {number:d}")
def check_not_chosen(context, number):
    candidates = context.balancer.members.list_candidates("web")
    addresses = {member.entry.address for member in candidates}
    assert addresses and get_member(number) not in addresses, addresses


@then("new flows are placed on member {number:d}")
def check_chosen(context, number):
    candidates = context.balancer.members.list_candidates("web")
    addresses = {member.entry.address for member in candidates}
    assert get_member(number) in addresses, addresses


@when("{count:d} unreadable entries of unknown hosts are found")
def add_unknown(context, count):
    members = context.balancer.members
    context.selections, reselect = 0, members.reselect_neighbours

    def count_selection(now):
        context.selections += 1
        reselect(now)

    members.reselect_neighbours = count_selection
    changes = [
        EntryChange(
            (f"10.9.{n // 250}.{n % 250}", 8), EntryCondition.UNREADABLE, 1, 70 + n
        )
        for n in range(count)
    ]
    entries = make_entries(context)
    context.all_actions = context.balancer.set_members(entries, context.now, changes)


@then(
    "the balancer has {count:d} members and has selected its neighbours at most "
    "{most:d} times"
)
def check_selections(context, count, most):
    assert len(context.balancer.members) == count
    assert context.selections <= most, context.selections


@then("each of the {count:d} hosts was sent a subscription and the change")
def check_sent_to_unknown(context, count):
    for kind in (Subscribe, EntryChanged):
        sent = {
            action.address
            for action in context.all_actions
            if isinstance(action, SendMessage) and isinstance(action.message, kind)
        }
        assert len([a for a in sent if a[0].startswith("10.9.")]) == count, len(sent)


@when("all members but the unknown ones report their loads for {seconds:f} s")
def report_known(context, seconds):
    end_s = context.now + seconds
    while context.now < end_s:
        context.now += REPORT_PERIOD_S
        for number in range(context.count):
            sender = get_member(number)
            context.balancer.handle_message(sender, LoadReport(Load()), context.now)
        context.balancer.run_timers(context.now)
