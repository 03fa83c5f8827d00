import attrs
from behave import given, then, when
from steering_samples import FLOW, make_segment

from bramleystair.actions import Count
from bramleystair.model._patterns import POLICIES, measure_pattern
from bramleystair.steering import (
    Decision,
    Load,
    LoadReport,
    MemberEntry,
    OpenFlow,
    OpenReply,
    Refusal,
    ServerReport,
    ServerState,
    SteeringOptions,
    Urgency,
    decode_message,
    encode_message,
)
from bramleystair.steering._balancer_settings import BalancerSteeringSettings
from bramleystair.steering._members import Members
from bramleystair.steering._options import PaceSettings
from bramleystair.steering._server_pace import PaceReason, ServerPace
from bramleystair.steering._types import compute_service_id
from bramleystair.steering.agent import AgentSteering, AgentSteeringSettings

SETTINGS = PaceSettings(max_slots=1, response_s=0.1, max_per_slot=3.0)
BALANCER, AGENT = ("10.0.0.1", 7), ("10.0.1.1", 8)
SERVICE = "web"


@given("a server that has just started")
def create_pace(context):
    context.now = 100.0
    context.pace = ServerPace(SETTINGS, context.now)


@given("a server at its full pace")
def create_full_pace(context):
    create_pace(context)
    answer(context, 2, 0.025)
    assert context.pace.is_full


@when("it answers {count:d} requests in {seconds:g} s each")
def answer(context, count, seconds, running=1):
    for _ in range(count):
        context.now += seconds
        context.pace.record_response(seconds, running, 1, context.now)


@when(
    "it answers {count:d} requests in {seconds:g} s each, with {running:d} in progress"
)
def answer_queued(context, count, seconds, running):
    answer(context, count, seconds, running)


@when("it is silent")
def fall_silent(context):
    context.pace.record_silence(context.now)


@when("it is replaced")
def replace(context):
    context.pace.start(context.now, PaceReason.REPLACED)


@when("{count:d} requests end without a response, {gap:g} s apart")
def fail(context, count, gap):
    for _ in range(count):
        context.now += gap
        context.pace.record_failure(PaceReason.UNANSWERED, context.now)


@when("{seconds:d} s pass without a request to the server")
def pass_time(context, seconds):
    context.now += seconds


@then("its limit is {limit:g}")
def check_limit(context, limit):
    assert context.pace.compute_limit(1, context.now) == limit


@then("its limit is {limit:g} and its pace is full")
def check_full(context, limit):
    check_limit(context, limit)
    assert context.pace.is_full and context.pace.compute_share(1, context.now) == 1


@then("its limit is below {limit:g}")
def check_limit_below(context, limit):
    assert context.pace.compute_limit(1, context.now) < limit


@then("its share is below {share:g}")
def check_share_below(context, share):
    assert 0 < context.pace.compute_share(1, context.now) < share


@then("its share is at least {share:g}")
def check_share(context, share):
    assert context.pace.compute_share(1, context.now) >= share


@then('the change is "{outcome}" with the reason "{reason}"')
def check_change(context, outcome, reason):
    change = context.pace.take_changes()[-1]
    assert (change.outcome, change.reason) == (outcome, reason), change


def make_report(slots, server="i-1", cold_left_s=0.0, sequence=10):
    return ServerReport(
        server, SERVICE, "z", ServerState.READY, slots, cold_left_s, sequence, 1000
    )


def make_flow(number):
    return bytes((number,)) + FLOW[1:]


@given("an agent with a {slots:d}-slot server and max_slots {max_slots:d}")
def create_agent(context, slots, max_slots):
    context.now, context.actions, context.flows = 100.0, [], 0
    context.slots = slots
    pace = attrs.evolve(SETTINGS, max_slots=max_slots)
    context.settings = AgentSteeringSettings(
        heartbeat_s=0.8, options=SteeringOptions(pace=pace)
    )
    start_agent(context)


@given("an agent at the full pace of its server")
def create_agent_at_full_pace(context):
    create_agent(context, 1, 1)
    answer_requests(context, 2, 0.025)
    check_reported_pace(context, 1)
    context.actions.clear()


@when("the agent restarts")
def start_agent(context):
    context.agent = AgentSteering(AGENT, "z", context.settings, context.now)
    context.agent.handle_report(make_report(context.slots), context.now)


def send_request(context):
    """Send a request on a new flow, and return the flow."""
    context.flows += 1
    flow = make_flow(context.flows)
    request = make_segment(flow, sequence=501, ack=901, size=40)
    context.actions += context.agent.handle_relay(BALANCER, request, context.now)
    return flow


@when("{count:d} requests are in progress")
def start_requests(context, count):
    while context.agent.build_load(context.now).running < count:
        send_request(context)


@when("{count:d} requests are answered in {seconds:g} s")
def answer_requests(context, count, seconds):
    for _ in range(count):
        flow = send_request(context)
        context.now += seconds
        response = make_segment(flow, sequence=901, ack=541, size=90)
        context.actions += context.agent.handle_server_segment(response, context.now)


@when("{count:d} requests end without a response")
def fail_requests(context, count):
    for _ in range(count):
        reset = make_segment(send_request(context), sequence=901, ack=541)
        reset.is_reset = True
        context.actions += context.agent.handle_server_segment(reset, context.now)


@when("its server closes {count:d} flows with a request in progress")
def close_flows(context, count):
    for _ in range(count):
        end = make_segment(send_request(context), sequence=901, ack=541)
        end.is_fin = True
        context.actions += context.agent.handle_server_segment(end, context.now)


@when("a server with another identifier reports in its place")
def report_other_server(context):
    for sequence in (1, 2, 3, 4):
        context.now += 0.8
        report = make_report(1, "i-2", sequence=sequence)
        context.actions += context.agent.handle_report(report, context.now)


@when("its server reports that it is cold")
def report_cold(context):
    report = make_report(1, cold_left_s=2.0, sequence=11)
    context.agent.handle_report(report, context.now)


@when("{count:d} first packets arrive in a second at a cold rate of {rate:d}")
def open_flows(context, count, rate):
    for number in range(200, 200 + count):
        message = OpenFlow(
            number, compute_service_id(SERVICE), rate, Urgency(), None, b""
        )
        segment = make_segment(make_flow(number), first=True, sequence=500)
        context.actions += context.agent.handle_open(
            BALANCER, message, segment, context.now
        )
        reply = make_segment(make_flow(number), first=True, sequence=900, ack=501)
        context.agent.handle_server_segment(reply, context.now)
        context.now += 0.15


@then("{count:d} of them are admitted")
def check_admitted(context, count):
    replies = [getattr(action, "message", None) for action in context.actions]
    refusals = [r.refusal for r in replies if isinstance(r, OpenReply)]
    assert refusals.count(Refusal.NONE) == count, refusals


@when("its server fails and answers by turns {count:d} times within a second")
def alternate(context, count):
    for _ in range(count):
        fail_requests(context, 1)
        answer_requests(context, 2, 0.005)


@then("the agent reports a pace of {pace:g}")
def check_reported_pace(context, pace):
    load = context.agent.build_load(context.now)
    assert round(load.pace, 2) == pace, load


@then("its load report has as many bytes as without a pace")
def check_size(context):
    report = LoadReport(context.agent.build_load(context.now))
    assert len(encode_message(report)) == len(encode_message(LoadReport(Load())))
    paced = LoadReport(Load(pace=0.5))
    assert len(encode_message(report)) + 5 == len(encode_message(paced))


@then("nothing about the pace is counted or logged")
def check_no_changes(context):
    assert list_logged(context) == []
    assert list_counted(context) == []


def list_logged(context):
    decisions = [a for a in context.actions if isinstance(a, Decision)]
    return [d for d in decisions if d.step == "pace"]


def list_counted(context):
    counts = [a for a in context.actions if isinstance(a, Count)]
    return [c for c in counts if c.name.startswith("pace_")]


@then("at most {lines:d} log lines tell of the pace")
def check_logged(context, lines):
    assert 1 <= len(list_logged(context)) <= lines, list_logged(context)


@then("at least {count:d} changes are counted")
def check_counted(context, count):
    assert len(list_counted(context)) >= count, len(list_counted(context))


@then("the agent accepts flows")
def check_accepting(context):
    assert context.agent.build_load(context.now).is_accepting


@then("the agent does not accept flows")
def check_not_accepting(context):
    assert not context.agent.build_load(context.now).is_accepting


@given(
    "two idle members of pace {pace:g} and 1, of which the second has {load:g} in"
    " progress"
)
def create_members(context, pace, load):
    context.members = Members(BalancerSteeringSettings(), "z", "b")
    loads = (Load(pace=pace), Load(pace=1.0, mean_running=load))
    addresses = [(f"10.0.1.{number}", 8) for number in (1, 2)]
    entries = [MemberEntry(a, "z", SERVICE, ServerState.READY, 1) for a in addresses]
    context.members.update(entries, 100.0)
    for address, member_load in zip(addresses, loads, strict=True):
        context.members.record_load(address, member_load, 100.0)


@then('the second member is chosen "{choice}"')
def check_choice(context, choice):
    member = context.members.choose(FLOW, SERVICE, (), True, 100.0)
    assert str(member.entry.address[0] == "10.0.1.2") == choice, member


@then("a load report with a pace of {pace:g} is the same after encoding and decoding")
def check_encoding(context, pace):
    report = LoadReport(Load(pace=pace), 3)
    assert decode_message(encode_message(report)).unwrap() == report


@then("a pace of nan, inf, -1 or 1.5, or a truncated one, is refused")
def check_malformed(context):
    for pace in (float("nan"), float("inf"), -1.0, 1.5):
        assert decode_message(encode_message(LoadReport(Load(pace=pace)))).is_err()
    data = encode_message(LoadReport(Load(pace=0.5)))
    assert all(decode_message(data[:-cut]).is_err() for cut in (1, 2, 3))


@when('the pattern "{pattern}" runs without and with the pace')
def run_pattern(context, pattern):
    policies = [policy for policy in POLICIES if policy.name in ("default", "pace")]
    context.results = [measure_pattern(pattern, policy, 1) for policy in policies]


@then("at most {factor:g} of the requests are lost")
def check_lost(context, factor):
    without, paced = (r.refused + r.expired for r in context.results)
    assert paced <= factor * without, context.results


@then("the share of requests in time falls by at most {share:g}")
def check_in_time(context, share):
    without, paced = (
        r.in_time / (r.in_time + r.late + r.refused + r.expired)
        for r in context.results
    )
    assert paced >= without - share, context.results
