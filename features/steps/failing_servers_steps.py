import random

from behave import given, then, when
from steering_samples import get_member, make_entry, make_segment
from waiting_steps import LEVELS, list_sent, make_flow, make_rules

from bramleystair.actions import Count
from bramleystair.model import CallerSettings, Fleet, FleetSettings, Outcome
from bramleystair.model import ServerSettings as ModelServerSettings
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
    ServerReport,
    ServerState,
    Urgency,
)
from bramleystair.steering._options import ServerFaultSettings, SteeringOptions
from bramleystair.steering._types import compute_service_id
from bramleystair.steering.agent import AgentSteering, AgentSteeringSettings
from bramleystair.steering.balancer import BalancerSteering, BalancerSteeringSettings

AGENT, BALANCER = ("10.0.1.1", 8), ("10.0.0.1", 7)
OPTIONS = SteeringOptions(server_faults=ServerFaultSettings(max_slots=1))
MODEL_OPTIONS = SteeringOptions(server_faults=ServerFaultSettings(max_slots=3))
FAILING = Load(is_accepting=False, is_failing=True)


def execute(context, actions):
    context.actions += actions
    return actions


def open_flow(context, number, is_last_resort=False):
    segment = make_segment(make_flow("feed", number), first=True, sequence=500)
    service_id = compute_service_id("web")
    message = OpenFlow(number, service_id, 0.0, Urgency(), None, b"", is_last_resort)
    actions = context.agent.handle_open(BALANCER, message, segment, context.now)
    (reply,) = list_sent(execute(context, actions), OpenReply)
    return reply[1].refusal


def send_from_server(context, number, **fields):
    segment = make_segment(make_flow("feed", number), sequence=900, ack=501, **fields)
    execute(context, context.agent.handle_server_segment(segment, context.now))


def send_from_caller(context, number, **fields):
    segment = make_segment(make_flow("feed", number), ack=901, **fields)
    execute(context, context.agent.handle_relay(BALANCER, segment, context.now))


def send_request(context, is_last_resort=True):
    """Open a flow, unless it is refused, and send a request; return its number."""
    context.flows += 1
    assert open_flow(context, context.flows, is_last_resort) is Refusal.NONE
    send_from_server(context, context.flows, first=True)
    send_from_caller(context, context.flows, sequence=501, size=40)
    return context.flows


def pass_time(context, seconds):
    """Advance the clock while the server reports and its agent's timers run."""
    end_s = context.now + seconds
    while context.now < end_s - 1e-6:
        context.now = min(end_s, context.now + 0.05)
        report_server(context)
        execute(context, context.agent.run_timers(context.now))


def report_server(context, server="i-1", started_ms=1000):
    context.sequence += 1
    state = ServerState.READY
    report = ServerReport(
        server, "web", "z", state, context.slots, 0.0, context.sequence, started_ms
    )
    execute(context, context.agent.handle_report(report, context.now))


def answer_requests(context, count, seconds):
    for _ in range(count):
        number = send_request(context)
        context.now += seconds
        send_from_server(context, number, size=90)


@given("an agent whose server has {slots:d} slot and answers within {seconds:g} s")
@given("an agent whose server has {slots:d} slots and answers within {seconds:g} s")
def create_agent(context, slots, seconds):
    context.now, context.slots, context.flows, context.sequence = 100.0, slots, 0, 10
    context.actions = []
    settings = AgentSteeringSettings(
        heartbeat_s=0.4, max_load=99, max_admitted=99, options=OPTIONS
    )
    context.agent = AgentSteering(AGENT, "z", settings, context.now)
    report_server(context)
    answer_requests(context, 5, seconds)


@when("the server resets flows of {count:d} requests")
def reset_flows(context, count):
    for _ in range(count):
        send_from_server(context, send_request(context), reset=True)


@when("the server closes flows of {count:d} requests")
def close_flows(context, count):
    for _ in range(count):
        send_from_server(context, send_request(context), fin=True)
        # Timers run at the latest with the next load report.
        context.now += 0.06
        execute(context, context.agent.run_timers(context.now))


@when("the end of a flow arrives {seconds:g} s before the response, {count:d} times")
def reorder_response(context, seconds, count):
    for _ in range(count):
        number = send_request(context)
        send_from_server(context, number, fin=True)
        context.now += seconds
        send_from_server(context, number, size=90)
    pass_time(context, 0.5)


@when("the server does not answer {count:d} requests")
def leave_unanswered(context, count):
    for _ in range(count):
        send_request(context)
    pass_time(context, 0.7)


@when("the server returns flows for {count:d} requests")
def return_first_packets(context, count):
    for _ in range(count):
        context.flows += 1
        open_flow(context, context.flows)
        send_from_server(context, context.flows, first=True, returned=True)


@when(
    "the server closes flows of requests that arrive while {count:d} others "
    "are in progress"
)
def reject_requests(context, count):
    for _ in range(count):
        send_request(context)
    close_flows(context, 3)


@when("{count:d} requests arrive at once and are answered in turn")
def answer_in_turn(context, count):
    numbers = [send_request(context) for _ in range(count)]
    for number in numbers:
        pass_time(context, 0.2)
        send_from_server(context, number, size=90)


@when("the server answers {count:d} request after {seconds:g} s")
@when("the server answers {count:d} requests after {seconds:g} s")
def answer_slowly(context, count, seconds):
    for _ in range(count):
        number = send_request(context)
        pass_time(context, seconds)
        send_from_server(context, number, size=90)


@when("{count:d} callers send a request and end their flow before the response")
def end_flows(context, count):
    for _ in range(count):
        number = send_request(context)
        send_from_caller(context, number, sequence=541, fin=True)
        send_from_server(context, number, fin=True)
    pass_time(context, 1.0)


@when("the server reports for {seconds:g} s")
def let_time_pass(context, seconds):
    pass_time(context, seconds)


@when("the server is silent for {seconds:g} s")
def stop_reports(context, seconds):
    context.now += seconds


@when("the server answers {count:d} requests in time")
def answer_in_time(context, count):
    answer_requests(context, count, 0.03)


@when("the server fails at the end of each of {count:d} pauses")
def fail_repeatedly(context, count):
    close_flows(context, 2)
    for _ in range(count - 1):
        pass_time(context, list_pauses(context)[-1] + 0.01)
        close_flows(context, 1)


@when("another server reports in its place")
def replace_server(context):
    for _ in range(3):
        context.now += 0.4
        report_server(context, "i-2", 2000)


def list_pauses(context):
    return [
        action.inputs["seconds"]
        for action in context.actions
        if isinstance(action, Decision) and action.outcome == "paused"
    ]


@then("the pauses last {seconds} s")
def check_pauses(context, seconds):
    expected = [float(word) for word in seconds.replace(" and", ",").split(", ")]
    pauses = list_pauses(context)
    assert pauses[-len(expected) :] == expected, pauses
    counted = [a for a in context.actions if isinstance(a, Count)]
    assert len([c for c in counted if c.name == "server_paused"]) == len(pauses)


@then("the next first packet is refused as failing")
def check_refused(context):
    context.flows += 1
    refusal = open_flow(context, context.flows)
    assert refusal is Refusal.FAILING, refusal


@then("the next first packet is admitted")
def check_admitted(context):
    context.flows += 1
    refusal = open_flow(context, context.flows)
    assert refusal is Refusal.NONE, refusal


@then("the agent reports that its server {state}")
def check_reported_state(context, state):
    load = context.agent.build_load(context.now)
    assert load.is_failing == (state == "fails"), load


@then("no open flow was reset")
def check_no_reset(context):
    assert not [a for a in context.actions if isinstance(a, ResetCaller)]


@given("a balancer with {count:d} members, of which {failing:d} fail")
def create_balancer(context, count, failing):
    context.now = 50.0
    context.asked = []
    context.failing = {get_member(n) for n in range(failing)}
    balancer = BalancerSteering(BalancerSteeringSettings(), random.Random(4), "zone-0")
    balancer.set_rules(make_rules(1, LEVELS))
    balancer.set_members([make_entry(n, "zone-0") for n in range(count)], 50.0)
    balancer.set_evacuated_zones(())
    balancer.run_timers(context.now)
    for number in range(count):
        load = FAILING if get_member(number) in context.failing else Load()
        message = LoadReport(load)
        balancer.handle_message(get_member(number), message, context.now)
    context.balancer = balancer


def answer_open(context, actions, refuse):
    """Answer open requests, and those that follow; `refuse` maps one to a refusal."""
    requests = list_sent(actions, OpenFlow)
    while requests:
        address, message = requests.pop(0)
        context.asked.append((address, message))
        refusal = refuse(message)
        fails = refusal is Refusal.FAILING or address in context.failing
        load = FAILING if fails else Load()
        reply = OpenReply(message.token, refusal, load)
        answers = context.balancer.handle_message(address, reply, context.now)
        requests += list_sent(answers, OpenFlow)


def send_first_packet(context, number, refuse):
    segment = make_segment(make_flow("feed", number), first=True)
    actions = context.balancer.handle_segment(segment, context.now)
    answer_open(context, actions, refuse)


@when("{count:d} first packets arrive and each member accepts")
def send_first_packets(context, count):
    for number in range(count):
        send_first_packet(context, number, lambda message: Refusal.NONE)


def refuse_unless_last(message):
    return Refusal.NONE if message.is_last_resort else Refusal.FAILING


@when("one first packet arrives and members refuse as failing until the last resort")
def refuse_as_failing(context):
    send_first_packet(context, 1, refuse_unless_last)
    context.now += 0.05
    answer_open(context, context.balancer.run_timers(context.now), refuse_unless_last)


@when("one first packet arrives and the sound members are busy")
def refuse_as_busy(context):
    context.resets = []

    def refuse(message):
        return Refusal.NONE if message.is_last_resort else Refusal.BUSY

    send_first_packet(context, 1, refuse)


@then("the caller who finds no sound member {outcome}")
def check_outcome(context, outcome):
    was_placed = context.asked[-1][1].is_last_resort
    assert was_placed == (outcome != "waits"), context.asked


@then("a member was asked as the last resort within 0.1 s")
def check_last_resort(context):
    assert context.asked[-1][1].is_last_resort
    assert not context.asked[0][1].is_last_resort


@then("only sound members were asked")
def check_sound_asked(context):
    assert context.asked
    for address, message in context.asked:
        assert address not in context.failing and not message.is_last_resort


@then("all members were asked as the last resort")
def check_all_asked(context):
    asked = {address for address, _ in context.asked}
    assert asked == context.failing, asked
    assert all(message.is_last_resort for _, message in context.asked)


@then("their agents would admit the flows")
def check_last_resort_admitted(context):
    create_agent(context, 1, 0.03)
    close_flows(context, 2)
    assert open_flow(context, 200) is Refusal.FAILING
    assert open_flow(context, 201, is_last_resort=True) is Refusal.NONE


@when("a failing member offers a slot")
def offer_slot(context):
    address = min(context.failing)
    context.actions = context.balancer.handle_message(address, OfferSlot(), context.now)


@then("the failing member's offer is declined")
def check_declined(context):
    assert list_sent(context.actions, DeclineSlot)


@given(
    "a modelled deployment of which {count:d} of {servers:d} servers reset all flows "
    "for {down:g} s of every {period:g} s"
)
def describe_fleet(context, count, servers, down, period):
    context.pattern = count, servers, down, period


def run_pattern(context, seconds, options):
    count, servers, down, period = context.pattern
    callers = CallerSettings(callers=90, keeps_flows=False, is_idempotent=False)
    settings = FleetSettings(
        servers=(ModelServerSettings(slots=3, queue=10),) * servers,
        callers=(callers, CallerSettings(callers=60)),
        service_time_s=0.02,
        agent_steering=AgentSteeringSettings(options=options),
    )
    fleet = Fleet(settings)
    while fleet.events.now < seconds:
        for server in fleet.servers[:count]:
            server.reset_share = 1.0
        fleet.run_until(fleet.events.now + down)
        for server in fleet.servers[:count]:
            server.reset_share = 0.0
        fleet.run_until(fleet.events.now + period - down)
    return fleet.report


@when("{seconds:d} s are played with the part and without it")
def run_both(context, seconds):
    context.reports = [
        run_pattern(context, seconds, options)
        for options in (MODEL_OPTIONS, SteeringOptions())
    ]


@then("the part saves at least {percent:d} % of the requests that were lost")
def check_saved(context, percent):
    lost = [
        report.count(Outcome.REFUSED) + report.count(Outcome.EXPIRED)
        for report in context.reports
    ]
    assert lost[0] <= (1 - percent / 100) * lost[1], lost


@then("no open flow is broken")
def check_unbroken(context):
    assert not any(report.broken_flows for report in context.reports)
