import heapq

import attrs
from behave import given, then, when
from steering_samples import FLOW, get_member, make_entry, make_segment

from bramleystair.actions import Count
from bramleystair.steering import (
    ConfirmMembers,
    Decision,
    LookupProbe,
    LookupReply,
    LookupRequest,
    OpenFlow,
    Ownership,
    Relay,
    ResetCaller,
    SendMessage,
    ServerReport,
    ServerState,
    Urgency,
    decode_message,
    encode_message,
)
from bramleystair.steering._types import compute_service_id

BALANCER = ("10.0.0.1", 7)
OTHER_FLOW = b"\x01" + FLOW[1:]
STEP_S = 0.01
ANSWER_S = 0.1


@attrs.define
class Deployment:
    """Members and a store that answer a balancer after fixed times."""

    answers: dict = attrs.field(factory=dict)
    probe_answers: dict = attrs.field(factory=dict)
    default: Ownership | None = Ownership.NONE
    confirm_s: float = 0.02
    due: list = attrs.field(factory=list)
    sent: list = attrs.field(factory=list)
    resets: dict = attrs.field(factory=dict)
    started: dict = attrs.field(factory=dict)
    counts: list = attrs.field(factory=list)
    lines: list = attrs.field(factory=list)
    is_confirming: bool = False


def get_deployment(context):
    if not hasattr(context, "deployment"):
        context.deployment = Deployment()
    return context.deployment


def schedule(context, delay_s, call):
    deployment = get_deployment(context)
    heapq.heappush(
        deployment.due, (context.now + delay_s, len(deployment.sent), id(call), call)
    )


def execute(context, actions):
    deployment = get_deployment(context)
    for action in actions:
        deployment.sent.append((context.now, action))
        match action:
            case ResetCaller(flow):
                deployment.resets.setdefault(flow, context.now)
            case Count():
                deployment.counts.append((action.name, action.reason))
            case Decision():
                deployment.lines.append(action)
            case ConfirmMembers():
                request_confirmation(context)
            case SendMessage(address, LookupRequest(token)):
                ownership = deployment.answers.get(address, deployment.default)
                schedule_reply(context, address, token, ownership)
            case SendMessage(address, LookupProbe(token)):
                ownership = deployment.probe_answers.get(address, Ownership.RETURNED)
                schedule_reply(context, address, token, ownership)


def schedule_reply(context, address, token, ownership):
    if ownership is not None:
        schedule(context, ANSWER_S, lambda: reply(context, address, token, ownership))


def reply(context, address, token, ownership):
    message = LookupReply(token, ownership)
    execute(context, context.balancer.handle_message(address, message, context.now))


def request_confirmation(context):
    """Make one call for all requests until it is answered, as a node does."""
    deployment = get_deployment(context)
    if deployment.is_confirming or deployment.confirm_s == float("inf"):
        return
    deployment.is_confirming = True
    schedule(context, deployment.confirm_s, lambda: confirm(context))


def confirm(context):
    get_deployment(context).is_confirming = False
    execute(context, context.balancer.handle_members_confirmed(context.now))


@when("{seconds:g} s pass in the deployment")
def run(context, seconds):
    deployment = get_deployment(context)
    for _ in range(round(seconds / STEP_S)):
        context.now += STEP_S
        while deployment.due and deployment.due[0][0] <= context.now + STEP_S / 2:
            heapq.heappop(deployment.due)[-1]()
        execute(context, context.balancer.run_timers(context.now))


def set_roster(context, is_complete):
    context.balancer.members.is_roster_complete = is_complete


@given("a complete roster")
@when("the roster is completed")
def complete_roster(context):
    set_roster(context, lambda now: True)


@given("a roster of the members 0, 1 and 2")
def create_roster(context):
    members = context.balancer.members
    named = [get_member(number) for number in range(3)]
    set_roster(context, lambda now: all(members.get(address) for address in named))


@when("member {number:d} is added, as the roster names it")
def add_named(context, number):
    execute_members = context.balancer.members.add_unlisted(
        [get_member(number)], context.now
    )
    assert len(execute_members) == 1


@when("member {number:d} joins")
def join(context, number):
    entries = [make_entry(n, f"zone-{n}") for n in range(number + 1)]
    execute(context, context.balancer.set_members(entries, context.now))


@given("all members deny flows on evidence: {name}")
@given("all members answer lookups as {name}")
def set_default(context, name):
    get_deployment(context).default = Ownership[name.upper()]


@given("member {number:d} does not answer lookups")
def silence(context, number):
    get_deployment(context).answers[get_member(number)] = None


@given("member {number:d} answers lookups as {answer}, and a probe as {returned}")
@when("member {number:d} answers lookups as {answer}, and a probe as {returned}")
def set_answers(context, number, answer, returned):
    deployment = get_deployment(context)
    deployment.answers[get_member(number)] = Ownership[answer.upper()]
    deployment.probe_answers[get_member(number)] = Ownership[returned.upper()]


@given("the store's confirmations are lost")
def lose_confirmations(context):
    get_deployment(context).confirm_s = float("inf")


@given("the store confirms the list {seconds:g} s after each request")
def delay_confirmations(context, seconds):
    get_deployment(context).confirm_s = seconds


def send_packet(context, flow):
    get_deployment(context).started[flow] = context.now
    segment = make_segment(flow, ack=77, size=5)
    execute(context, context.balancer.handle_segment(segment, context.now))


@when("the caller of a dead flow sends a packet, and {seconds:g} s pass")
def send_one(context, seconds):
    send_packet(context, FLOW)
    run(context, seconds)


@when(
    "the callers of {count:d} dead flows send packets within {spread:g} s, "
    "and {seconds:g} s pass"
)
def send_many(context, count, spread, seconds):
    for number in range(count):
        send_packet(context, number.to_bytes(4, "big") + FLOW[4:])
        run(context, spread / count)
    run(context, seconds)


@when(
    "the agent of member {number:d} returns a packet that its server did not get, "
    "and {seconds:g} s pass"
)
def return_packet(context, number, seconds):
    segment = make_segment(ack=77, size=5)
    execute(
        context,
        context.balancer.handle_returned_packet(
            get_member(number), segment, context.now
        ),
    )
    run(context, seconds)


@when("member {number:d} answers its lookup once more, as {name}")
def answer_again(context, number, name):
    tokens = [m.token for _, m in list_sent(context, LookupRequest)]
    reply(context, get_member(number), tokens[-1], Ownership[name.upper()])


@when("the members but member {silent:d} report their loads for {seconds:d} s")
def report_loads(context, silent, seconds):
    for _ in range(seconds * 2):
        for member in list(context.balancer.members):
            address = member.entry.address
            if address != get_member(silent):
                context.balancer.members.record_message(address, context.now)
        run(context, 0.5)


def list_sent(context, kind):
    sent = [a for _, a in get_deployment(context).sent if isinstance(a, SendMessage)]
    return [(a.address, a.message) for a in sent if isinstance(a.message, kind)]


@then("its caller is reset within {seconds:g} s")
def check_reset(context, seconds):
    check_reset_times(context, seconds, 1)


@then("all {count:d} callers are reset within {seconds:g} s")
def check_reset_times(context, seconds, count):
    deployment = get_deployment(context)
    assert len(deployment.resets) == count, deployment.lines
    for flow, reset_s in deployment.resets.items():
        assert reset_s - deployment.started[flow] <= seconds + STEP_S / 2, reset_s


@then("{count:d} caller is reset")
@then("{count:d} callers are reset")
def check_reset_count(context, count):
    deployment = get_deployment(context)
    assert len(deployment.resets) == count, deployment.lines


@then(
    "its caller is reset within {seconds:g} s, as never_held, by {count:d} of "
    "{members:d} members: {evidence}"
)
def check_reset_line(context, seconds, count, members, evidence):
    check_reset(context, seconds)
    (line,) = [a for a in get_deployment(context).lines if a.step == "reset"]
    assert line.outcome == "never_held", line
    assert (line.inputs["asked"], line.inputs["members"]) == (members, members), line
    assert line.inputs[evidence] == count, line


@then("no reset follows")
def check_no_reset(context):
    deployment = get_deployment(context)
    assert not deployment.resets, deployment.lines


@then("no reset follows, as {gap}")
def check_gap(context, gap):
    check_no_reset(context)
    assert ("reset_withheld", gap) in get_deployment(context).counts


@then("the store was asked at most once in {seconds:g} s")
def check_request_rate(context, seconds):
    times = [s for s, a in get_deployment(context).sent if a == ConfirmMembers()]
    assert len(times) >= 2, times
    gaps = [later - sooner for sooner, later in zip(times, times[1:], strict=False)]
    assert min(gaps) >= seconds - STEP_S / 2, times


@then("only member {number:d} was sent a probe")
def check_probed(context, number):
    probed = {address for address, _ in list_sent(context, LookupProbe)}
    assert probed == {get_member(number)}, probed


@then("no member was sent a probe")
def check_not_probed(context):
    assert not list_sent(context, LookupProbe)


@then("the packet is owned by member {number:d}")
def check_owner(context, number):
    send_packet(context, FLOW)
    receivers = {address for address, _ in list_sent(context, Relay)}
    assert receivers == {get_member(number)}, receivers


@then("an answer with an unknown value is refused as malformed")
def check_unknown_value(context):
    data = encode_message(LookupReply(9, Ownership.RETURNED))
    for value in range(len(Ownership), 256):
        assert decode_message(data[:-1] + bytes((value,))).is_err(), value


@then("the agent answers that it denies the flow on evidence: {name}")
def check_evidence(context, name):
    replies = [a.message for a in context.actions if isinstance(a, SendMessage)]
    assert replies == [LookupReply(5, Ownership[name.upper()])], replies


def report_from_server(context, sequence, cold_left_s=0.0, started_ms=3_700_000):
    state = ServerState.READY
    report = ServerReport(
        "i-1", "web", "z", state, 2, cold_left_s, sequence, started_ms
    )
    context.actions = context.agent.handle_report(report, context.now)


@when("{seconds:g} s later the server sends its report {sequence:d}")
def report_later(context, seconds, sequence):
    context.now += seconds
    report_from_server(context, sequence)


@when("a cold server that started at {ms:d} ms sends its report {sequence:d}")
def report_started(context, ms, sequence):
    context.now += 0.3
    report_from_server(context, sequence, 1.5, ms)


def send_from_server(context, **fields):
    segment = make_segment(OTHER_FLOW, **fields)
    context.agent.handle_server_segment(segment, context.now)


@when("the server sends a packet on another flow")
def send_on_other(context):
    send_from_server(context, sequence=1001, size=9)


@when("the server sends a first reply on another flow")
def answer_on_other(context):
    send_from_server(context, first=True, sequence=1000, ack=501)


@when("the server resets a packet of a probe on another flow")
def reset_probe(context):
    segment = make_segment(OTHER_FLOW, ack=1001, size=5)
    message = LookupProbe(6, segment.data)
    context.agent.handle_lookup_probe(BALANCER, message, segment, context.now)
    send_from_server(context, sequence=1001, reset=True)


@when("a flow is opened at the agent, and the server answers on it")
def open_other(context):
    message = OpenFlow(7, compute_service_id("web"), 0.0, Urgency(), None, b"")
    segment = make_segment(OTHER_FLOW, first=True, sequence=500)
    context.agent.handle_open(BALANCER, message, segment, context.now)
    send_from_server(context, first=True, sequence=1000, ack=501)
    segment = make_segment(OTHER_FLOW, sequence=501, ack=1001, size=5)
    context.agent.handle_relay(BALANCER, segment, context.now)
    send_from_server(context, sequence=1001, size=9)


@when("the settings name another address of the server")
def move_server(context):
    context.agent.handle_server_moved()
