import random
import struct
from collections import Counter, deque

import attrs
from behave import given, then, when
from steering_samples import FLOW, get_member, make_entry, make_segment
from waiting_steps import LEVELS, list_sent, make_flow, make_rules

from bramleystair.actions import Count, Observe
from bramleystair.model._events import EventQueue
from bramleystair.model._packets import (
    ACK,
    FIN,
    RST,
    SYN,
    decode_packet,
    encode_packet,
    is_rejection,
)
from bramleystair.model._servers import Server, ServerSettings
from bramleystair.steering import (
    Decision,
    DeliverToCaller,
    DeliverToServer,
    Load,
    LoadReport,
    OpenFlow,
    OpenReply,
    Refusal,
    RequestGateSettings,
    ResetCaller,
    ReturnPacket,
    SendMessage,
    ServerReport,
    ServerShutdown,
    ServerState,
    SteeringOptions,
    Urgency,
    decode_message,
    encode_message,
)
from bramleystair.steering._options import PaceSettings
from bramleystair.steering._request_gate import Outcome, RequestGate, RequestLevel
from bramleystair.steering._types import compute_service_id
from bramleystair.steering.agent import AgentSteering, AgentSteeringSettings
from bramleystair.steering.balancer import BalancerSteering, BalancerSteeringSettings

BALANCER, AGENT = ("10.0.0.1", 7), ("10.0.1.1", 8)
SERVICE_TIME_S, OBJECTIVE_S = 0.02, 0.3
URGENT, OTHER, UNKNOWN = 1, 2, 9
ON = SteeringOptions(request_gate=RequestGateSettings(max_slots=1))
HEARTBEAT_S, TIMER_PERIOD_S = 0.8, 0.001
FIRST_PORT, FIRST_SEQUENCE, SERVER_SEQUENCE = 440, 500, 7000
REQUEST_BYTES = 100


class EqualTimes:
    """Random source that makes all service times equal."""

    def lognormvariate(self, mean, deviation):
        return 1.0

    def randrange(self, end):
        return SERVER_SEQUENCE


class Fixture:
    """An agent, its server and callers with open flows, on a manual clock."""

    def __init__(self, options):
        self.options = options
        self.events = EventQueue()
        settings = ServerSettings(queue=4, slots=1, cold_s=0.0, has_rejections=True)
        self.server = Server(
            "s", settings, self.events, EqualTimes(), SERVICE_TIME_S, self.receive
        )
        self.state, self.is_reporting, self.is_hanging = ServerState.READY, True, False
        self.sequences, self.sent_s, self.latencies_s = {}, {}, []
        self.idle = {priority: deque() for priority in (URGENT, OTHER, UNKNOWN)}
        self.delivered, self.rejected, self.sent = [], [], []
        self.counts, self.held_s = Counter(), []
        self.resets, self.returned, self.decisions = [], [], []
        self.most_held = 0
        self.next_report_s = 0.0
        self.start_agent()
        self.run_timers()
        self.prepare_flows()

    @property
    def held_count(self):
        return self.agent._requests.held_count

    def start_agent(self):
        settings = AgentSteeringSettings(heartbeat_s=HEARTBEAT_S, options=self.options)
        self.agent = AgentSteering(AGENT, "z", settings, self.events.now)
        self.report()

    def report(self, server="i-1", started_ms=1000):
        sequence = 10 + round(self.events.now / HEARTBEAT_S)
        report = ServerReport(
            server, "web", "z", self.state, 1, 0.0, sequence, started_ms
        )
        self.execute(self.agent.handle_report(report, self.events.now))

    def run_timers(self):
        now = self.events.now
        if now >= self.next_report_s and self.is_reporting:
            self.next_report_s = now + HEARTBEAT_S
            self.report()
        if self.agent.compute_wait(now) <= 0:
            self.execute(self.agent.run_timers(now))
        self.events.call_after(TIMER_PERIOD_S, self.run_timers)

    def run(self, seconds):
        self.events.run_until(self.events.now + seconds)

    def execute(self, actions):
        self.most_held = max(self.most_held, self.held_count)
        for action in actions:
            match action:
                case DeliverToServer(data):
                    self.delivered.append(data)
                    if not self.is_hanging:
                        self.events.call_after(
                            0, lambda data=data: self.server.handle_packet(data)
                        )
                case DeliverToCaller(flow, data):
                    self.answer(flow, data)
                case ResetCaller():
                    self.resets.append(action.flow)
                case SendMessage(_, OpenReply(_, refusal)):
                    self.refusal = refusal
                case SendMessage(_, ReturnPacket(data)):
                    self.returned.append(decode_packet(data).flow)
                case Count(name, reason, amount):
                    self.counts[name, reason] += amount
                case Observe("request_hold", seconds):
                    self.held_s.append(seconds)
                case Decision():
                    self.decisions.append(action)

    def receive(self, data):
        segment = decode_packet(data)
        self.execute(self.agent.handle_server_segment(segment, self.events.now))

    def answer(self, flow, data):
        if not decode_packet(data).has_payload:
            return
        priority = get_priority(flow)
        self.idle[priority].append(flow)
        if is_rejection(data):
            self.rejected.append(priority)
        else:
            latency_s = self.events.now - self.sent_s[flow]
            self.latencies_s.append((priority, latency_s))

    def create_flow(self, priority):
        flow = struct.pack("!I", 0x64400000 + len(self.sequences)) + FLOW[4:10]
        flow += struct.pack("!H", FIRST_PORT + priority)
        self.sequences[flow] = FIRST_SEQUENCE
        return flow

    def open_flow(self, priority, waited_s=0.0):
        flow = self.create_flow(priority)
        first = encode_packet(flow, SYN, FIRST_SEQUENCE, 0)
        message = OpenFlow(
            0,
            compute_service_id("web"),
            0.0,
            Urgency(False, priority),
            None,
            first,
            objective_s=0.0 if priority == UNKNOWN else OBJECTIVE_S,
            waited_s=waited_s,
        )
        segment = decode_packet(first)
        actions = self.agent.handle_open(BALANCER, message, segment, self.events.now)
        self.execute(actions)
        self.run(0)
        return flow

    def relay(self, data):
        segment = decode_packet(data)
        self.execute(self.agent.handle_relay(BALANCER, segment, self.events.now))

    def send(self, flow, flags=ACK, size=REQUEST_BYTES):
        sequence = self.sequences[flow] + 1
        self.sequences[flow] += size
        self.relay(encode_packet(flow, flags, sequence, SERVER_SEQUENCE + 1, size))

    def request_on(self, flow):
        self.sent_s[flow] = self.events.now
        sequence = self.sequences[flow] + 1
        self.last = (
            flow,
            encode_packet(flow, ACK, sequence, SERVER_SEQUENCE + 1, REQUEST_BYTES),
        )
        self.sent.append(self.last)
        self.send(flow)
        self.run(0)

    def request(self, priority):
        self.request_on(self.idle[priority].popleft())

    def prepare_flows(self):
        """Let the server answer requests, so that the agent knows flows and levels."""
        for priority, flows in self.idle.items():
            flow = self.open_flow(priority)
            self.request_on(flow)
            for _ in range(40):
                self.run(SERVICE_TIME_S + TIMER_PERIOD_S)
                flow = self.create_flow(priority)
                self.server._flows[flow] = SERVER_SEQUENCE
                self.request_on(flow)
            self.run(0.1)
            assert len(flows) == 41
        self.clear()

    def clear(self):
        for record in (self.delivered, self.sent, self.counts, self.latencies_s):
            record.clear()
        self.rejected.clear()
        self.held_s.clear()
        self.most_held = 0

    def list_requests(self):
        segments = map(decode_packet, self.delivered)
        return [segment.flow for segment in segments if segment.has_payload]


def get_priority(flow):
    return struct.unpack("!H", flow[10:])[0] - FIRST_PORT


@given("an agent {state} a request gate")
def create_agent(context, state):
    context.gate = Fixture(ON if state == "with" else SteeringOptions())


@given("an agent with a request gate and the pace")
def create_paced_agent(context):
    options = attrs.evolve(ON, pace=PaceSettings(max_slots=1))
    context.gate = Fixture(options)
    assert context.gate.agent._admission.pace.is_full


@given("an agent with a request gate that knows the length of the server's queue")
def create_informed_agent(context):
    create_agent(context, "with")
    fill_queue(context)
    context.gate.run(1)
    assert context.gate.rejected and not context.gate.held_count
    context.gate.clear()


@when("the server's queue is filled with other requests")
def fill_queue(context):
    context.gate.rejected.clear()
    while not context.gate.rejected:
        context.gate.request(OTHER)


@when("{count:d} {kind} request arrives")
@when("{count:d} {kind} requests arrive")
def send_requests(context, count, kind):
    for _ in range(count):
        context.gate.request(URGENT if kind == "urgent" else OTHER)


@when("{count:d} requests of an unknown route arrive")
def send_unknown(context, count):
    for _ in range(count):
        context.gate.request(UNKNOWN)


@when("{urgent:d} urgent and {other:d} other requests per second arrive for 3 s")
def overload(context, urgent, other):
    gate = context.gate
    rng = random.Random(2)
    times = [(n / urgent + rng.uniform(0, 0.02), URGENT) for n in range(3 * urgent)]
    times += [(rng.uniform(0, 3), OTHER) for _ in range(3 * other)]
    start_s = gate.events.now
    for time_s, priority in sorted(times):
        gate.run(max(0.0, start_s + time_s - gate.events.now))
        gate.request(priority)


@when("the server runs for {seconds:g} s")
def pass_time(context, seconds):
    context.gate.run(seconds)


@when("the server hangs")
def hang(context):
    context.gate.is_hanging = True


@when("the last caller sends its packet again")
def retransmit(context):
    context.gate.relay(context.gate.last[1])


@when("the last caller sends an acknowledgement, a second packet and a FIN")
def send_more(context):
    gate = context.gate
    gate.delivered.clear()
    gate.send(gate.last[0], size=0)
    gate.send(gate.last[0])
    gate.send(gate.last[0], flags=ACK | FIN, size=0)


@when("the last caller resets its flow")
def reset_flow(context):
    context.gate.send(context.gate.last[0], flags=RST, size=0)


@when("a flow is admitted whose caller waited {seconds:g} s")
def admit_late(context, seconds):
    context.admitted = context.gate.open_flow(OTHER, seconds)


@when("its caller sends the first request")
def send_first(context):
    context.gate.request_on(context.admitted)


@when("the agent is replaced by a new process")
def restart_agent(context):
    context.gate.start_agent()


@when("the agent is stopped as planned")
def stop_agent(context):
    context.gate.execute(context.gate.agent.stop(context.gate.events.now))


@when("the server reports that it exits")
def report_exit(context):
    gate = context.gate
    shutdown = ServerShutdown("i-1", 1000)
    gate.execute(gate.agent.remove_server(shutdown, gate.events.now))


@when("the server drains")
def drain(context):
    context.gate.state = ServerState.DRAINING
    context.gate.run(HEARTBEAT_S)


@when("another server is about to replace the server")
def report_other(context):
    gate = context.gate
    gate.is_reporting = False
    gate.run(1.5 * HEARTBEAT_S)
    gate.report("i-2", 9000)
    gate.run(0.5 * HEARTBEAT_S)


@when("another server reports instead of it")
def replace_server(context):
    gate = context.gate
    gate.server.crash()
    gate.server.restart()
    gate.report("i-2", 9000)
    gate.run(0)


@then("the server has received {other:d} other requests and {urgent:d} urgent request")
def check_received(context, other, urgent):
    received = Counter(map(get_priority, context.gate.list_requests()))
    assert received == {OTHER: other, URGENT: urgent}, received


@then("nothing is held")
def check_nothing_held(context):
    assert context.gate.held_count == 0


@then("the urgent request is {state}")
def check_urgent_held(context, state):
    is_delivered = context.gate.last[0] in context.gate.list_requests()
    assert is_delivered == (state == "delivered")


@then("no urgent request was rejected")
def check_no_urgent_rejected(context):
    rejected = Counter(context.gate.rejected)
    assert not rejected[URGENT], rejected


@then("some urgent requests were rejected")
def check_urgent_rejected(context):
    assert URGENT in context.gate.rejected


@then("at least {count:d} other requests were answered")
def check_answered(context, count):
    answered = Counter(priority for priority, _ in context.gate.latencies_s)
    assert answered[OTHER] >= count, answered


@then("each urgent request was answered within {seconds:g} s")
def check_latency(context, seconds):
    context.gate.run(seconds)
    times_s = [s for priority, s in context.gate.latencies_s if priority == URGENT]
    assert len(times_s) == 60 and max(times_s) <= seconds, max(times_s)


@then("at most {count:d} requests were held at a time")
def check_most_held(context, count):
    assert 0 < context.gate.most_held <= count, context.gate.most_held


@then("no request was held for more than {seconds:g} s")
def check_hold(context, seconds):
    context.gate.run(seconds + TIMER_PERIOD_S)
    assert 0 < max(context.gate.held_s) <= seconds + 2 * TIMER_PERIOD_S


@then("an other request is answered within {seconds:g} s")
def check_recovery(context, seconds):
    context.gate.latencies_s.clear()
    context.gate.request(OTHER)
    context.gate.run(seconds)
    assert len(context.gate.latencies_s) == 1


@then("the server has received each request")
@then("the server's requests were delivered once each")
def check_delivered_once(context):
    sent = Counter(data for _, data in context.gate.sent)
    data = [d for d in context.gate.delivered if decode_packet(d).has_payload]
    assert Counter(data) == sent, (len(data), len(context.gate.sent))


@then("{count:d} of them are counted as {reason}")
def check_passed(context, count, reason):
    assert context.gate.counts["request_passed", reason] == count, context.gate.counts


@then("an urgent flow is {outcome}")
def check_admission(context, outcome):
    context.gate.open_flow(URGENT)
    expected = Refusal.NONE if outcome == "admitted" else Refusal.BUSY
    assert context.gate.refusal is expected, context.gate.refusal


@then("the server has received its request")
def check_last_received(context):
    assert context.gate.list_requests()[-1] == context.gate.last[0]


@then("the acknowledgement, the request, the second packet and the FIN are delivered")
def check_order(context):
    segments = [decode_packet(data) for data in context.gate.delivered]
    assert {segment.flow for segment in segments} == {context.gate.last[0]}
    kinds = [(s.has_payload, s.is_fin) for s in segments]
    assert kinds == [(False, False), (True, False), (True, False), (False, True)]
    assert segments[1].sequence < segments[2].sequence


@then("the last request is discarded with a counter and a log line")
def check_discarded(context):
    gate = context.gate
    assert gate.last[0] not in gate.list_requests()
    assert gate.counts["request_discarded", "flow_ended"] == 1
    assert gate.decisions[-1].outcome == "discarded"


@then("no caller with a held request was reset")
def check_no_reset(context):
    assert not context.gate.resets


@then("the balancer gets back the packets of {count:d} flows, which are not reset")
def check_returned(context, count):
    assert len(set(context.gate.returned)) == count
    assert not set(context.gate.returned) & set(context.gate.resets)


@given("a full table of held requests with an objective of 1 s")
def fill_table(context):
    settings = RequestGateSettings(max_slots=1, max_held=2)
    context.held_table = RequestGate(settings, lambda slots, now: 0.0)
    context.held_table.set_slots(1)
    outcomes = [submit(context, number, 1.0)[0] for number in range(4)]
    held = [Outcome.HELD] * 2
    assert outcomes == [Outcome.DELIVERED, *held, Outcome.TABLE_FULL]


def submit(context, number, objective_s):
    flow = bytes((number,)) + FLOW[1:]
    segment = make_segment(flow, sequence=9, size=40)
    return context.held_table.submit(segment, RequestLevel(OTHER, objective_s), 100.0)


@when("a request with an objective of {seconds:g} s arrives at the table")
def submit_other(context, seconds):
    context.decision = submit(context, 9, seconds)


@then("it is held and the last held request is displaced")
def check_displaced(context):
    outcome, displaced = context.decision
    assert outcome is Outcome.HELD and displaced.flow[0] == 2
    assert context.held_table.held_count == 2


@then("a first packet with an objective or a wait of nan, inf or -1 is refused")
def check_finite_times(context):
    for number in (float("nan"), float("inf"), -1.0):
        for times_s in ((number, 0.0), (0.3, number)):
            message = OpenFlow(
                3, 2**60, 0.0, Urgency(), None, b"packet", False, *times_s
            )
            assert decode_message(encode_message(message)).is_err(), message
    for is_last in (False, True):
        message = OpenFlow(
            3, 2**60, 0.0, Urgency(), None, b"packet", is_last, 0.5, 0.25
        )
        assert decode_message(encode_message(message)).unwrap() == message


@then("a first packet without times is encoded as before the request gate")
def check_layout(context):
    for kind, is_last in ((1, False), (17, True)):
        message = OpenFlow(3, 2**60, 0.5, Urgency(), None, b"packet", is_last)
        head = struct.pack("!BIQfBB", kind, 3, 2**60, 0.5, 0, 0xFF)
        assert encode_message(message) == head + b"packet"
        assert decode_message(head + b"packet").unwrap() == message


@then("a first packet with an objective that is cut before its end is refused")
def check_cut_times(context):
    message = OpenFlow(3, 2**60, 0.0, Urgency(), None, b"", False, 0.5, 0.25)
    data = encode_message(message)
    assert decode_message(data).is_ok()
    assert all(decode_message(data[:end]).is_err() for end in range(len(data)))


@given("a balancer whose request gate applies beside servers of up to {slots:d} slots")
def create_timed_balancer(context, slots):
    options = SteeringOptions(request_gate=RequestGateSettings(max_slots=slots))
    settings = BalancerSteeringSettings(options=options)
    context.balancer = BalancerSteering(settings, random.Random(4), "z")
    context.balancer.set_rules(make_rules(1, LEVELS))


@when("a first packet arrives for a member with 2 slots")
def open_timed(context):
    context.balancer.set_members([make_entry(1, "z")], 50.0)
    context.balancer.set_evacuated_zones(())
    context.balancer.run_timers(50.0)
    context.balancer.handle_message(get_member(1), LoadReport(Load()), 50.0)
    segment = make_segment(make_flow("feed", 1), first=True)
    actions = context.balancer.handle_segment(segment, 50.0)
    ((_, context.opened),) = list_sent(actions, OpenFlow)


@then("the agent is told {objective:g} s as objective")
def check_told_objective(context, objective):
    assert context.opened.objective_s == objective, context.opened
    kind = 18 if objective else 1
    assert encode_message(context.opened)[0] == kind
