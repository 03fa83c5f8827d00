import random
from collections import deque

import attrs
from behave import given, then, when
from steering_samples import ENDPOINT, FLOW, get_member, make_entry, make_segment

from bramleystair.steering import (
    ConfirmMembers,
    Decision,
    DeliverToCaller,
    DeliverToServer,
    LookupProbe,
    OpenFlow,
    Relay,
    ResetCaller,
    ReturnPacket,
    Route,
    RoutingRules,
    SendMessage,
    ServerReport,
    ServerState,
    ServiceLimits,
    Target,
)
from bramleystair.steering.agent import AgentSteering, AgentSteeringSettings
from bramleystair.steering.balancer import BalancerSteering, BalancerSteeringSettings

STEP_S = 0.01
SERVER_SEQUENCE = 5000


class Cluster:
    """Balancers and agents on one manual clock; datagrams arrive at once.

    Each server holds what was opened at it, and returns packets of other flows.
    """

    def __init__(self, balancers, agents):
        self.now = 100.0
        self.resets, self.decisions, self.delivered = [], [], []
        self.held = {}
        self._segments = {}
        self._queue = deque()
        route = Route("r", ENDPOINT, (Target("web", 1),))
        rules = RoutingRules(1, {ENDPOINT: route}, {"web": ServiceLimits("web")})
        self.agents = {}
        for number in range(agents):
            self._add_agent(number)
        self.balancers = {}
        for number in range(balancers):
            name = f"10.0.0.{number}"
            balancer = BalancerSteering(
                BalancerSteeringSettings(), random.Random(number), "z", name
            )
            self.balancers[name, 8] = balancer
            balancer.set_rules(rules)
            balancer.set_evacuated_zones(set())
            entries = [make_entry(n, "z") for n in range(agents)]
            self._execute((name, 8), balancer.set_members(entries, self.now))
        self.run(1.0)

    def _add_agent(self, number):
        settings = AgentSteeringSettings(heartbeat_s=0.8)
        agent = AgentSteering(get_member(number), "z", settings, self.now)
        agent.set_server_absent(self.now)
        self.agents[get_member(number)] = agent
        report = ServerReport(f"i-{number}", "web", "z", ServerState.READY, 8, 0, 1, 9)
        self._execute(get_member(number), agent.handle_report(report, self.now))

    def run(self, seconds):
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_S
            for address, node in [*self.balancers.items(), *self.agents.items()]:
                self._execute(address, node.run_timers(self.now))
            for agent in self.agents.values():
                agent._server_last_seen_s = self.now

    def send(self, balancer, segment):
        """Send a packet of a caller through a balancer."""
        self._segments[segment.data] = segment
        address = list(self.balancers)[balancer]
        self._execute(
            address, self.balancers[address].handle_segment(segment, self.now)
        )

    def answer(self, agent, segment):
        """Send a packet of a server."""
        steering = self.agents[agent]
        self._execute(agent, steering.handle_server_segment(segment, self.now))

    def _execute(self, node, actions):
        self._queue += [(node, action) for action in actions]
        if len(self._queue) > len(actions):
            return
        while self._queue:
            self._execute_one(*self._queue[0])
            self._queue.popleft()

    def _execute_one(self, node, action):
        match action:
            case SendMessage(address, message):
                self._execute(address, self._handle(node, address, message))
            case ResetCaller():
                self.resets.append((self.now, node, action))
            case ConfirmMembers():
                balancer = self.balancers[node]
                self._execute(node, balancer.handle_members_confirmed(self.now))
            case DeliverToServer(data):
                self._serve(node, self._segments[data])
            case Decision():
                self.decisions.append((self.now, node, action))
            case DeliverToCaller():
                pass

    def _serve(self, agent, segment):
        if segment.is_syn:
            self.held[segment.flow] = agent
            answer = make_segment(
                segment.flow, first=True, sequence=SERVER_SEQUENCE, ack=1
            )
            self.answer(agent, answer)
        elif self.held.get(segment.flow) == agent:
            self.delivered.append((self.now, segment))
        else:
            returned = attrs.evolve(segment, is_returned=True)
            self.answer(agent, returned)

    def _handle(self, sender, address, message):
        if address in self.balancers:
            balancer = self.balancers[address]
            if isinstance(message, ReturnPacket):
                segment = self._segments[message.data]
                return balancer.handle_returned_packet(sender, segment, self.now)
            return balancer.handle_message(sender, message, self.now)
        agent = self.agents[address]
        segment = self._segments.get(getattr(message, "data", None))
        match message:
            case Relay():
                return agent.handle_relay(sender, segment, self.now)
            case OpenFlow():
                return agent.handle_open(sender, message, segment, self.now)
            case LookupProbe():
                return agent.handle_lookup_probe(sender, message, segment, self.now)
        match type(message).__name__:
            case "LookupRequest":
                return agent.handle_lookup(sender, message, self.now)
            case "Subscribe":
                return agent.handle_subscription(sender, message, self.now)
            case "DeclineSlot":
                return agent.handle_decline(sender, self.now)
        return ()


PACKET_BYTES = 1200


@given("{balancers:d} balancers, {agents:d} agents and an open flow")
def create(context, balancers, agents):
    context.cluster = cluster = Cluster(balancers, agents)
    context.sequence = 1_000
    cluster.send(0, make_segment(first=True, sequence=context.sequence))
    context.sequence += 1
    context.acknowledgement = SERVER_SEQUENCE + 1
    send_caller_packet(context, 0)
    cluster.run(0.1)
    respond(context, 200)
    send_caller_packet(context, 0)
    # Until the balancer has settled the opening.
    cluster.run(2.0)
    assert len(cluster.delivered) == 2


def make_next(context, size=PACKET_BYTES):
    return make_segment(
        sequence=context.sequence, ack=context.acknowledgement, size=size
    )


def send_caller_packet(context, balancer):
    context.cluster.send(balancer, make_next(context))
    context.sequence += PACKET_BYTES


def respond(context, size):
    cluster = context.cluster
    packet = make_segment(sequence=context.acknowledgement, size=size)
    cluster.answer(cluster.held[FLOW], packet)
    context.acknowledgement += size


@when("a packet of the caller is delayed")
def delay(context):
    context.late = make_next(context)
    context.sequence += PACKET_BYTES


@when("the caller uploads {count:d} packets through balancer {balancer:d}")
def upload(context, count, balancer):
    for _ in range(count):
        send_caller_packet(context, balancer)
        context.cluster.run(0.01)


@when("the server responds with {count:d} packets through balancer {balancer:d}")
def download(context, count, balancer):
    for _ in range(count):
        respond(context, PACKET_BYTES)
        context.cluster.send(balancer, make_next(context, 0))
        context.cluster.run(0.01)


@when("the delayed packet arrives at balancer {balancer:d}")
def deliver_late(context, balancer):
    context.cluster.send(balancer, context.late)
    context.cluster.run(0.05)


@when("the caller sends a request through balancer {balancer:d}")
def send_request(context, balancer):
    context.request = make_next(context)
    send_caller_packet(context, balancer)
    context.cluster.run(0.3)


@then("the request reaches the server, and the caller is not reset")
def check_request(context):
    cluster = context.cluster
    reasons = [
        (round(time - 100, 2), d.step, d.outcome, dict(d.inputs))
        for time, _, d in cluster.decisions
        if d.step in ("lookup", "reset", "owner_lost", "returned")
    ]
    assert not cluster.resets, reasons
    segments = [segment for _, segment in cluster.delivered]
    assert context.request in segments, reasons
