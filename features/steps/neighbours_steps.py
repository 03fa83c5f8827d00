import random
from collections import Counter

from behave import given, then, when
from steering_samples import ENDPOINT, FLOW, get_member, make_entry, make_segment

from bramleystair.steering import (
    Load,
    LoadReport,
    LookupProbe,
    LookupReply,
    LookupRequest,
    OpenFlow,
    OpenReply,
    Ownership,
    Refusal,
    Relay,
    ResetCaller,
    Route,
    RoutingRules,
    SendMessage,
    Subscribe,
    Target,
)
from bramleystair.steering._member import Member
from bramleystair.steering._neighbours import select_neighbours
from bramleystair.steering.balancer import BalancerSteering, BalancerSteeringSettings

LOADS = {
    "they are idle": Load(slots=1),
    "they are busy": Load(slots=1, running=1, mean_running=1.0, is_accepting=False),
    "their servers are down": Load(slots=1, is_accepting=False),
}
IDLE = LOADS["they are idle"]


@given("a balancer in zone 0 that knows {zones:d} zones with {size:d} members each")
def create_large(context, zones, size):
    context.now = 50.0
    context.size = size
    steering = BalancerSteering(
        BalancerSteeringSettings(), random.Random(4), "zone-0", "balancer-0"
    )
    route = Route("r", ENDPOINT, (Target("web", 1.0),))
    steering.set_rules(RoutingRules(9, {ENDPOINT: route}))
    steering.set_evacuated_zones(())
    entries = [make_entry(n, f"zone-{n // size}") for n in range(zones * size)]
    steering.set_members(entries, context.now)
    context.large = steering
    context.sent = []
    keep(context, steering.run_timers(context.now))


def keep(context, actions):
    context.sent += actions


def list_receivers(context, kind):
    return {
        action.address
        for action in context.sent
        if isinstance(action, SendMessage) and isinstance(action.message, kind)
    }


def report(context, numbers, load):
    for number in numbers:
        address = get_member(number)
        actions = context.large.handle_message(address, LoadReport(load), context.now)
        keep(context, actions)


def pass_time(context, seconds, reporting=()):
    for step in range(round(seconds * 100)):
        context.now += 0.01
        if step % 25 == 0:
            report(context, reporting, IDLE)
        keep(context, context.large.run_timers(context.now))


@when("all members of zone 0 report that {state}")
def report_zone(context, state):
    report(context, range(context.size), LOADS[state])


@when("for {seconds:d} s all members of zone 0 report that they are idle")
def report_zone_for(context, seconds):
    context.sent = []
    pass_time(context, seconds, range(context.size))


@when("all members of zone 0 are silent for {seconds:d} s")
def stay_silent(context, seconds):
    report(context, range(context.size), IDLE)
    pass_time(context, seconds)


@when("{count:d} members of other zones report that they are idle")
def report_others(context, count):
    others = context.large.members.list_subscribed()
    numbers = [
        int(member.entry.address[0].rsplit(".", 1)[1])
        for member in others
        if member.entry.zone != "zone-0"
    ]
    report(context, numbers[:count], IDLE)


@when("{seconds:f} s go by at the large balancer")
def let_time_pass(context, seconds):
    pass_time(context, seconds)


@when("zone 0 is evacuated")
def evacuate_zone(context):
    context.large.set_evacuated_zones({"zone-0"})


@when("a caller opens a flow")
def open_one(context):
    context.sent = []
    segment = make_segment(first=True)
    keep(context, context.large.handle_segment(segment, context.now))


@when("{count:d} callers open flows that are taken")
def open_many(context, count):
    context.taken = Counter()
    for number in range(count):
        context.sent = []
        segment = make_segment(bytes((number,)) + FLOW[1:], first=True)
        keep(context, context.large.handle_segment(segment, context.now))
        (action,) = [
            action
            for action in context.sent
            if isinstance(action, SendMessage) and isinstance(action.message, OpenFlow)
        ]
        context.taken[action.address] += 1
        reply = OpenReply(action.message.token, Refusal.NONE, IDLE)
        keep(context, context.large.handle_message(action.address, reply, context.now))


@then("no member has taken more than {count:d} of them")
def check_spread_far(context, count):
    assert max(context.taken.values()) <= count, context.taken


@when("a packet of a flow without a known owner arrives")
def find_one(context):
    context.sent = []
    segment = make_segment(ack=77, size=5)
    keep(context, context.large.handle_segment(segment, context.now))


def answer(context, addresses, ownership):
    token = next(
        action.message.token
        for action in context.sent
        if isinstance(action, SendMessage) and isinstance(action.message, LookupRequest)
    )
    context.sent = []
    for address in addresses:
        reply = LookupReply(token, ownership)
        keep(context, context.large.handle_message(address, reply, context.now))


@when("they all answer no")
def deny_near(context):
    answer(context, list_receivers(context, LookupRequest), Ownership.NONE)


@when("the members of other zones but member {number:d} answer no")
def deny_far(context, number):
    asked = list_receivers(context, LookupRequest) - {get_member(number)}
    answer(context, asked, Ownership.NONE)


def count_subscriptions(context, number):
    return sum(
        isinstance(action, SendMessage)
        and isinstance(action.message, Subscribe)
        and action.address == get_member(number)
        for action in context.sent
    )


@then("member {number:d} was asked for reports at least {count:d} times")
def check_asked_again(context, number, count):
    assert count_subscriptions(context, number) >= count


@when("member {number:d} reports that it is idle")
def report_single(context, number):
    report(context, [number], IDLE)


@then("only member {number:d} counts as lost")
def check_lost(context, number):
    assert context.large.members.list_lost(context.now) == {get_member(number)}


@then("member {number:d} was asked for reports in the last second")
def check_still_asked(context, number):
    context.sent = []
    pass_time(context, 1, range(context.size))
    assert count_subscriptions(context, number) >= 1


@when("they all answer that they are unsure")
def doubt_near(context):
    answer(context, list_receivers(context, LookupRequest), Ownership.UNSURE)


@when("member {number:d} answers that it owns the flow")
def own_far(context, number):
    answer(context, [get_member(number)], Ownership.CERTAIN)


@then("the packet was tried nowhere")
def check_untried(context):
    assert not list_receivers(context, LookupProbe)


@then("the packet goes to member {number:d} only")
def check_relayed_far(context, number):
    assert list_receivers(context, Relay) == {get_member(number)}
    check_untried(context)


@when("a flow is found at a member of zone 3")
def find_far(context):
    find_one(context)
    deny_near(context)
    context.owner = get_member(3 * context.size)
    answer(context, [context.owner], Ownership.CERTAIN)


@given("{balancers:d} balancers that watch {least:d} of {count:d} members each")
def create_selection(context, balancers, least, count):
    context.members = [Member(make_entry(n, "zone-1"), 0.0) for n in range(count)]
    context.names = [f"balancer-{n}" for n in range(balancers)]
    context.least = least
    context.before = select_all(context)


def select_all(context):
    return [
        select_neighbours(
            context.members, "zone-0", name, context.least, 32, lambda member: True
        )
        for name in context.names
    ]


@when("one member leaves")
def remove_one(context):
    context.members.pop()


@then("each balancer watches at most one other member than before")
def check_movement(context):
    for before, after in zip(context.before, select_all(context), strict=True):
        assert len(after - before) <= 1


@then("each member is watched by at least one balancer")
def check_all_watched(context):
    watched = frozenset().union(*select_all(context))
    assert watched == {member.entry.address for member in context.members}


def list_watched(context):
    return context.large.members.list_subscribed()


@then("it watches the {count:d} members of zone 0")
def check_own_zone(context, count):
    watched = list_watched(context)
    assert len(watched) == count
    assert {member.entry.zone for member in watched} == {"zone-0"}
    assert {m.entry.address for m in watched} <= list_receivers(context, Subscribe)


@then("it watches the {count:d} members of zone 0 and at least {others:d} others")
def check_wider(context, count, others):
    zones = [member.entry.zone for member in list_watched(context)]
    assert zones.count("zone-0") == count
    assert len(zones) - count >= others


@then("a member of another zone is asked")
def check_far_open(context):
    (asked,) = list_receivers(context, OpenFlow)
    assert context.large.members.get(asked).entry.zone != "zone-0"


@then("no member counts as lost")
def check_none_lost(context):
    assert not context.large.members.list_lost(context.now)


@then("that member is asked for reports")
def check_subscribed(context):
    assert context.owner in list_receivers(context, Subscribe)


@then("the caller of that flow is reset")
def check_released(context):
    assert [a.flow for a in context.sent if isinstance(a, ResetCaller)] == [FLOW]


@then("the {count:d} members of {where} are asked for its owner")
def check_stage(context, count, where):
    asked = list_receivers(context, LookupRequest)
    zones = {context.large.members.get(address).entry.zone for address in asked}
    assert len(asked) == count, len(asked)
    assert ("zone-0" in zones) is (where == "zone 0")


@then("all {count:d} members were asked for its owner")
def check_all_stages(context, count):
    assert len(list_receivers(context, LookupRequest)) == count
