import random
from collections import deque

from behave import given, then, when

from bramleystair.actions import Send
from bramleystair.replicas import (
    AgentReplica,
    BalancerReplica,
    MessageArrived,
    Peer,
    PlatformObjects,
    ReplicaSettings,
    Tick,
)
from bramleystair.tables import Member, Protocol, Table, encode_object
from bramleystair.wire import StoredObject, decode, encode

TICK_S = 0.25
SERVICE = "feed"


class Carrier:
    """Replicas on a manual clock with a carrier of encoded messages between them."""

    def __init__(self, balancers, agents, zones, seed):
        self.random = random.Random(seed)
        self.now = 100.0
        self.queue = deque()
        self.actions = []
        self.replicas = {}
        seeds = tuple(Peer(f"b{i}", "127.0.0.1", 1000 + i) for i in range(2))
        for i in range(balancers):
            self.replicas[f"b{i}"] = BalancerReplica(
                f"b{i}",
                f"z{i % zones}",
                f"r{i % 2}",
                1,
                seeds,
                ReplicaSettings(port=1000 + i),
                random.Random(seed + i),
            )
        for i in range(agents):
            self.replicas[f"s{i}"] = AgentReplica(
                f"s{i}",
                f"z{i % zones}",
                1,
                (SERVICE,),
                ReplicaSettings(port=9000 + i, seeds=seeds),
                random.Random(seed + 1000 + i),
            )

    @property
    def balancers(self):
        return {n: r for n, r in self.replicas.items() if n.startswith("b")}

    def give(self, name, event):
        for action in self.replicas[name].handle(event, self.now):
            self.actions.append((self.now, name, action))
            if isinstance(action, Send):
                self.queue.append((name, action))

    def deliver(self):
        while self.queue:
            sender, action = self.queue.popleft()
            if action.peer in self.replicas:
                message = decode(encode(sender, 1, action.message)).ok().message
                self.give(action.peer, MessageArrived(sender, message))

    def run(self, seconds):
        end = self.now + seconds
        while self.now < end:
            self.now += TICK_S
            for name in list(self.replicas):
                self.give(name, Tick())
            self.deliver()


def build_table(agents, version):
    members = tuple(
        Member(f"s{i}", f"z{i % 3}", 1.0 + version % 3, 10, 10) for i in range(agents)
    )
    table = Table(SERVICE, "10.0.0.1", 80, Protocol.UDP, members)
    return StoredObject(f"table/{SERVICE}", version, "", encode_object(table))


@given(
    "{balancers:d} balancers and {agents:d} agents in {zones:d} availability zones"
    " with seed {seed:d}"
)
def create_carrier(context, balancers, agents, zones, seed):
    context.agent_count = agents
    context.carrier = Carrier(balancers, agents, zones, seed)


@when("{seconds:d} s pass")
def pass_time(context, seconds):
    context.carrier.run(seconds)


@when(
    "the platform reports a table of all agents with version {version:d}"
    " to one balancer"
)
def report_table(context, version):
    item = build_table(context.agent_count, version)
    name = context.carrier.random.choice(sorted(context.carrier.balancers))
    context.carrier.give(name, PlatformObjects((item,)))
    context.carrier.deliver()


@when('agent "{name}" stops')
def stop_agent(context, name):
    del context.carrier.replicas[name]


@then("every node holds version {version:d} of the table")
def check_table(context, version):
    for name, replica in context.carrier.replicas.items():
        assert replica.view.tables[SERVICE].version == version, name


@then("every node has all agents as candidates")
def check_candidates(context):
    for name, replica in context.carrier.replicas.items():
        service_id = replica.view.tables[SERVICE].service_id
        found = {c.server for c in replica.view.list_candidates(service_id)}
        assert found == {f"s{i}" for i in range(context.agent_count)}, (name, found)


@then('exactly "{server}" is reported down at every node')
def check_down(context, server):
    for name, replica in context.carrier.replicas.items():
        assert replica.view.down == {(server, 1)}, (name, replica.view.down)
