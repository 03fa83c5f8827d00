import random

from behave import then, when
from steering_samples import ENDPOINT, get_member, make_entry, make_segment

from bramleystair.steering import (
    DeclineSlot,
    EntryChange,
    EntryChanged,
    EntryCondition,
    EntryWithdrawn,
    FlowLost,
    Load,
    LoadReport,
    LookupProbe,
    LookupReply,
    LookupRequest,
    OfferSlot,
    OpenFlow,
    OpenReply,
    Ownership,
    Refusal,
    Relay,
    ReturnPacket,
    Route,
    RoutingRules,
    SendMessage,
    ServerReport,
    ServerShutdown,
    ServerState,
    StoreRestored,
    Subscribe,
    Target,
    Urgency,
    decode_message,
    encode_message,
)
from bramleystair.steering._types import compute_service_id
from bramleystair.steering.agent import AgentSteering, AgentSteeringSettings
from bramleystair.steering.balancer import BalancerSteering, BalancerSteeringSettings

MEMBERS = 6
AGENT = get_member(0)
UNKNOWN_SENDER = ("10.9.9.9", 1)
BALANCERS = (("10.0.0.1", 7), ("10.0.0.2", 7), UNKNOWN_SENDER)


class Fuzzer:
    """Generate random events for a balancer and an agent, and record errors."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.now = 100.0
        self.errors = []
        self.tokens = [0]
        self.agent = AgentSteering(AGENT, "z", AgentSteeringSettings(), self.now)
        self.balancer = BalancerSteering(
            BalancerSteeringSettings(), random.Random(seed), "zone-0", "b"
        )
        route = Route("r", ENDPOINT, (Target("web", 1.0),))
        self.balancer.set_rules(RoutingRules(9, {ENDPOINT: route}))
        self.balancer.set_evacuated_zones(())
        self.set_members()

    def set_members(self):
        count = self.random.randrange(MEMBERS + 1)
        entries = [make_entry(n, f"zone-{n % 3}") for n in range(count)]
        changes = [
            EntryChange(
                self.random.choice((get_member(n), UNKNOWN_SENDER)),
                self.random.choice(tuple(EntryCondition)),
                1,
                5,
            )
            for n in range(self.random.randrange(3))
        ]
        self.balancer.set_members(entries, self.now, changes)

    def generate_segment(self):
        rng = self.random
        flow = bytes((rng.randrange(8), *b"\x40\x00\x07")) + ENDPOINT[:4]
        flow += bytes((0, rng.randrange(4))) + ENDPOINT[4:]
        segment = make_segment(
            flow,
            first=rng.random() < 0.4,
            returned=rng.random() < 0.3,
            sequence=rng.choice((0, 1, 2**32 - 1)),
            ack=rng.choice((0, 77, 2**32 - 1)),
            size=rng.choice((0, 9)),
        )
        segment.is_reset = rng.random() < 0.1
        segment.is_fin = rng.random() < 0.1
        return segment

    def generate_message(self):
        rng = self.random
        load = Load(
            rng.choice(tuple(ServerState)),
            rng.choice((0, 1, 65_535)),
            rng.choice((0, 5, 65_535)),
            rng.choice((0.0, 1e30)),
            rng.choice((0, 65_535)),
            rng.choice((0.0, 1e-30, 1e30)),
            *(rng.random() < 0.5 for _ in range(3)),
            pace=rng.choice((0.0, 0.5, 1.0)),
        )
        token, data = rng.choice(self.tokens), b"packet"
        flow = self.generate_segment().flow
        service_id = compute_service_id(rng.choice(("web", "api")))
        message = rng.choice(
            (
                OpenFlow(
                    token,
                    service_id,
                    rng.choice((0.0, 1e30)),
                    Urgency(rng.random() < 0.5, rng.choice((0, 2, 255))),
                    rng.choice((None, Urgency(True, 1))),
                    data,
                    rng.random() < 0.5,
                    rng.choice((0.0, 0.3, 1e30)),
                    rng.choice((0.0, 1e30)),
                ),
                OpenReply(token, rng.choice(tuple(Refusal)), load),
                Relay(data),
                LookupRequest(token, flow, 77),
                LookupProbe(token, data),
                LookupReply(token, rng.choice(tuple(Ownership))),
                ReturnPacket(data),
                Subscribe(rng.choice((0, 2**63))),
                LoadReport(load, rng.choice((0, 2**63))),
                StoreRestored(rng.choice((0, 2**63))),
                EntryChanged(rng.choice((0, 2**63)), 5, rng.random() < 0.5),
                EntryWithdrawn(),
                FlowLost(bytes(12), rng.choice((0, 2**32 - 1))),
                OfferSlot(),
                DeclineSlot(),
            )
        )
        encoded = bytearray(encode_message(message))
        if rng.random() < 0.2:
            encoded[rng.randrange(len(encoded))] = rng.randrange(256)
        return decode_message(bytes(encoded))

    def run(self, count):
        for _ in range(count):
            self.now += self.random.choice((0.0, 0.001, 0.05, 0.4, 3.0))
            try:
                self.record_tokens(self.generate_event()())
            except Exception as error:
                self.errors.append(repr(error))

    def record_tokens(self, actions):
        for action in actions or ():
            if isinstance(action, SendMessage):
                self.tokens.append(getattr(action.message, "token", 0))
        del self.tokens[:-20]

    def generate_event(self):
        segment, message = self.generate_segment(), self.generate_message()
        sender = self.random.choice((*BALANCERS, AGENT, get_member(3)))
        report = ServerReport(
            self.random.choice(("i-1", "i-2")),
            "web",
            "z",
            self.random.choice(tuple(ServerState)),
            self.random.choice((0, 1, 3)),
            self.random.choice((0.0, 3.0)),
            self.random.randrange(9),
            self.random.choice((0, 1, 10**12)),
        )
        shutdown = ServerShutdown("i-1", self.random.choice((None, 0, 1)))
        events = [
            lambda: self.balancer.run_timers(self.now),
            lambda: self.agent.run_timers(self.now),
            lambda: self.balancer.handle_segment(segment, self.now),
            lambda: self.balancer.handle_returned_packet(sender, segment, self.now),
            lambda: self.balancer.handle_members_confirmed(self.now),
            lambda: self.agent.handle_server_segment(segment, self.now),
            lambda: self.agent.handle_report(report, self.now),
            lambda: self.agent.remove_server(shutdown, self.now),
            lambda: self.agent.assume_ready("web", self.now),
        ]
        if self.random.random() < 0.05:
            events = [self.set_members]
        if message.is_ok():
            events += 4 * [
                lambda: self.send_to_agent(sender, message.unwrap(), segment),
                lambda: self.balancer.handle_message(
                    sender, message.unwrap(), self.now
                ),
            ]
        return self.random.choice(events)

    def send_to_agent(self, sender, message, segment):
        match message:
            case Relay():
                return self.agent.handle_relay(sender, segment, self.now)
            case OpenFlow():
                return self.agent.handle_open(sender, message, segment, self.now)
            case DeclineSlot():
                return self.agent.handle_decline(sender, self.now)
            case LookupProbe():
                return self.agent.handle_lookup_probe(
                    sender, message, segment, self.now
                )
            case LookupRequest():
                return self.agent.handle_lookup(sender, message, self.now)
            case Subscribe():
                return self.agent.handle_subscription(sender, message, self.now)

    def open_flow(self):
        """Open a flow through both nodes in the state that the events left behind."""
        self.now += 100
        entry = make_entry(0, "zone-0")
        self.balancer.set_members([entry], self.now)
        self.agent.handle_report(
            ServerReport("i-9", "web", "z", ServerState.READY, 2, 0.0, 9, 10**13),
            self.now,
        )
        segment = make_segment(first=True, sequence=5)
        report = LoadReport(Load(slots=2))
        self.balancer.handle_message(AGENT, report, self.now)
        actions = self.balancer.handle_segment(segment, self.now)
        (message,) = [
            action.message
            for action in actions
            if isinstance(action, SendMessage) and isinstance(action.message, OpenFlow)
        ]
        actions = self.agent.handle_open(BALANCERS[0], message, segment, self.now)
        return [
            action.message.refusal
            for action in actions
            if isinstance(action, SendMessage) and isinstance(action.message, OpenReply)
        ]


@when("a balancer and an agent handle {count:d} random events with seed {seed:d}")
def fuzz(context, count, seed):
    context.fuzzer = Fuzzer(seed)
    context.fuzzer.run(count)


@when("an agent whose load reports fail handles {count:d} random events with seed 1")
def fuzz_with_fault(context, count):
    context.fuzzer = Fuzzer(1)

    def fail(now):
        raise ZeroDivisionError

    context.fuzzer.agent._build_report = fail
    context.fuzzer.run(count)


@then("no handler raised an error")
def check_no_error(context):
    assert not context.fuzzer.errors, context.fuzzer.errors[:3]


@then("a handler raised an error")
def check_error(context):
    assert context.fuzzer.errors


@then("the balancer still opens a flow at the agent")
def check_flow_opens(context):
    assert context.fuzzer.open_flow() == [Refusal.NONE]
