import random

from behave import given, then, when
from steering_samples import FLOW, get_member, make_entry, make_segment

from bramleystair.steering import (
    Decision,
    DeclineSlot,
    Load,
    LoadReport,
    OfferSlot,
    OpenFlow,
    OpenReply,
    Refusal,
    ResetCaller,
    Route,
    RoutingRules,
    SendMessage,
    ServerReport,
    ServerState,
    ServiceLevel,
    Target,
    Urgency,
)
from bramleystair.steering._types import compute_service_id
from bramleystair.steering.agent import AgentSteering, AgentSteeringSettings
from bramleystair.steering.balancer import BalancerSteering, BalancerSteeringSettings

LEVELS = {
    "claim": ServiceLevel(1, 0.2, 3.0),
    "feed": ServiceLevel(2, 0.15, 2.5),
}
PORTS = {"claim": 443, "feed": 444}
BUSY = Load(slots=2, running=2, mean_running=2.0, service_s=0.04, is_accepting=False)
AGENT = ("10.0.1.1", 8)
URGENCY = Urgency()
BALANCERS = (("10.0.0.1", 7), ("10.0.0.2", 7))


def get_endpoint(route):
    return FLOW[4:8] + PORTS[route].to_bytes(2, "big")


def make_flow(route, number):
    endpoint = get_endpoint(route)
    return bytes((number,)) + FLOW[1:4] + endpoint[:4] + FLOW[8:10] + endpoint[4:]


def make_rules(version, names):
    routes = {
        get_endpoint(name): Route(
            name, get_endpoint(name), (Target("web", 1.0),), LEVELS[name]
        )
        for name in names
    }
    return RoutingRules(version, routes)


def record_actions(context, actions):
    context.actions = actions
    context.resets += [a for a in actions if isinstance(a, ResetCaller)]
    context.outcomes += [
        a.outcome for a in actions if isinstance(a, Decision) and a.step == "reset"
    ]


def list_sent(actions, kind):
    return [
        (a.address, a.message)
        for a in actions
        if isinstance(a, SendMessage) and isinstance(a.message, kind)
    ]


def refuse_as_busy(context, actions):
    """Refuse all open requests as busy, including those that result from refusals."""
    requests = list_sent(actions, OpenFlow)
    while requests:
        address, message = requests.pop(0)
        reply = OpenReply(message.token, Refusal.BUSY, context.load)
        answers = context.balancer.handle_message(address, reply, context.now)
        record_actions(context, answers)
        requests += list_sent(answers, OpenFlow)


def create_balancer(context, count, load):
    context.now = 50.0
    context.load = load
    context.count = count
    context.resets, context.outcomes = [], []
    context.callers = 0
    context.first_packets = []
    balancer = BalancerSteering(BalancerSteeringSettings(), random.Random(4), "zone-0")
    balancer.set_rules(make_rules(1, LEVELS))
    balancer.set_members([make_entry(n, f"zone-{n}") for n in range(count)], 50.0)
    balancer.set_evacuated_zones(())
    balancer.run_timers(context.now)
    context.balancer = balancer
    report_loads(context)


def report_loads(context):
    for number in range(context.count):
        context.balancer.handle_message(
            get_member(number), LoadReport(context.load), context.now
        )


@given("a balancer whose {count:d} members are busy")
def create_balancer_with_busy_members(context, count):
    create_balancer(context, count, BUSY)


@given("a balancer whose {count:d} members are busy and take {seconds:g} s to respond")
def create_balancer_with_busy_slow_members(context, count, seconds):
    load = Load(
        slots=2, running=2, mean_running=2.0, service_s=seconds, is_accepting=False
    )
    create_balancer(context, count, load)


def retransmit_first_packets(context):
    """Retransmit the first packets of the callers that still use this balancer."""
    for segment, sent_s in context.first_packets:
        if any(abs(context.now - sent_s - delay_s) < 0.005 for delay_s in (0.2, 0.6)):
            actions = context.balancer.handle_segment(segment, context.now)
            record_actions(context, actions)
            refuse_as_busy(context, actions)


def send_first_packet(context, route, age_s=0.0):
    context.callers += 1
    segment = make_segment(make_flow(route, context.callers), first=True)
    segment.age_s = age_s
    context.first_packets.append((segment, context.now - age_s))
    actions = context.balancer.handle_segment(segment, context.now)
    record_actions(context, actions)
    refuse_as_busy(context, actions)


@when('a caller of the route "{route}" arrives')
def send_one_first_packet(context, route):
    send_first_packet(context, route)


@when('a caller of the route "{route}" arrives and is rerouted to another balancer')
def send_rerouted_first_packet(context, route):
    send_first_packet(context, route)
    context.first_packets.clear()


@when('another caller of the route "{route}" arrives')
def send_another_first_packet(context, route):
    send_first_packet(context, route)


@when('{count:d} callers of the route "{route}" arrive')
def send_many_first_packets(context, count, route):
    for _ in range(count):
        send_first_packet(context, route)


@when('a third copy of a first packet arrives for the route "{route}"')
def send_third_copy(context, route):
    send_first_packet(context, route, age_s=0.6)


@when("{seconds:g} s pass while the members stay busy")
def pass_time(context, seconds):
    for _ in range(round(seconds * 100)):
        context.now += 0.01
        retransmit_first_packets(context)
        report_loads(context)
        actions = context.balancer.run_timers(context.now)
        record_actions(context, actions)
        refuse_as_busy(context, actions)


@when("member {number:d} offers a slot")
def offer_slot(context, number):
    actions = context.balancer.handle_message(
        get_member(number), OfferSlot(), context.now
    )
    record_actions(context, actions)


@when("member {number:d} reports that it is draining")
def report_draining(context, number):
    load = Load(ServerState.DRAINING, 2, is_accepting=False)
    context.balancer.handle_message(get_member(number), LoadReport(load), context.now)


@when("member {number:d} is in an evacuated zone")
def evacuate_zone_of_member(context, number):
    context.balancer.set_evacuated_zones({f"zone-{number}"})


@when('a configuration without the route "{route}" takes effect')
def remove_route(context, route):
    context.balancer.set_rules(make_rules(2, set(LEVELS) - {route}))
    record_actions(context, context.balancer.run_timers(context.now))


@when("the caller completes the handshake with a server")
def complete_handshake(context):
    segment = make_segment(make_flow("feed", 1), sequence=2, ack=77)
    record_actions(context, context.balancer.handle_segment(segment, context.now))


@when("the balancer stops")
def stop_balancer(context):
    record_actions(context, context.balancer.shut_down(context.now))


@then("no caller is refused")
def check_none_refused(context):
    assert context.resets == []


@then('the caller of "{route}" is sent to member {number:d}')
def check_placed(context, route, number):
    sent = list_sent(context.actions, OpenFlow)
    assert [address for address, _ in sent] == [get_member(number)], sent
    (_, message) = sent[0]
    assert message.data[4:8] + message.data[10:12] == get_endpoint(route)
    assert not list_sent(context.actions, DeclineSlot)


@then("no member is sent an open request")
def check_not_sent(context):
    assert not list_sent(context.actions, OpenFlow)


@then("the second caller is sent to member {number:d}")
def check_second_placed(context, number):
    ((address, message),) = list_sent(context.actions, OpenFlow)
    assert address == get_member(number)
    assert message.data[0] == 2, message.data


@then("between {least:d} and {most:d} callers are refused as {reason}")
def check_refused_count(context, least, most, reason):
    assert set(context.outcomes) <= {reason}, context.outcomes
    assert least <= len(context.outcomes) <= most, len(context.outcomes)


@then("the caller is refused as {reason}")
def check_refused(context, reason):
    assert context.outcomes == [reason], context.outcomes
    assert len(context.resets) == 1


@then("member {number:d} is sent a decline")
def check_declined(context, number):
    sent = list_sent(context.actions, DeclineSlot)
    assert [address for address, _ in sent] == [get_member(number)], context.actions
    assert not list_sent(context.actions, OpenFlow)


@given("a busy agent that refused two balancers")
def create_busy_agent(context):
    context.now = 100.0
    # Without an allowance for requests in flight, one free slot gives one offer.
    settings = AgentSteeringSettings(heartbeat_s=0.8, max_admitted=1.0)
    context.agent = AgentSteering(AGENT, "z", settings, context.now)
    report = ServerReport("i-1", "web", "z", ServerState.READY, 1, 0.0, 10, 1000)
    context.agent.handle_report(report, context.now)
    request = make_segment(make_flow("feed", 90), ack=5, size=10)
    context.agent.handle_relay(BALANCERS[0], request, context.now)
    context.tokens = 0
    for balancer in BALANCERS:
        assert open_flow(context, balancer) == [Refusal.BUSY]


def open_flow(context, balancer, urgency=URGENCY):
    context.tokens += 1
    message = OpenFlow(
        context.tokens, compute_service_id("web"), 0.0, urgency, None, b""
    )
    segment = make_segment(make_flow("feed", context.tokens), first=True)
    actions = context.agent.handle_open(balancer, message, segment, context.now)
    return [reply.refusal for _, reply in list_sent(actions, OpenReply)]


@given("a busy agent that refused a late flow and then an on-time flow")
def create_agent_with_late_flow(context):
    create_busy_agent(context)
    for balancer, is_late in zip(BALANCERS, (True, False), strict=True):
        open_flow(context, balancer, Urgency(is_late))


@when("the server finishes a request")
def finish_request(context):
    context.now += 0.04
    response = make_segment(make_flow("feed", 90), sequence=7, ack=9, size=50)
    context.actions = context.agent.handle_server_segment(response, context.now)


@when("the first balancer declines")
def decline_offer(context):
    context.actions = context.agent.handle_decline(BALANCERS[0], context.now)


@when("the offer is not answered")
def ignore_offer(context):
    assert context.agent.compute_wait(context.now) <= 0.03
    context.now += 0.03
    context.actions = context.agent.run_timers(context.now)


@then("the {ordinal} balancer is offered a slot")
def check_offered(context, ordinal):
    expected = BALANCERS[("first", "second").index(ordinal)]
    sent = list_sent(context.actions, OfferSlot)
    assert [address for address, _ in sent] == [expected], context.actions


@then("a first packet of the second balancer is refused as busy")
def check_slot_reserved(context):
    assert open_flow(context, BALANCERS[1]) == [Refusal.BUSY]


@then("a first packet of the first balancer is accepted")
def check_slot_used(context):
    assert open_flow(context, BALANCERS[0]) == [Refusal.NONE]


@when("both members accept a first packet and refuse it as returned")
def accept_and_return(context):
    context.segment = make_segment(make_flow("feed", 1), first=True)
    actions = context.balancer.handle_segment(context.segment, context.now)
    while requests := list_sent(actions, OpenFlow):
        ((address, message),) = requests
        for refusal in (Refusal.NONE, Refusal.RETURNED):
            reply = OpenReply(message.token, refusal, context.load)
            actions = context.balancer.handle_message(address, reply, context.now)


@when("a copy of that first packet arrives")
def send_copy(context):
    actions = context.balancer.handle_segment(context.segment, context.now)
    assert not list_sent(actions, OpenFlow)


@then("a member is asked again within 0.1 s")
def check_asked_again(context):
    assert list_sent(context.balancer.run_timers(context.now + 0.1), OpenFlow)
