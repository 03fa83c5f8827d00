import random
from collections import Counter

from behave import given, then, when
from steering_samples import ENDPOINT, make_entry, make_segment

from bramleystair.steering import (
    OpenFlow,
    Route,
    RoutingRules,
    SendMessage,
    Target,
)
from bramleystair.steering.balancer import BalancerSteering, BalancerSteeringSettings

ZONE = "zone-0"


def create_balancer(number, members, seed, now):
    steering = BalancerSteering(
        BalancerSteeringSettings(), random.Random(seed), ZONE, f"balancer-{number}"
    )
    route = Route("r", ENDPOINT, (Target("web", 1.0),))
    steering.set_rules(RoutingRules(9, {ENDPOINT: route}))
    steering.set_evacuated_zones(())
    steering.set_members([make_entry(n, ZONE) for n in range(members)], now)
    steering.run_timers(now)
    return steering


def make_flow(number):
    caller = bytes((100, 64)) + number.to_bytes(2, "big")
    return caller + ENDPOINT[:4] + bytes((156, 65)) + ENDPOINT[4:]


def list_messages(actions, kind):
    return [
        (action.address, action.message)
        for action in actions
        if isinstance(action, SendMessage) and isinstance(action.message, kind)
    ]


@given("two balancers of one zone that know {members:d} idle members")
def create_balancers(context, members):
    context.now = 50.0
    context.balancers = [
        create_balancer(n, members, seed=n, now=context.now) for n in range(2)
    ]


@when("both place {count:d} flows")
def place_flows(context, count):
    context.choices = [
        [place_flow(steering, n, context.now) for n in range(count)]
        for steering in context.balancers
    ]


def place_flow(steering, number, now):
    segment = make_segment(make_flow(number), first=True)
    ((address, _),) = list_messages(steering.handle_segment(segment, now), OpenFlow)
    # Neither flow counts as load of the member, as if it was answered and ended.
    steering.members.get(address).flows_since_report = 0
    return address


@then("both have chosen the same member for each flow")
def check_choices(context):
    first, second = context.choices
    assert first == second


@then("each member got between {least:d} and {most:d} flows")
def check_spread(context, least, most):
    counts = Counter(context.choices[0])
    assert len(counts) == 12
    assert least <= min(counts.values()) <= max(counts.values()) <= most, counts
