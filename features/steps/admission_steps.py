from collections import Counter

from behave import given, then, when
from steering_samples import FLOW, make_segment

from bramleystair.steering import (
    OfferSlot,
    OpenFlow,
    OpenReply,
    Refusal,
    SendMessage,
    ServerReport,
    ServerState,
    Urgency,
)
from bramleystair.steering._types import compute_service_id
from bramleystair.steering.agent import AgentSteering, AgentSteeringSettings

BALANCER = ("10.0.0.1", 7)
AGENT = ("10.0.1.1", 8)
DEFAULT_URGENCY = Urgency()


def make_flow(number):
    return bytes((number,)) + FLOW[1:]


def open_flow(context, number, urgency=DEFAULT_URGENCY):
    message = OpenFlow(number, compute_service_id("web"), 0.0, urgency, None, b"")
    segment = make_segment(make_flow(number), first=True, sequence=500)
    return context.agent.handle_open(BALANCER, message, segment, context.now)


def list_refusals(actions):
    messages = [a.message for a in actions if isinstance(a, SendMessage)]
    return [m.refusal for m in messages if isinstance(m, OpenReply)]


@given("an agent whose idle server has {slots:d} slots")
def create_idle_agent(context, slots):
    context.now = 100.0
    settings = AgentSteeringSettings(heartbeat_s=0.8)
    context.agent = AgentSteering(AGENT, "z", settings, context.now)
    report = ServerReport("i-1", "web", "z", ServerState.READY, slots, 0.0, 10, 1000)
    context.agent.handle_report(report, context.now)


@when("{count:d} first packets arrive at once")
def open_flows(context, count):
    context.actions = []
    for number in range(count):
        context.actions += open_flow(context, number)


def admit(context):
    open_flow(context, 0)
    context.now += 0.004
    answer = make_segment(make_flow(0), first=True, sequence=900, ack=501)
    context.agent.handle_server_segment(answer, context.now)


@when("a caller is admitted and its request arrives")
def admit_with_request(context):
    admit(context)
    send_request(context, 501)


@when("a caller is admitted and ends its flow")
def admit_and_close(context):
    admit(context)
    end = make_segment(make_flow(0), sequence=501, ack=901)
    end.is_fin = True
    context.agent.handle_relay(BALANCER, end, context.now)


def send_request(context, sequence):
    request = make_segment(make_flow(0), sequence=sequence, ack=901, size=40)
    context.agent.handle_relay(BALANCER, request, context.now)


@when("the server responds and a retransmission of the request arrives")
def cross_response(context):
    context.now += 0.21
    response = make_segment(make_flow(0), sequence=901, ack=541, size=90)
    context.agent.handle_server_segment(response, context.now)
    context.now += 0.001
    send_request(context, 501)


@when("the server closes the flow without a response")
def close_flow(context):
    context.now += 0.001
    end = make_segment(make_flow(0), sequence=901, ack=542)
    end.is_fin = True
    context.agent.handle_server_segment(end, context.now)


@when("the caller sends its next request")
def send_next(context):
    context.now += 0.01
    send_request(context, 541)


@when("{seconds:g} s pass without a request")
def pass_time(context, seconds):
    for number in range(2):
        # The server answers first packets, so it does not count as silent.
        answer = make_segment(make_flow(number), first=True, sequence=900, ack=501)
        context.agent.handle_server_segment(answer, context.now)
    context.now += seconds
    context.agent.run_timers(context.now)


@when("the balancer declines an offered slot")
def decline_slot(context):
    context.agent.handle_decline(BALANCER, context.now)


@when("first packets of the priorities 1 and 2 have arrived")
def open_priorities(context):
    for priority in (1, 2):
        flow = 100 + priority
        assert list_refusals(open_flow(context, flow, Urgency(False, priority)))
        answer = make_segment(make_flow(flow), first=True, sequence=900, ack=501)
        context.agent.handle_server_segment(answer, context.now)
    # The flows send no request, so their reservations expire and all slots are free.
    context.now += 0.2


@when("{count:d} requests on open flows are in progress")
def run_requests(context, count):
    for number in range(count):
        request = make_segment(make_flow(200 + number), sequence=9, ack=5, size=40)
        context.agent.handle_relay(BALANCER, request, context.now)


@when("a first packet of the priority 1 is refused as busy")
def refuse_urgent(context):
    refusals = list_refusals(open_flow(context, 110, Urgency(False, 1)))
    assert refusals == [Refusal.BUSY]


@when("one of the requests on open flows ends")
def end_request(context):
    response = make_segment(make_flow(200), sequence=5, ack=49, size=90)
    context.actions = context.agent.handle_server_segment(response, context.now)


@then("its balancer is offered a slot")
def check_offer(context):
    sent = [a for a in context.actions if isinstance(a, SendMessage)]
    offered = [a.address for a in sent if isinstance(a.message, OfferSlot)]
    assert offered == [BALANCER], context.actions


@then("a first packet of the priority {priority:d} that is {state} is {outcome}")
def check_priority(context, priority, state, outcome):
    urgency = Urgency(state == "late", priority)
    expected = Refusal.NONE if outcome == "admitted" else Refusal[outcome.upper()]
    assert list_refusals(open_flow(context, 120, urgency)) == [expected]


@then("{admitted:d} of them are admitted and {refused:d} are refused as busy")
def check_refusals(context, admitted, refused):
    counts = Counter(list_refusals(context.actions))
    assert counts == {Refusal.NONE: admitted, Refusal.BUSY: refused}, counts


@then("the agent reports {count:d} request in progress")
@then("the agent reports {count:d} requests in progress")
def check_running(context, count):
    assert context.agent.build_load(context.now).running == count


@then("a further first packet is admitted")
def check_further_admitted(context):
    assert list_refusals(open_flow(context, 9)) == [Refusal.NONE]
