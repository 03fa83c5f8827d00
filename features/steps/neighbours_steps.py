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
def create_large_deployment(context, zones, size):
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
    record_actions(context, steering.run_timers(context.now))


def record_actions(context, actions):
    context.sent += actions


def list_receivers(context, kind):
    return {
        action.address
        for action in context.sent
        if isinstance(action, SendMessage) and isinstance(action.message, kind)
    }


def send_reports(context, numbers, load):
    for number in numbers:
        address = get_member(number)
        actions = context.large.handle_message(address, LoadReport(load), context.now)
        record_actions(context, actions)


def pass_time(context, seconds, reporting=()):
    for step in range(round(seconds * 100)):
        context.now += 0.01
        if step % 25 == 0:
            send_reports(context, reporting, IDLE)
        record_actions(context, context.large.run_timers(context.now))


@when("all members of zone 0 report that {state}")
def report_from_zone(context, state):
    send_reports(context, range(context.size), LOADS[state])


@when("for {seconds:d} s all members of zone 0 report that they are idle")
def report_from_zone_for(context, seconds):
    context.sent = []
    pass_time(context, seconds, range(context.size))


@when("all members of zone 0 are silent for {seconds:d} s")
def keep_zone_silent(context, seconds):
    send_reports(context, range(context.size), IDLE)
    pass_time(context, seconds)


@when("{count:d} members of other zones report that they are idle")
def report_from_other_zones(context, count):
    others = context.large.members.list_subscribed()
    numbers = [
        int(member.entry.address[0].rsplit(".", 1)[1])
        for member in others
        if member.entry.zone != "zone-0"
    ]
    send_reports(context, numbers[:count], IDLE)


@when("{seconds:f} s pass at the large balancer")
def let_time_pass(context, seconds):
    pass_time(context, seconds)


@when("zone 0 is evacuated")
def evacuate_zone(context):
    context.large.set_evacuated_zones({"zone-0"})


@when("a caller opens a flow")
def open_flow(context):
    context.sent = []
    segment = make_segment(first=True)
    record_actions(context, context.large.handle_segment(segment, context.now))


@when("{count:d} callers open flows that are accepted")
def open_accepted_flows(context, count):
    context.accepted_counts = Counter()
    for number in range(count):
        context.sent = []
        segment = make_segment(bytes((number,)) + FLOW[1:], first=True)
        record_actions(context, context.large.handle_segment(segment, context.now))
        (action,) = [
            action
            for action in context.sent
            if isinstance(action, SendMessage) and isinstance(action.message, OpenFlow)
        ]
        context.accepted_counts[action.address] += 1
        reply = OpenReply(action.message.token, Refusal.NONE, IDLE)
        record_actions(
            context, context.large.handle_message(action.address, reply, context.now)
        )


@then("no member has accepted more than {count:d} of them")
def check_spread(context, count):
    assert max(context.accepted_counts.values()) <= count, context.accepted_counts


@when("a packet of a flow without a known owner arrives")
def send_unknown_flow_packet(context):
    context.sent = []
    segment = make_segment(ack=77, size=5)
    record_actions(context, context.large.handle_segment(segment, context.now))


def answer_lookup(context, addresses, ownership):
    token = next(
        action.message.token
        for action in context.sent
        if isinstance(action, SendMessage) and isinstance(action.message, LookupRequest)
    )
    context.sent = []
    for address in addresses:
        reply = LookupReply(token, ownership)
        record_actions(
            context, context.large.handle_message(address, reply, context.now)
        )


@when("all queried members deny ownership")
def deny_from_queried(context):
    answer_lookup(context, list_receivers(context, LookupRequest), Ownership.NONE)


@when("the members of other zones except member {number:d} deny ownership")
def deny_from_other_zones(context, number):
    asked = list_receivers(context, LookupRequest) - {get_member(number)}
    answer_lookup(context, asked, Ownership.NONE)


def count_subscriptions(context, number):
    return sum(
        isinstance(action, SendMessage)
        and isinstance(action.message, Subscribe)
        and action.address == get_member(number)
        for action in context.sent
    )


@then("member {number:d} was sent at least {count:d} subscriptions")
def check_subscription_count(context, number, count):
    assert count_subscriptions(context, number) >= count


@when("member {number:d} reports that it is idle")
def report_from_member(context, number):
    send_reports(context, [number], IDLE)


@then("only member {number:d} counts as lost")
def check_only_lost(context, number):
    assert context.large.members.list_lost(context.now) == {get_member(number)}


@then("member {number:d} was sent a subscription in the last second")
def check_recently_subscribed(context, number):
    context.sent = []
    pass_time(context, 1, range(context.size))
    assert count_subscriptions(context, number) >= 1


@when("all queried members answer that they are unsure")
def answer_unsure(context):
    answer_lookup(context, list_receivers(context, LookupRequest), Ownership.UNSURE)


@when("member {number:d} answers that it owns the flow")
def answer_owner(context, number):
    answer_lookup(context, [get_member(number)], Ownership.CERTAIN)


@then("no member was sent a lookup probe")
def check_no_probe(context):
    assert not list_receivers(context, LookupProbe)


@then("the packet is relayed to member {number:d} only")
def check_relayed(context, number):
    assert list_receivers(context, Relay) == {get_member(number)}
    check_no_probe(context)


@when("the owner of a flow is found in zone 3")
def find_owner_in_zone(context):
    send_unknown_flow_packet(context)
    deny_from_queried(context)
    context.owner = get_member(3 * context.size)
    answer_lookup(context, [context.owner], Ownership.CERTAIN)


@given("{balancers:d} balancers that subscribe to {least:d} of {count:d} members each")
def create_subsets(context, balancers, least, count):
    context.members = [Member(make_entry(n, "zone-1"), 0.0) for n in range(count)]
    context.names = [f"balancer-{n}" for n in range(balancers)]
    context.least = least
    context.before = select_subsets(context)


def select_subsets(context):
    return [
        select_neighbours(
            context.members, "zone-0", name, context.least, 32, lambda member: True
        )
        for name in context.names
    ]


@when("one member is removed")
def remove_member(context):
    context.members.pop()


@then("each balancer subscribes to at most one new member")
def check_subset_change(context):
    for before, after in zip(context.before, select_subsets(context), strict=True):
        assert len(after - before) <= 1


@then("each member has at least one subscriber")
def check_coverage(context):
    subscribed = frozenset().union(*select_subsets(context))
    assert subscribed == {member.entry.address for member in context.members}


def list_subscribed_members(context):
    return context.large.members.list_subscribed()


@then("it subscribes to the {count:d} members of zone 0")
def check_own_zone(context, count):
    subscribed = list_subscribed_members(context)
    assert len(subscribed) == count
    assert {member.entry.zone for member in subscribed} == {"zone-0"}
    assert {m.entry.address for m in subscribed} <= list_receivers(context, Subscribe)


@then("it subscribes to the {count:d} members of zone 0 and at least {others:d} others")
def check_other_zones(context, count, others):
    zones = [member.entry.zone for member in list_subscribed_members(context)]
    assert zones.count("zone-0") == count
    assert len(zones) - count >= others


@then("a member of another zone is sent the open request")
def check_open_in_other_zone(context):
    (asked,) = list_receivers(context, OpenFlow)
    assert context.large.members.get(asked).entry.zone != "zone-0"


@then("no member counts as lost")
def check_none_lost(context):
    assert not context.large.members.list_lost(context.now)


@then("that member is sent a subscription")
def check_subscribed(context):
    assert context.owner in list_receivers(context, Subscribe)


@then("the caller of that flow is reset")
def check_caller_reset(context):
    assert [a.flow for a in context.sent if isinstance(a, ResetCaller)] == [FLOW]


@then("the {count:d} members of {where} are queried for its owner")
def check_queried(context, count, where):
    asked = list_receivers(context, LookupRequest)
    zones = {context.large.members.get(address).entry.zone for address in asked}
    assert len(asked) == count, len(asked)
    assert ("zone-0" in zones) is (where == "zone 0")


@then("all {count:d} members were queried for its owner")
def check_all_queried(context, count):
    assert len(list_receivers(context, LookupRequest)) == count
