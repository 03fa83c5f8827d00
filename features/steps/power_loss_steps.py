import random

from behave import given, then, when
from steering_samples import ENDPOINT, make_entry, make_segment

from bramleystair.steering import (
    Decision,
    Load,
    LookupRequest,
    OpenFlow,
    OpenReply,
    Refusal,
    ResetCaller,
    Route,
    RoutingRules,
    SendMessage,
    Target,
)
from bramleystair.steering.balancer import BalancerSteering, BalancerSteeringSettings

MEMBERS = 4


def provide(context, part):
    balancer = context.starting
    if part == "the configuration":
        route = Route("r", ENDPOINT, (Target("web", 1.0),))
        balancer.set_rules(RoutingRules(9, {ENDPOINT: route}))
    elif part == "the members":
        entries = [make_entry(n, "zone-a") for n in range(MEMBERS)]
        balancer.set_members(entries, context.now)
    else:
        balancer.set_evacuated_zones(())


@given("a balancer that starts and does not know {part}")
def create_starting_balancer(context, part):
    context.now = 50.0
    context.starting = BalancerSteering(BalancerSteeringSettings(), random.Random(4))
    for other in ("the configuration", "the members", "the zones"):
        if other != part:
            provide(context, other)
    context.actions = context.starting.run_timers(context.now)


def handle_packet(context, segment):
    context.actions = context.starting.handle_segment(segment, context.now)


@when("a first packet reaches it")
def send_first_packet(context):
    handle_packet(context, make_segment(first=True))


@when("a third copy of a first packet reaches it")
def send_third_copy(context):
    segment = make_segment(first=True)
    segment.age_s = 0.6
    handle_packet(context, segment)


def refuse_flow(context):
    """Refuse the flow at the member asked last; return whether there was one."""
    asked = [
        (action.address, action.message)
        for action in context.actions
        if isinstance(action, SendMessage) and isinstance(action.message, OpenFlow)
    ]
    for address, message in asked:
        reply = OpenReply(message.token, Refusal.UNKNOWN_SERVER, Load(slots=0))
        context.actions = context.starting.handle_message(address, reply, context.now)
    return bool(asked)


@when("the member refuses it because it does not know its server")
def refuse_at_first_member(context):
    assert refuse_flow(context)


@when("all other members refuse it as well")
def refuse_at_other_members(context):
    while refuse_flow(context):
        pass


@then("no caller is reset")
def check_not_reset(context):
    assert not any(isinstance(action, ResetCaller) for action in context.actions)


@when("a packet of an open flow reaches it")
def send_open_flow_packet(context):
    handle_packet(context, make_segment(ack=77, size=5))


@when("the balancer receives {part}")
def provide_and_run(context, part):
    provide(context, part)
    assert context.starting.compute_wait(context.now) == 0
    context.actions = context.starting.run_timers(context.now)


@when("{seconds:f} s pass without an update")
def wait_without_update(context, seconds):
    context.actions = []
    for _ in range(round(seconds * 100)):
        context.now += 0.01
        context.actions += context.starting.run_timers(context.now)


def list_sent(context, kind):
    messages = [a.message for a in context.actions if isinstance(a, SendMessage)]
    return [message for message in messages if isinstance(message, kind)]


@then("no caller is reset and no agent is sent an open request")
def check_no_action(context):
    assert not any(isinstance(action, ResetCaller) for action in context.actions)
    assert not list_sent(context, OpenFlow)


@then("the first packet is sent to a member")
def check_open_sent(context):
    assert len(list_sent(context, OpenFlow)) == 1


@then("the members are queried for the flow's owner")
def check_queries_sent(context):
    assert len(list_sent(context, LookupRequest)) == MEMBERS


@then("the caller is reset as {reason}")
def check_reset_reason(context, reason):
    resets = [a for a in context.actions if isinstance(a, Decision)]
    assert [a.outcome for a in resets if a.step == "reset"] == [reason]
