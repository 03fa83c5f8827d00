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


def inform(context, part):
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
def create_starting(context, part):
    context.now = 50.0
    context.starting = BalancerSteering(BalancerSteeringSettings(), random.Random(4))
    for other in ("the configuration", "the members", "the zones"):
        if other != part:
            inform(context, other)
    context.actions = context.starting.run_timers(context.now)


def send(context, segment):
    context.actions = context.starting.handle_segment(segment, context.now)


@when("a first packet reaches it")
def send_first_early(context):
    send(context, make_segment(first=True))


@when("a third copy of a first packet reaches it")
def send_third_copy(context):
    segment = make_segment(first=True)
    segment.age_s = 0.6
    send(context, segment)


def refuse(context):
    """Refuse the flow at the member that was asked last; return whether one was."""
    asked = [
        (action.address, action.message)
        for action in context.actions
        if isinstance(action, SendMessage) and isinstance(action.message, OpenFlow)
    ]
    for address, message in asked:
        reply = OpenReply(message.token, Refusal.UNKNOWN_SERVER, Load(slots=0))
        context.actions = context.starting.handle_message(address, reply, context.now)
    return bool(asked)


@when("the member refuses it since it does not know its server")
def refuse_first(context):
    assert refuse(context)


@when("all other members refuse it, too")
def refuse_others(context):
    while refuse(context):
        pass


@then("no caller is reset")
def check_not_reset(context):
    assert not any(isinstance(action, ResetCaller) for action in context.actions)


@when("a packet of an open flow reaches it")
def send_later_early(context):
    send(context, make_segment(ack=77, size=5))


@when("the balancer is told {part}")
def learn(context, part):
    inform(context, part)
    assert context.starting.compute_wait(context.now) == 0
    context.actions = context.starting.run_timers(context.now)


@when("{seconds:f} s pass without news")
def wait_uninformed(context, seconds):
    context.actions = []
    for _ in range(round(seconds * 100)):
        context.now += 0.01
        context.actions += context.starting.run_timers(context.now)


def list_sent(context, kind):
    messages = [a.message for a in context.actions if isinstance(a, SendMessage)]
    return [message for message in messages if isinstance(message, kind)]


@then("no caller is reset and no agent is asked")
def check_quiet(context):
    assert not any(isinstance(action, ResetCaller) for action in context.actions)
    assert not list_sent(context, OpenFlow)


@then("the first packet goes to a member")
def check_opened(context):
    assert len(list_sent(context, OpenFlow)) == 1


@then("the members are asked for the flow's owner")
def check_asked(context):
    assert len(list_sent(context, LookupRequest)) == MEMBERS


@then("the caller is reset as {reason}")
def check_reset_reason(context, reason):
    resets = [a for a in context.actions if isinstance(a, Decision)]
    assert [a.outcome for a in resets if a.step == "reset"] == [reason]
