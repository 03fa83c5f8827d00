import random
from collections import Counter

import attrs
from behave import given, then, when
from steering_samples import ENDPOINT, FLOW, get_member, make_entry, make_segment

from bramleystair.steering import (
    ConfirmMembers,
    Decision,
    DeclineSlot,
    DeliverToCaller,
    DeliverToServer,
    EntryChanged,
    EntryWithdrawn,
    FlowLost,
    Load,
    LoadReport,
    LookupProbe,
    LookupReply,
    LookupRequest,
    MemberEntry,
    OfferSlot,
    OpenFlow,
    OpenReply,
    Ownership,
    Refusal,
    Relay,
    ResetCaller,
    ReturnPacket,
    Route,
    RoutingRules,
    SendMessage,
    ServerReport,
    ServerShutdown,
    ServerState,
    ServiceLimits,
    StoreRestored,
    Subscribe,
    Target,
    Urgency,
    decode_entry,
    decode_message,
    encode_bundle,
    encode_entry,
    encode_message,
    split_bundle,
)
from bramleystair.steering._types import compute_service_id
from bramleystair.steering.agent import AgentSteering, AgentSteeringSettings
from bramleystair.steering.balancer import BalancerSteering, BalancerSteeringSettings

BALANCER = ("10.0.0.1", 7)
OTHER_BALANCER = ("10.0.0.2", 7)
AGENT = ("10.0.1.1", 8)
FIRST_SEQUENCE = 500

RESTORED_EPOCH = 2


def make_report(state=ServerState.READY, sequence=10, started_ms=1000, server="i-1"):
    return ServerReport(server, "web", "z", state, 2, 0.0, sequence, started_ms)


def advance(context, seconds):
    context.now += seconds


def create_agent(context, age=0.0):
    context.now = 100.0
    context.agent = AgentSteering(
        AGENT, "z", AgentSteeringSettings(heartbeat_s=0.8), context.now - age
    )


@given("an agent whose server {state}")
def create_agent_with(context, state):
    create_agent(context)
    agent = context.agent
    if state == "has not reported":
        return
    if state.endswith("started 100 s ago"):
        create_agent(context, age=100)
        agent = context.agent
    is_draining = state == "is draining"
    report = make_report(ServerState.DRAINING if is_draining else ServerState.READY)
    agent.handle_report(report, context.now)
    if state == "has reported its shutdown":
        agent.remove_server(ServerShutdown("i-1"), context.now)
    if state == "has no free slot":
        for number in range(2):
            flow = bytes((number,)) + FLOW[1:]
            agent.handle_relay(BALANCER, make_segment(flow, size=10), context.now)
    if state == "has been silent for 10 s":
        context.now += 10


@when("a new flow for {service} arrives")
def open_flow(context, service):
    message = OpenFlow(7, compute_service_id(service), 0.0, Urgency(), None, b"")
    segment = make_segment(first=True, sequence=FIRST_SEQUENCE)
    context.actions = context.agent.handle_open(BALANCER, message, segment, context.now)


@when("{seconds:f} s later its first packet is retransmitted")
def repeat_first(context, seconds):
    context.now += seconds
    open_flow(context, "web")


@when("an older report says that it is ready")
def send_late_report(context):
    context.agent.handle_report(make_report(sequence=3), context.now)


@when("a report of a server that started earlier says that it is draining")
def send_former_report(context):
    report = make_report(ServerState.DRAINING, 40, started_ms=10, server="i-0")
    context.agent.handle_report(report, context.now)


@when("the server returns its first packet")
def return_first(context):
    segment = make_segment(first=True, returned=True, sequence=FIRST_SEQUENCE)
    context.actions = context.agent.handle_server_segment(segment, context.now)


@when("a packet of an unknown flow arrives")
def relay_unknown(context):
    context.actions = context.agent.handle_relay(
        BALANCER, make_segment(ack=77, size=5), context.now
    )


@when("the server returns the packet")
def return_unknown(context):
    segment = make_segment(returned=True, ack=77, size=5)
    context.actions = context.agent.handle_server_segment(segment, context.now)


@when("the server answers the first packet with the sequence number {number:d}")
def answer_first(context, number):
    segment = make_segment(first=True, sequence=number, ack=FIRST_SEQUENCE + 1)
    context.actions = context.agent.handle_server_segment(segment, context.now)


@when("the caller acknowledges the sequence number {number:d}")
def acknowledge(context, number):
    segment = make_segment(sequence=FIRST_SEQUENCE + 1, ack=number)
    context.actions = context.agent.handle_relay(BALANCER, segment, context.now)


@when("the server sends a packet")
def send_from_server(context):
    segment = make_segment(sequence=1001, size=9)
    context.actions = context.agent.handle_server_segment(segment, context.now)


@when("the server sends a FIN")
def end_by_server(context):
    segment = make_segment(sequence=1010, fin=True)
    context.actions = context.agent.handle_server_segment(segment, context.now)


@when("both ends send a FIN")
def end_by_both(context):
    end_by_server(context)
    segment = make_segment(sequence=FIRST_SEQUENCE + 1, ack=1011, fin=True)
    context.actions = context.agent.handle_relay(BALANCER, segment, context.now)


@when("the server resets it")
@when("the server resets the flow")
def reset_by_server(context):
    segment = make_segment(sequence=77, reset=True)
    context.actions = context.agent.handle_server_segment(segment, context.now)


@when("the caller resets it")
def reset_by_caller(context):
    segment = make_segment(sequence=FIRST_SEQUENCE + 1, reset=True)
    context.actions = context.agent.handle_relay(BALANCER, segment, context.now)


@when("a packet with the sequence number {sequence:d} acknowledges {number:d}")
def relay_numbers(context, sequence, number):
    segment = make_segment(sequence=sequence, ack=number, size=5)
    context.actions = context.agent.handle_relay(BALANCER, segment, context.now)


@when("a probe of another flow from the same port arrives")
def probe_other(context):
    probe(context, 3_000_000, 3_000_000)


@when("a probe of an unknown flow arrives")
def probe_unknown(context):
    probe(context, 1001)


def probe(context, acknowledged, sequence=1):
    segment = make_segment(sequence=sequence, ack=acknowledged, size=5)
    message = LookupProbe(5, segment.data)
    context.actions = context.agent.handle_lookup_probe(
        BALANCER, message, segment, context.now
    )


@when("the server returns the probe")
def return_probe(context):
    segment = make_segment(returned=True, ack=1001, size=5)
    context.actions = context.agent.handle_server_segment(segment, context.now)


@then("the packet is not delivered to the server")
def check_not_delivered(context):
    assert not any(isinstance(a, DeliverToServer) for a in context.actions)


def list_delivered(context):
    return [a for a in context.actions if isinstance(a, DeliverToCaller)]


@then("the caller gets no packet")
def check_nothing_delivered(context):
    assert not list_delivered(context), context.actions


@then("the caller gets the packet")
def check_packet_delivered(context):
    assert len(list_delivered(context)) == 1, context.actions


@when("{seconds:g} s later another server reports for the first time")
def replace_server(context, seconds):
    context.now += seconds
    report = make_report(sequence=1, started_ms=9000, server="i-2")
    context.actions = context.agent.handle_report(report, context.now)


@given("an agent that has just started and finds no server at its server's address")
def create_without_server(context):
    create_agent(context)
    context.agent.set_server_absent(context.now)


@given("an agent that has just started")
def create_started(context):
    create_agent(context)


@when("{seconds:g} s later its server passes a health check")
def pass_health_check(context, seconds):
    context.now += seconds
    context.agent.assume_ready("web", context.now)


@when("{seconds:g} s later a cold server sends its report {sequence:d}")
def report_cold(context, seconds, sequence):
    # By the times of day, which were set meanwhile, the server started an hour later.
    context.now += seconds
    report = make_report(sequence=sequence, started_ms=3_700_000)
    report = attrs.evolve(report, cold_left_s=1.5)
    context.actions = context.agent.handle_report(report, context.now)


@when("the agent's server reports that it is ready")
def report_ready(context):
    context.actions = context.agent.handle_report(make_report(), context.now)


@when("a balancer looks up the owner of a flow")
def ask_owner(context):
    ask_owner_of(context, 77)


@when("a balancer looks up the owner of a flow whose caller acknowledges {number:d}")
def ask_owner_of(context, number):
    message = LookupRequest(5, FLOW, number)
    context.actions = context.agent.handle_lookup(BALANCER, message, context.now)


@when("a balancer subscribes and the agent stops")
def stop_without_server(context):
    context.agent.handle_subscription(BALANCER, Subscribe(1), context.now)
    context.actions = context.agent.stop(context.now)


@when("the agent stops")
def stop_agent(context):
    context.actions = context.agent.stop(context.now)


@when("{seconds:g} s pass at the agent")
def pass_agent_time(context, seconds):
    context.actions = []
    for _ in range(round(seconds * 100)):
        context.now += 0.01
        context.actions += context.agent.run_timers(context.now)


def list_announced(context):
    reports = list_messages(context, LoadReport)
    return [action.address for action in reports if action.message.load.is_stopping]


@then("it announces a restart to the balancer")
def check_announced(context):
    assert list_announced(context) == [BALANCER], context.actions


@then("it has announced the restart at least twice more")
def check_announced_again(context):
    assert list_announced(context).count(BALANCER) >= 2, context.actions


@when("another balancer looks up a flow")
def ask_other(context):
    message = LookupRequest(5, FLOW, 77)
    context.actions = context.agent.handle_lookup(OTHER_BALANCER, message, context.now)


@then("it announces a restart to that balancer")
def check_announced_to_other(context):
    assert list_announced(context) == [OTHER_BALANCER], context.actions


@then("the agent's last report does not announce a restart")
def check_last_report(context):
    reports = [action.message.load for action in list_messages(context, LoadReport)]
    assert [load.is_stopping for load in reports] == [False], reports
    assert not reports[0].is_accepting


def check_ownership(context, ownership):
    replies = [action.message for action in list_messages(context, LookupReply)]
    assert replies == [LookupReply(5, ownership)], replies


@then("the agent answers that it does not hold the flow")
def check_not_held(context):
    check_ownership(context, Ownership.NONE)


@then("the agent answers that it holds the flow")
def check_held(context):
    check_ownership(context, Ownership.CERTAIN)


@then("the agent answers that it probably holds a flow")
def check_likely(context):
    check_ownership(context, Ownership.LIKELY)


@then("the agent answers that it is unsure")
def check_unsure(context):
    check_ownership(context, Ownership.UNSURE)


def list_messages(context, kind):
    return [
        action
        for action in context.actions
        if isinstance(action, SendMessage) and isinstance(action.message, kind)
    ]


@then("the flow is refused as {reason}")
def check_refusal(context, reason):
    replies = [a.message.refusal for a in list_messages(context, OpenReply)]
    assert replies == [Refusal[reason.upper()]], replies
    assert not any(isinstance(a, DeliverToServer) for a in context.actions)


@then("the flow is admitted")
def check_taken(context):
    replies = [a.message.refusal for a in list_messages(context, OpenReply)]
    assert replies == [Refusal.NONE], replies
    assert any(isinstance(a, DeliverToServer) for a in context.actions)


@then("the packet is delivered to the server")
def check_delivered(context):
    assert any(isinstance(a, DeliverToServer) for a in context.actions)
    assert not list_messages(context, ReturnPacket)


@then("the packet is returned to the balancer")
def check_returned_packet(context):
    returned = list_messages(context, ReturnPacket)
    assert [action.address for action in returned] == [BALANCER], context.actions
    assert not any(isinstance(a, DeliverToServer) for a in context.actions)


@then("the caller is reset at the sequence number {number:d}")
def check_agent_reset(context, number):
    resets = [a for a in context.actions if isinstance(a, ResetCaller)]
    assert [(r.flow, r.sequence) for r in resets] == [(FLOW, number)], resets


@then("the caller is not reset")
def check_no_agent_reset(context):
    assert not any(isinstance(a, ResetCaller) for a in context.actions)


@given("a balancer with {count:d} members")
def create_balancer(context, count):
    context.now = 50.0
    context.balancer = BalancerSteering(BalancerSteeringSettings(), random.Random(4))
    route = Route("r", ENDPOINT, (Target("web", 1.0),))
    rules = RoutingRules(9, {ENDPOINT: route}, {"web": ServiceLimits("web")})
    context.balancer.set_rules(rules)
    entries = [make_entry(n, f"zone-{n}") for n in range(count)]
    context.balancer.set_members(entries, context.now)
    context.balancer.set_evacuated_zones(())
    context.balancer.run_timers(context.now)
    context.count = count
    context.all_actions = []


@given("a balancer that has just started with {count:d} members")
def create_new_balancer(context, count):
    create_balancer(context, count)


@given("a balancer with {count:d} members whose list of members is outdated")
def create_outdated(context, count):
    create_balancer(context, count)
    context.is_list_outdated = True


def record_actions(context, actions):
    context.actions = actions
    context.all_actions += actions
    must_confirm = any(isinstance(action, ConfirmMembers) for action in actions)
    if must_confirm and not getattr(context, "is_list_outdated", False):
        # A node with an up-to-date watch of the members confirms them immediately.
        confirm(context)


def confirm(context):
    record_actions(context, context.balancer.handle_members_confirmed(context.now))


@when("the list of members is confirmed")
def confirm_list(context):
    confirm(context)


@when("members may be missing for {seconds:d} s")
def expect_more_members(context, seconds):
    record_actions(
        context,
        context.balancer.handle_restoration(
            RESTORED_EPOCH, context.now + seconds, context.now
        ),
    )


@then("each member is told the epoch at least {count:d} times, at most {limit:d} times")
def check_told(context, count, limit):
    told = [
        action.address
        for action in context.all_actions
        if isinstance(action, SendMessage)
        and action.message == StoreRestored(RESTORED_EPOCH)
    ]
    for number in range(context.count):
        assert count <= told.count(get_member(number)) <= limit, told


@when("a fourth member is added and the list of members is confirmed")
def add_fourth(context):
    entries = [make_entry(n, f"zone-{n}") for n in range(4)]
    context.balancer.set_members(entries, context.now)
    context.all_actions = []
    confirm(context)


@then("only the fourth member is queried")
def check_fourth_queried(context):
    asked = [action.address for action in list_messages(context, LookupRequest)]
    assert asked == [get_member(3)], asked


@when("a packet of an unknown flow reaches the balancer")
def send_unknown(context):
    segment = make_segment(ack=77, size=5)
    record_actions(context, context.balancer.handle_segment(segment, context.now))


@when("member {number:d} replies that it holds the flow")
def reply_owner(context, number):
    token = [
        a.message.token
        for a in context.all_actions
        if isinstance(a, SendMessage) and isinstance(a.message, LookupRequest)
    ][-1]
    message = LookupReply(token, Ownership.CERTAIN)
    record_actions(
        context,
        context.balancer.handle_message(get_member(number), message, context.now),
    )


@when("the agent of member {number:d} denies a packet of the flow")
def deny_held(context, number):
    deny_packet(context, get_member(number), make_segment(ack=177, size=5))
    await_queries(context)


@when("the server returns a copy of the first packet")
def return_first_copy(context):
    segment = make_segment(first=True, returned=True)
    context.actions = context.agent.handle_server_segment(segment, context.now)


@when("member {number:d} returns a packet of the flow")
def return_held(context, number):
    # The caller has acknowledged more since the member was found.
    return_packet(context, get_member(number), make_segment(ack=177, size=5))
    await_queries(context)


def await_queries(context):
    """Let the rate limit of lookups pass."""
    for _ in range(5):
        if list_messages(context, LookupRequest):
            return
        pass_time(context, 0.01)


def return_packet(context, member, segment):
    lost = FlowLost(segment.flow, segment.acknowledgement)
    record_actions(context, context.balancer.handle_message(member, lost, context.now))
    deny_packet(context, member, segment)


def deny_packet(context, member, segment):
    actions = context.balancer.handle_returned_packet(member, segment, context.now)
    record_actions(context, actions)


@when("the caller of a flow without a known owner retransmits for {seconds:d} s")
def retransmit(context, seconds):
    end_s = context.now + seconds
    while context.now < end_s:
        send_unknown(context)
        await_queries(context)
        if list_messages(context, LookupRequest):
            reply_none_all(context)
        for number in range(context.count):
            report(context, number)
        pass_time(context, 0.2)


@when("a fourth member is added")
def add_member(context):
    entries = [make_entry(n, f"zone-{n}") for n in range(4)]
    context.balancer.set_members(entries, context.now)
    context.all_actions = []


@then("the flow was looked up {least:d} to {most:d} times")
def check_lookup_count(context, least, most):
    messages = [a.message for a in context.all_actions if isinstance(a, SendMessage)]
    tokens = {m.token for m in messages if isinstance(m, LookupRequest)}
    assert least <= len(tokens) <= most, tokens


@then("the store was asked to confirm the members at most {most:d} times")
def check_confirmation_count(context, most):
    asked = [a for a in context.all_actions if isinstance(a, ConfirmMembers)]
    assert 1 <= len(asked) <= most, asked


def open_at_member(context, flow, sequence=1):
    """Open a flow, and return the member that has accepted it."""
    segment = make_segment(flow, first=True, sequence=sequence)
    record_actions(context, context.balancer.handle_segment(segment, context.now))
    (opening,) = list_messages(context, OpenFlow)
    reply = OpenReply(opening.message.token, Refusal.NONE, Load(slots=2))
    record_actions(
        context,
        context.balancer.handle_message(opening.address, reply, context.now),
    )
    return opening.address


def send_later(context, flow, acknowledgement):
    segment = make_segment(flow, ack=acknowledgement, size=5)
    record_actions(context, context.balancer.handle_segment(segment, context.now))
    return segment


@when("a flow is opened at a member, which returns the caller's next packet")
def return_after_opening(context):
    member = open_at_member(context, FLOW)
    return_packet(context, member, send_later(context, FLOW, 77))


@when("the owners of {count:d} flows return packets of them")
def return_many(context, count):
    held = []
    for number in range(count):
        flow = number.to_bytes(4, "big") + FLOW[4:]
        member = open_at_member(context, flow)
        send_later(context, flow, 77)
        held.append((member, send_later(context, flow, 177)))
    context.all_actions = []
    for member, segment in held:
        return_packet(context, member, segment)


@when("a flow is opened at a member with the sequence number {sequence:d}")
def open_numbered(context, sequence):
    context.member = open_at_member(context, FLOW, sequence)
    context.sequence, context.acknowledged = sequence, sequence


@when("the caller sends {count:d} packets of {size:d} bytes and acknowledges as much")
def send_numbered(context, count, size):
    context.receivers = []
    for _ in range(count):
        send_with_numbers(context, context.sequence, context.acknowledged)
        context.receivers += [a.address for a in list_messages(context, Relay)]
        context.sequence = (context.sequence + size) % 2**32
        context.acknowledged = (context.acknowledged + size) % 2**32
    context.count_sent = count


def send_with_numbers(context, sequence, acknowledged):
    segment = make_segment(sequence=sequence, ack=acknowledged, size=5)
    record_actions(context, context.balancer.handle_segment(segment, context.now))


@then("all of them went to that member")
def check_receivers(context):
    assert context.receivers == [context.member] * context.count_sent


@when(
    "its next packet has the sequence number {sequence:d} and acknowledges {number:d}"
)
def send_other(context, sequence, number):
    send_with_numbers(context, sequence, number)


@then("the members are queried for its owner")
def check_queried_for_owner(context):
    assert not list_messages(context, Relay)
    check_queried(context, context.count)


@when("a packet of a later flow from the same port reaches the balancer")
def send_later_flow(context):
    send_later(context, FLOW, 2**31)


@when("the queried members reply that they do not hold the flow")
def reply_none_queried(context):
    queries = list_messages(context, LookupRequest)
    assert queries
    for query in queries:
        reply = LookupReply(query.message.token, Ownership.NONE)
        send_reply(context, query.address, reply)


@then(
    "the line reset / no_owner tells that {asked:d} of {count:d} members were asked, "
    "and names member {number:d}"
)
def check_reset_line(context, asked, count, number):
    lines = [a for a in context.all_actions if isinstance(a, Decision)]
    (line,) = [a for a in lines if (a.step, a.outcome) == ("reset", "no_owner")]
    assert (line.inputs["asked"], line.inputs["members"]) == (asked, count), line
    assert line.inputs["agent"] == get_member(number)[0]


@when("member {number:d} replies that it does not hold the flow")
def reply_none_one(context, number):
    reply_none(context, (number,))


def reply_none(context, numbers):
    token = list_messages(context, LookupRequest)[0].message.token
    actions = []
    for number in numbers:
        actions += context.balancer.handle_message(
            get_member(number), LookupReply(token, Ownership.NONE), context.now
        )
    record_actions(context, actions)


@when("{seconds:f} s later all members reply that they are unsure")
def reply_unsure(context, seconds):
    token = list_messages(context, LookupRequest)[0].message.token
    pass_time(context, seconds)
    for number in range(context.count):
        reply = LookupReply(token, Ownership.UNSURE)
        send_reply(context, get_member(number), reply)


@when("{seconds:d} s pass at the balancer")
@when("{seconds:f} s pass at the balancer")
def pass_time(context, seconds):
    for _ in range(round(seconds * 100)):
        context.now += 0.01
        record_actions(context, context.balancer.run_timers(context.now))


@then("the packet was sent as a probe to each member {times}")
def check_probes(context, times):
    tried = Counter(
        a.address
        for a in context.all_actions
        if isinstance(a, SendMessage) and isinstance(a.message, LookupProbe)
    )
    expected = {"once": 1, "twice": 2}[times]
    assert set(tried.values()) == {expected} and len(tried) == context.count, tried


@when("all members reply that they do not hold the flow")
def reply_none_all(context):
    reply_none(context, range(context.count))


@when("members 0 and 1 reply that they do not hold the flow")
def reply_none_two(context):
    reply_none(context, (0, 1))


def report_loads(context, seconds, numbers):
    for _ in range(seconds * 2):
        context.now += 0.5
        for number in numbers:
            report(context, number)
        record_actions(context, context.balancer.run_timers(context.now))


@when("for {seconds:d} s only members 0 and 1 report their loads")
def report_two(context, seconds):
    report_loads(context, seconds, (0, 1))


@when("for {seconds:d} s all members report their loads")
def report_all(context, seconds):
    report_loads(context, seconds, range(context.count))


@when("member {number:d} announces a restart")
def announce_restart(context, number):
    message = LoadReport(Load(is_accepting=False, is_stopping=True))
    actions = context.balancer.handle_message(get_member(number), message, context.now)
    record_actions(context, actions)


@when("the entry of member {number:d} names a server")
def change_entry(context, number):
    entries = [make_entry(n, f"zone-{n}") for n in range(context.count)]
    entries[number] = attrs.evolve(entries[number], server="i-9", started_ms=5000)
    context.balancer.set_members(entries, context.now)


@when("the balancer is paused for {seconds:d} s")
def pause_balancer(context, seconds):
    context.now += seconds


@then("member {silent:d} received at least {more:d} subscriptions more than member 0")
def check_subscriptions(context, silent, more):
    sent = [
        a.address
        for a in context.all_actions
        if isinstance(a, SendMessage) and isinstance(a.message, Subscribe)
    ]
    assert sent.count(get_member(silent)) >= sent.count(get_member(0)) + more


@when("member {number:d} reports its load")
def report(context, number):
    message = LoadReport(Load(slots=2))
    record_actions(
        context,
        context.balancer.handle_message(get_member(number), message, context.now),
    )


@when("a first packet for an address without a route arrives")
def send_unrouted(context):
    flow = FLOW[:-1] + b"\x00"
    segment = make_segment(flow, first=True)
    record_actions(context, context.balancer.handle_segment(segment, context.now))


@when("a first packet arrives")
def send_first(context):
    segment = make_segment(first=True)
    record_actions(context, context.balancer.handle_segment(segment, context.now))


@when("a first packet arrives and its member does not answer for {seconds:f} s")
def open_without_answer(context, seconds):
    send_first(context)
    context.first = list_messages(context, OpenFlow)[0].address
    context.now += seconds
    record_actions(context, context.balancer.run_timers(context.now))


@when("the zones of members 0 and 1 are evacuated")
def evacuate(context):
    context.balancer.set_evacuated_zones({"zone-0", "zone-1"})


@when("a configuration of a lower version without routes arrives")
def set_older(context):
    context.balancer.set_rules(RoutingRules(8))


@when("packets of {count:d} unknown flows reach the balancer")
def send_many_unknown(context, count):
    for number in range(count):
        flow = number.to_bytes(4, "big") + FLOW[4:]
        segment = make_segment(flow, ack=77, size=5)
        record_actions(context, context.balancer.handle_segment(segment, context.now))


def list_lookups(actions):
    messages = [a.message for a in actions if isinstance(a, SendMessage)]
    return {m.flow: m.token for m in messages if isinstance(m, LookupRequest)}


@when(
    "the queried members reply after 10 ms that they do not hold the flow, "
    "for {seconds:d} s"
)
def answer_lookups(context, seconds):
    waiting, context.sent = list(context.all_actions), []
    for _ in range(seconds * 100):
        asked = [a for a in waiting if isinstance(a, SendMessage)]
        asked = [a for a in asked if isinstance(a.message, LookupRequest)]
        context.sent += [(context.now, a.address) for a in asked]
        context.now += 0.01
        waiting = []
        for action in asked:
            reply = LookupReply(action.message.token, Ownership.NONE)
            waiting += send_reply(context, action.address, reply)
        record_actions(context, context.balancer.run_timers(context.now))
        waiting += context.actions


def send_reply(context, member, reply):
    start = len(context.all_actions)
    record_actions(context, context.balancer.handle_message(member, reply, context.now))
    return context.all_actions[start:]


@then("the lookup requests of any second take at most {limit:S} bytes with headers")
def check_rate(context, limit):
    datagrams = Counter(context.sent)
    sizes = Counter()
    for (now, _), count in datagrams.items():
        sizes[now] += 28 + 22 * count
    for start in sizes:
        total = sum(n for now, n in sizes.items() if start <= now < start + 1)
        assert total <= int(limit.replace(",", "")), total


@then("all {count:d} callers are reset")
def check_all_reset(context, count):
    assert len({a.flow for a in list_resets(context)}) == count


@then("all {count:d} flows were looked up")
def check_looked_up(context, count):
    assert len(list_lookups(context.all_actions)) == count


@then("no member is queried")
def check_none_queried(context):
    assert not list_messages(context, LookupRequest)


@then("all {count:d} members are queried")
def check_queried(context, count):
    asked = {action.address for action in list_messages(context, LookupRequest)}
    assert asked == {get_member(n) for n in range(count)}, asked


@then("the packet goes to member {number:d}")
def check_relayed(context, number):
    relayed = [action.address for action in list_messages(context, Relay)]
    assert relayed == [get_member(number)], relayed


def list_resets(context):
    return [a for a in context.all_actions if isinstance(a, ResetCaller)]


@then("the caller is reset by the balancer")
def check_reset(context):
    assert len(list_resets(context)) == 1, context.all_actions


@then("the caller is not reset by the balancer")
def check_no_reset(context):
    assert not list_resets(context)


@then("another member is tried")
def check_other(context):
    tried = [action.address for action in list_messages(context, OpenFlow)]
    assert len(tried) == 1
    assert tried[0] != context.first


@then("a member is tried")
def check_tried(context):
    assert len(list_messages(context, OpenFlow)) == 1


@then("{count:d} first packets all go to member {number:d}")
def check_evacuated(context, count, number):
    for index in range(count):
        flow = bytes((index,)) + FLOW[1:]
        segment = make_segment(flow, first=True)
        record_actions(context, context.balancer.handle_segment(segment, context.now))
        tried = [action.address for action in list_messages(context, OpenFlow)]
        assert tried == [get_member(number)], tried


@then("the balancer is isolated")
def check_isolated(context):
    assert context.balancer.is_isolated(context.now)


@then("the balancer is not isolated")
def check_connected(context):
    assert not context.balancer.is_isolated(context.now)


@given("a route split 90 to 10 between web and api")
def create_route(context):
    targets = (Target("web", 90), Target("api", 10))
    context.routes = [Route("r", ENDPOINT, targets) for _ in range(2)]


@then(
    "88 to 92 % of 10,000 flows go to web, and an equal route chooses the same "
    "service for each flow"
)
def check_weights(context):
    flows = [random.Random(n).randbytes(12) for n in range(10_000)]
    first, second = (
        [route.choose_service(flow) for flow in flows] for route in context.routes
    )
    assert first == second
    assert 0.88 < first.count("web") / len(first) < 0.92


MESSAGES = (
    OpenFlow(3, 2**60, 4.5, Urgency(True, 2), Urgency(), b"packet"),
    OpenReply(3, Refusal.BUSY, Load(running=3, mean_running=1.5, is_cold=True)),
    Relay(b"packet"),
    LookupRequest(9, bytes(range(12)), 77),
    LookupProbe(9, b"packet"),
    LookupReply(9, Ownership.LIKELY),
    ReturnPacket(b"packet"),
    Subscribe(12),
    LoadReport(Load(ServerState.DRAINING, is_accepting=False), 12),
    StoreRestored(2),
    EntryChanged(2, 2**63, True),
    EntryWithdrawn(),
    FlowLost(bytes(12), 2**32 - 1),
    OfferSlot(),
    DeclineSlot(),
)


@then("each kind of message is the same after encoding and decoding")
def check_codec(context):
    for message in MESSAGES:
        assert decode_message(encode_message(message)).unwrap() == message, message


@then("a load or a cold rate of nan, inf or -1 is refused")
def check_finite(context):
    for number in (float("nan"), float("inf"), -1.0):
        messages = (
            OpenFlow(3, 2**60, number, Urgency(), None, b"packet"),
            OpenReply(3, Refusal.BUSY, Load(mean_running=number)),
            LoadReport(Load(service_s=number)),
        )
        for message in messages:
            assert decode_message(encode_message(message)).is_err(), message


@then("priorities of 0, 126 and 1000 are decoded as 0, 126 and 126")
def check_urgencies(context):
    for priority, carried in ((0, 0), (126, 126), (1000, 126)):
        for is_late in (False, True):
            urgency = Urgency(is_late, priority)
            message = OpenFlow(3, 2**60, 0.0, urgency, urgency, b"packet")
            decoded = decode_message(encode_message(message)).unwrap()
            assert decoded.urgency == decoded.waiting == Urgency(is_late, carried)


@then("a first packet without an urgency is refused")
def check_no_urgency(context):
    message = OpenFlow(3, 2**60, 0.0, None, None, b"packet")
    assert decode_message(encode_message(message)).is_err()


@then("1 to {limit:d} messages are the same after bundling and splitting")
def check_bundles(context, limit):
    context.bundles = []
    for count in range(1, limit + 1):
        messages = [encode_message(LookupRequest(n, FLOW, n)) for n in range(count)]
        context.bundles.append(encode_bundle(messages))
        assert split_bundle(context.bundles[-1]).unwrap() == tuple(messages)


@then("each truncated bundle is refused or decoded to fewer messages")
def check_cut_bundles(context):
    for data in context.bundles[1:]:
        complete = len(split_bundle(data).unwrap())
        for end in range(1, len(data)):
            result = split_bundle(data[:end])
            assert result.is_err() or len(result.unwrap()) < complete


@then("{count:d} random datagrams are decoded or refused")
def check_random_datagrams(context, count):
    generator = random.Random(8)
    results = [
        decode_message(generator.randbytes(generator.randrange(60)))
        for _ in range(count)
    ]
    kinds = [bytes((kind,)) + generator.randbytes(21) for kind in range(1, 13)]
    results += [decode_message(data) for data in kinds]
    assert any(result.is_err() for result in results)
    assert decode_message(b"").is_err()


@when("member {number:d} reports that version {version:d} is in force")
def report_version(context, number, version):
    message = LoadReport(Load(slots=2), version)
    context.balancer.handle_message(get_member(number), message, context.now)


@then("the balancer knows of version {newest:d} and has version {version:d} in force")
def check_versions(context, newest, version):
    assert context.balancer.newest_rules_version == newest
    assert context.balancer.rules.version == version


ENTRY = MemberEntry(("10.0.0.9", 8172), "z", "web", ServerState.READY, 5, "i-1", 1000)


@then("a member's object is the same after encoding and decoding")
def check_entry(context):
    assert decode_entry(ENTRY.address[0], encode_entry(ENTRY)).unwrap() == ENTRY


@then("{count:d} damaged objects are each decoded to a member or refused")
def check_damaged_entries(context, count):
    generator = random.Random(6)
    refused = 0
    for _ in range(count):
        value = encode_entry(ENTRY)
        field = generator.choice(list(value))
        if generator.random() < 0.3:
            del value[field]
        else:
            value[field] = generator.choice((None, 1.5, True, [], {}, "x", 7))
        result = decode_entry(ENTRY.address[0], value)
        refused += result.is_err()
        if result.is_ok():
            assert type(result.unwrap().slots) is int
            assert type(result.unwrap().address[1]) is int
    assert refused > count / 2
    assert decode_entry(ENTRY.address[0], [1]).is_err()


class AwayAgent:
    """Answer the lookups of a balancer for all members but one that is away."""

    def __init__(self, context, away):
        self.context, self.away = context, away
        self.probe_times, self.returned = [], set()
        self.is_away = True

    def run(self, seconds):
        context = self.context
        end_s = context.now + seconds
        while context.now < end_s:
            self.handle(lambda: send_unknown(context))
            for number in range(context.count):
                if number != self.away or not self.is_away:
                    self.handle(lambda number=number: report(context, number))
            for _ in range(20):
                self.handle(lambda: pass_time(context, 0.01))

    def handle(self, cause):
        start = len(self.context.all_actions)
        cause()
        for action in self.context.all_actions[start:]:
            if isinstance(action, SendMessage):
                self.answer(action.address, action.message)

    def answer(self, member, message):
        if member == get_member(self.away):
            is_asked = isinstance(message, LookupRequest) and not self.is_away
            ownership = Ownership.CERTAIN if is_asked else None
        elif isinstance(message, LookupProbe):
            self.probe_times.append(self.context.now)
            self.returned.add(member)
            ownership = Ownership.NONE
        elif isinstance(message, LookupRequest):
            is_known = member in self.returned
            ownership = Ownership.NONE if is_known else Ownership.UNSURE
        else:
            return
        if ownership is not None:
            reply = LookupReply(message.token, ownership)
            self.handle(lambda: send_reply(self.context, member, reply))


@when(
    "for {seconds:d} s the caller of its flow retransmits, and the other members are "
    "unsure"
)
def retransmit_while_away(context, seconds):
    context.away_agent = AwayAgent(context, 2)
    context.away_agent.run(seconds)


@then("at most {most:d} probes were sent in any {seconds:d} s")
def check_probe_rate(context, most, seconds):
    times = context.away_agent.probe_times
    assert times
    for start_s in times:
        assert sum(start_s <= t < start_s + seconds for t in times) <= most, times


@when("member {number:d} is back and holds the flow")
def return_agent(context, number):
    context.away_agent.is_away = False
    context.away_agent.run(4)


@then("its caller's packets are relayed to member {number:d}")
def check_relayed(context, number):
    send_unknown(context)
    addresses = {action.address for action in list_messages(context, Relay)}
    assert addresses == {get_member(number)}, context.actions
