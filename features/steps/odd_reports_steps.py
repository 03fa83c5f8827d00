import attrs
from behave import given, then, when
from steering_samples import FLOW, make_segment
from steering_steps import (
    AGENT,
    BALANCER,
    FIRST_SEQUENCE,
    check_refusal,
    check_taken,
    open_flow,
)

from bramleystair.steering import (
    LookupRequest,
    OpenFlow,
    OpenReply,
    Refusal,
    ResetCaller,
    ServerReport,
    ServerShutdown,
    ServerState,
    Urgency,
)
from bramleystair.steering._types import compute_service_id
from bramleystair.steering.agent import AgentSteering, AgentSteeringSettings

HEARTBEAT_S = 0.8
SERVER = ServerReport("i-1", "web", "z", ServerState.READY, 8, 0.0, 10, 1000)
# Fields in which the reports of another writer differ.
CONTRADICTIONS = {
    "another id": {"server": "i-2", "started_ms": 9000, "sequence": 1},
    "another id and draining": {
        "server": "i-2",
        "started_ms": 9000,
        "sequence": 1,
        "state": ServerState.DRAINING,
    },
    "another id and cold": {
        "server": "i-2",
        "started_ms": 9000,
        "sequence": 1,
        "cold_left_s": 3.0,
    },
    "another id and a high sequence number": {
        "server": "i-2",
        "started_ms": 9000,
        "sequence": 700,
    },
    "a later start": {"started_ms": 9000, "sequence": 1},
    "an earlier start": {"started_ms": 10, "sequence": 1},
    "another service": {
        "server": "i-2",
        "started_ms": 9000,
        "sequence": 1,
        "service": "api",
    },
    "a sequence number of 1000000": {"sequence": 1_000_000},
    "a slightly higher sequence number": {"sequence": 23},
}


def get_flow(number):
    return bytes((number,)) + FLOW[1:]


def make_other(context, contradiction):
    """Return the next report of another writer."""
    context.other_count += 1
    if contradiction == "changing ids":
        return attrs.evolve(SERVER, server=f"x-{context.other_count}", sequence=1)
    report = attrs.evolve(SERVER, **CONTRADICTIONS[contradiction])
    return attrs.evolve(report, sequence=report.sequence + context.other_count - 1)


def handle(context, actions):
    context.actions = actions
    resets = [action for action in actions if isinstance(action, ResetCaller)]
    context.resets += [(action.flow, action.sequence) for action in resets]


def send_report(context, report):
    handle(context, context.agent.handle_report(report, context.now))


def send_own_report(context):
    context.sequence += 1
    send_report(context, attrs.evolve(SERVER, sequence=context.sequence))


def send_server_packets(context):
    for number in range(context.flow_count):
        segment = make_segment(get_flow(number), sequence=2000, size=9)
        handle(context, context.agent.handle_server_segment(segment, context.now))


def play(context, seconds, periods):
    """Call the functions of `periods` at their periods, and run the timers."""
    end = context.now + seconds
    due = [[context.now + period, period, call] for period, call in periods]
    while context.now < end:
        context.now += 0.05
        for entry in due:
            if context.now >= entry[0]:
                entry[0] += entry[1]
                entry[2]()
        handle(context, context.agent.run_timers(context.now))


@given("an agent with a server that holds {count:d} flows")
def create_agent_with_flows(context, count):
    context.now = 100.0
    context.sequence, context.other_count = SERVER.sequence, 0
    context.resets, context.flow_count = [], count
    settings = AgentSteeringSettings(heartbeat_s=HEARTBEAT_S)
    context.agent = AgentSteering(AGENT, "z", settings, context.now)
    send_own_report(context)
    for number in range(count):
        open_numbered_flow(context, get_flow(number))
    own = (HEARTBEAT_S, lambda: send_own_report(context))
    play(context, 3.0, [own, (1.0, lambda: send_server_packets(context))])
    send_own_report(context)


def open_numbered_flow(context, flow):
    message = attrs.evolve(make_open_message(), token=9)
    first = make_segment(flow, first=True, sequence=FIRST_SEQUENCE)
    agent = context.agent
    agent.handle_open(BALANCER, message, first, context.now)
    answer = make_segment(flow, first=True, sequence=1000, ack=FIRST_SEQUENCE + 1)
    agent.handle_server_segment(answer, context.now)
    last = make_segment(flow, sequence=FIRST_SEQUENCE + 1, ack=1001)
    agent.handle_relay(BALANCER, last, context.now)
    packet = make_segment(flow, sequence=1001, size=9)
    agent.handle_server_segment(packet, context.now)


def make_open_message():
    return OpenFlow(7, compute_service_id("web"), 0.0, Urgency(), None, b"")


@when(
    "for {seconds:g} s the server reports and another writer reports {contradiction} "
    "each {period:g} s"
)
def report_both(context, seconds, contradiction, period):
    own = (HEARTBEAT_S, lambda: send_own_report(context))
    other = (period, lambda: send_report(context, make_other(context, contradiction)))
    play(context, seconds, [own, other])
    # The state after a report of the other writer counts as well.
    send_report(context, make_other(context, contradiction))


@when("for {seconds:g} s only another writer reports {contradiction} each {period:g} s")
def report_other(context, seconds, contradiction, period):
    other = (period, lambda: send_report(context, make_other(context, contradiction)))
    play(context, seconds, [other])


@when("{seconds:g} s after its last report another server reports with {contradiction}")
def report_successor(context, seconds, contradiction):
    play(context, seconds, [])
    context.contradiction = contradiction
    send_report(context, make_other(context, contradiction))


@when("for {seconds:g} s the other server reports")
def report_successor_again(context, seconds):
    other = (
        HEARTBEAT_S,
        lambda: send_report(context, make_other(context, context.contradiction)),
    )
    play(context, seconds, [other])


@when("for {seconds:g} s the server reports")
def report_own(context, seconds):
    play(context, seconds, [(HEARTBEAT_S, lambda: send_own_report(context))])


@when("another writer reports {contradiction} once")
def report_other_once(context, contradiction):
    send_report(context, make_other(context, contradiction))


@when("for {seconds:g} s the server reports that it drains")
def report_drain(context, seconds):
    def send():
        context.sequence += 1
        report = attrs.evolve(SERVER, sequence=context.sequence)
        send_report(context, attrs.evolve(report, state=ServerState.DRAINING))

    play(context, seconds, [(HEARTBEAT_S, send)])


@when("a report of the server from before its drain arrives")
def send_report_before_drain(context):
    send_report(context, attrs.evolve(SERVER, sequence=SERVER.sequence + 1))


@when(
    "for {seconds:g} s the server reports that it drains, and another writer that it "
    "is ready each {period:g} s"
)
def report_drain_and_ready(context, seconds, period):
    start = context.now
    context.admitted_s = []

    def send_drain():
        context.sequence += 1
        report = attrs.evolve(SERVER, sequence=context.sequence)
        send_report(context, attrs.evolve(report, state=ServerState.DRAINING))

    def send_ready():
        context.other_count += 1
        sequence = context.sequence + context.other_count
        send_report(context, attrs.evolve(SERVER, sequence=sequence))

    def try_open():
        context.flow_number = getattr(context, "flow_number", 100) + 1
        flow = get_flow(context.flow_number)
        first = make_segment(flow, first=True, sequence=FIRST_SEQUENCE)
        agent = context.agent
        for action in agent.handle_open(
            BALANCER, make_open_message(), first, context.now
        ):
            message = getattr(action, "message", None)
            if isinstance(message, OpenReply) and message.refusal is Refusal.NONE:
                context.admitted_s.append(round(context.now - start - HEARTBEAT_S, 2))
        answer = make_segment(flow, first=True, sequence=1000, ack=FIRST_SEQUENCE + 1)
        agent.handle_server_segment(answer, context.now)
        end = make_segment(flow, sequence=FIRST_SEQUENCE + 1, ack=1001, fin=True)
        agent.handle_relay(BALANCER, end, context.now)

    play(
        context,
        seconds,
        [(HEARTBEAT_S, send_drain), (period, send_ready), (0.2, try_open)],
    )


@then(
    "no new flow was admitted later than {seconds:g} s after the first of these reports"
)
def check_admission_times(context, seconds):
    late = [second for second in context.admitted_s if second > seconds]
    assert not late, late


@when("a balancer looks up a flow that the agent has not seen")
def look_up(context):
    message = LookupRequest(5, get_flow(77), 7)
    context.actions = context.agent.handle_lookup(BALANCER, message, context.now)


@given("an agent that has just started beside a server that runs")
def create_new_agent(context):
    context.now = 100.0
    context.sequence, context.other_count = SERVER.sequence, 0
    context.resets, context.flow_count = [], 0
    settings = AgentSteeringSettings(heartbeat_s=HEARTBEAT_S)
    context.agent = AgentSteering(AGENT, "z", settings, context.now)


@when("{seconds:g} s pass without a report")
def wait(context, seconds):
    play(context, seconds, [])


@when("the server sends a packet of each flow")
def send_packets(context):
    send_server_packets(context)


@when("the server returns packets of {count:d} flows")
def return_packets(context, count):
    for number in range(count):
        flow = get_flow(number)
        packet = make_segment(flow, sequence=FIRST_SEQUENCE + 1, ack=1010, size=5)
        handle(context, context.agent.handle_relay(BALANCER, packet, context.now))
        returned = attrs.evolve(packet, is_returned=True)
        handle(context, context.agent.handle_server_segment(returned, context.now))


@when("the former server's last report arrives again")
def repeat_own_report(context):
    send_report(context, attrs.evolve(SERVER, sequence=context.sequence))


@when("the server reports its shutdown")
@when("another writer reports the server's shutdown")
def report_shutdown(context):
    shutdown = ServerShutdown(SERVER.server)
    assert context.agent.knows_server(shutdown)
    handle(context, context.agent.remove_server(shutdown, context.now))


@when("one late report of it arrives")
def send_late_own_report(context):
    play(context, 0.2, [])
    send_own_report(context)


@when("nobody listens at the server's address")
def stop_listening(context):
    context.agent.set_server_absent(context.now)
    context.agent.check_exit(context.now)


@when("for {seconds:g} s the server {event}")
def continue_after_shutdown(context, seconds, event):
    is_sending = event == "sends packets"
    calls = [(1.0, lambda: send_server_packets(context))] if is_sending else []
    play(context, seconds, calls)
    context.agent.check_exit(context.now)


@then("no caller was reset")
def check_no_reset(context):
    assert not context.resets, context.resets


@then("the callers of the other {count:d} flows were reset")
def check_resets(context, count):
    total = context.flow_count
    expected = [(get_flow(number), 1001) for number in range(total - count, total)]
    assert sorted(context.resets) == expected, context.resets


@then("the agent uses its first server")
def check_first_server(context):
    entry = context.agent.build_entry()
    assert (entry.server, entry.started_ms) == ("i-1", 1000), entry
    assert entry.state is ServerState.READY


@then("the agent uses the other server")
def check_other_server(context):
    entry = context.agent.build_entry()
    assert (entry.server, entry.started_ms) != ("i-1", 1000), entry


@then("a new flow is admitted")
def check_admitted(context):
    open_flow(context, "web")
    check_taken(context)


@then("a new flow is refused as {reason}")
def check_refused(context, reason):
    open_flow(context, "web")
    check_refusal(context, reason)


@then("the server counts as cold")
def check_cold(context):
    assert context.agent.build_load(context.now).is_cold


@then("the agent publishes an entry")
def check_entry(context):
    assert context.agent.build_entry() is not None


@then("the agent publishes no entry")
def check_no_entry(context):
    assert context.agent.build_entry() is None


@then("a shutdown report of {server} with the start {start} is {outcome}")
def check_shutdown(context, server, start, outcome):
    started_ms = None if start == "unknown" else int(start)
    is_known = context.agent.knows_server(ServerShutdown(server, started_ms))
    assert is_known == (outcome == "accepted")


@when("the caller of the last flow closes it")
def close_last(context):
    flow = get_flow(context.flow_count - 1)
    packet = make_segment(flow, sequence=FIRST_SEQUENCE + 1, ack=1010, fin=True)
    handle(context, context.agent.handle_relay(BALANCER, packet, context.now))


@then("the caller of the third flow alone was reset")
def check_third_reset(context):
    assert context.resets == [(get_flow(2), 1001)], context.resets
