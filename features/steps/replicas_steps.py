import json
import random

from behave import given, then, when
from hypothesis import given as generate
from hypothesis import settings
from hypothesis import strategies as st

from bramleystair.bench import Faults, SimulatedNetwork, build_fleet, populate_stores
from bramleystair.replicas import (
    LISTED_PREFIXES,
    WATCHED_PREFIXES,
    AgentReplica,
    DrainRequested,
    IncarnationRaised,
    LoadsChanged,
    MessageArrived,
    ObjectStore,
    Peer,
    PlatformListed,
    PlatformObjects,
    ProcessReplaced,
    RenewLease,
    ReplicaSettings,
    Tick,
    ViewUpdated,
    WatcherRoleChanged,
)
from bramleystair.tables import (
    Member,
    Protocol,
    Table,
    ZoneMark,
    build_key,
    encode_object,
)
from bramleystair.wire import (
    HeartbeatReply,
    LoadReport,
    ServiceLoad,
    StoredObject,
    VersionHeader,
)

SEEDS = (Peer("b0", "127.0.0.1", 10_000),)
SERVICE = "feed"
TABLE_KEY = f"table/{SERVICE}"


class SimulatedPlatform:
    """Platform that assigns versions and notifies its watchers while it is up."""

    def __init__(self, network):
        self.network = network
        self.is_up = True
        self.objects = {}
        self.watchers = set()
        network.observers.append(self.observe)

    def write(self, key, body):
        version = (
            len(self.objects)
            + 1
            + max((item.version for item in self.objects.values()), default=0)
        )
        item = StoredObject(key, version, "", body)
        self.objects[key] = item
        self.notify_watchers((item,))
        return version

    def notify_watchers(self, items):
        items = tuple(o for o in items if o.key.startswith(WATCHED_PREFIXES))
        for name in sorted(self.watchers & set(self.network.replicas)):
            self.network.deliver(name, PlatformObjects(items))

    def set_availability(self, is_up):
        self.is_up = is_up
        if is_up:
            self.notify_watchers(tuple(self.objects.values()))
            self.list_announcements()

    def list_announcements(self):
        for prefix in LISTED_PREFIXES:
            found = (o for key, o in self.objects.items() if key.startswith(prefix))
            event = PlatformListed(prefix, tuple(found))
            for name in sorted(self.watchers & set(self.network.replicas)):
                self.network.deliver(name, event)

    def observe(self, now, name, actions):
        for action in actions:
            if isinstance(action, WatcherRoleChanged):
                self.watchers.discard(name)
                if action.is_watcher:
                    self.watchers.add(name)
            if isinstance(action, RenewLease) and self.is_up:
                body = encode_object(action.announcement)
                key = build_key(action.announcement)
                if key not in self.objects or self.objects[key].body != body:
                    self.write(key, body)


class FleetSimulation:
    """Fleet with a platform; records views in which a version decreased."""

    def __init__(self, balancers, agents, zones, seed):
        self.random = random.Random(seed)
        self.network = SimulatedNetwork(self.random, is_codec_checked=True)
        self.platform = SimulatedPlatform(self.network)
        self.views, self.actions, self.reverted = {}, [], []
        self.stopped = {}
        self.network.observers.append(self.observe)
        self.fleet = build_fleet(balancers, agents, zones, (SERVICE,), seed)
        for name, replica in self.fleet.items():
            self.network.add(name, replica)

    @property
    def running(self):
        return self.network.replicas

    def observe(self, now, name, actions):
        self.actions += [(now, name, action) for action in actions]
        for action in actions:
            if isinstance(action, ViewUpdated):
                self.check_view(name, action.view)

    def check_view(self, name, view):
        known = self.views.get(name)
        for part in ("tables", "zones", "agents", "nodes") if known else ():
            for key, item in getattr(known, part).items():
                newer = getattr(view, part).get(key)
                if newer is not None and newer.version < item.version:
                    self.reverted.append((name, key, item.version, newer.version))
        self.views[name] = view

    def accept_table(self):
        members = tuple(
            Member(name, replica.view.agents[name].zone, 1.0, 10, 10)
            for name, replica in self.fleet.items()
            if name.startswith("s")
        )
        table = Table(SERVICE, "10.0.0.1", 80, Protocol.UDP, members)
        return self.platform.write(TABLE_KEY, encode_object(table))

    def mark_zone(self, zone, is_in_service):
        body = encode_object(ZoneMark(zone, is_in_service))
        return self.platform.write(f"zone/{zone}", body)

    def stop_node(self, name):
        if name in self.running:
            self.stopped[name] = self.running[name]
            self.network.remove(name)

    def resume_node(self, name):
        if name in self.stopped:
            self.network.add(name, self.stopped.pop(name))

    def disconnect(self, names):
        self.network.faults.is_partitioned = lambda a, b: (a in names) != (b in names)

    def check_newest_versions(self):
        assert not self.reverted, self.reverted
        for key, item in self.platform.objects.items():
            if not key.startswith(("table/", "zone/")):
                continue
            for name, replica in self.running.items():
                held = replica.store.get_version(key)
                assert held == item.version, (name, key, held, item.version)

    def check_down(self):
        down = {name for name in self.stopped if name.startswith("s")}
        for name, replica in self.running.items():
            found = {n for n, _ in replica.view.down if n.startswith("s")}
            assert found == down, (name, found, down)


@given(
    "{balancers:d} balancers and {agents:d} agents in {zones:d} availability zones"
    " with seed {seed:d}"
)
def create_simulation(context, balancers, agents, zones, seed):
    context.simulation = FleetSimulation(balancers, agents, zones, seed)
    context.simulation.network.run(5)
    context.simulation.accept_table()
    context.simulation.network.run(5)


@when("{seconds:d} s pass")
def pass_time(context, seconds):
    context.simulation.network.run(seconds)


@when("the platform accepts a table")
def accept_table(context):
    context.simulation.accept_table()


@when("the platform is down")
def stop_platform(context):
    context.simulation.platform.is_up = False


@when('"{name}" stops')
def stop_node(context, name):
    context.simulation.stop_node(name)


@when('"{name}" resumes')
def resume_node(context, name):
    context.simulation.resume_node(name)


@when('the leases of "{names}" expire')
def expire_leases(context, names):
    for name in names.split(","):
        del context.simulation.platform.objects[f"agent/{name}"]


@when("the announcements are listed")
def list_announcements(context):
    context.simulation.platform.list_announcements()


@when('"{name}" restarts with incarnation {incarnation:d}')
def restart_agent(context, name, incarnation):
    simulation = context.simulation
    agent = AgentReplica(
        name,
        "z0",
        incarnation,
        (SERVICE,),
        ReplicaSettings(seeds=SEEDS),
        random.Random(1),
    )
    simulation.fleet[name] = agent
    simulation.network.add(name, agent)


@when('the nodes "{names}" are disconnected')
def disconnect(context, names):
    context.simulation.disconnect(set(names.split(",")))


@when("the connection is restored")
def restore_connection(context):
    context.simulation.disconnect(set())


@when('availability zone "{zone}" goes out of service, returns and goes out again')
def mark_zone(context, zone):
    for is_in_service in (False, True, False):
        context.simulation.mark_zone(zone, is_in_service)
        context.simulation.network.run(0.01)


@when('the zone mark of "{zone}" is deleted')
def delete_mark(context, zone):
    context.simulation.platform.write(f"zone/{zone}", b"")


@then('zone "{zone}" is in service at every node')
def check_zone(context, zone):
    for name, replica in context.simulation.running.items():
        assert replica.view.is_in_service(zone), name


@when('a new agent "{name}" starts')
def start_agent(context, name):
    simulation = context.simulation
    simulation.fleet |= build_fleet(0, 20, 3, (SERVICE,), 9, seed_names=("b0", "b1"))
    simulation.network.add(name, simulation.fleet[name])


@when('a new balancer "{name}" starts')
def start_balancer(context, name):
    fleet = build_fleet(20, 0, 3, (), 9)
    context.simulation.network.add(name, fleet[name])


@when('"{name}" has loads and {count:d} ticks pass')
def set_loads(context, name, count):
    load = ServiceLoad(
        context.simulation.running["b0"].view.tables[SERVICE].service_id, 3, 0, 10, 10
    )
    context.simulation.actions.clear()
    context.simulation.network.deliver(name, LoadsChanged((load,)))
    context.simulation.network.run(count * 0.25)


@when('"{name}" is drained')
def drain_agent(context, name):
    context.simulation.network.deliver(name, DrainRequested())


@then("every node holds the newest accepted versions")
def check_newest_versions(context):
    context.simulation.check_newest_versions()


@then("exactly the stopped agents are reported down")
def check_down(context):
    context.simulation.check_down()


@then('no agent was ever reported down at "{names}"')
def check_never_reported_down(context, names):
    for _, name, action in context.simulation.actions:
        if name in names.split(",") and isinstance(action, ViewUpdated):
            down = {server for server, _ in action.view.down if server[0] == "s"}
            assert not down, (name, down)


@then('"{name}" holds {count:d} agents and the table')
def check_bootstrapped(context, name, count):
    view = context.simulation.running[name].view
    assert len(view.agents) == count, sorted(view.agents)
    assert SERVICE in view.tables


@then('all agents but "{server}" are announced at every balancer')
def check_announced(context, server):
    agents = {name for name in context.simulation.fleet if name[0] == "s"}
    for name, replica in context.simulation.running.items():
        if name[0] == "b":
            assert set(replica.view.agents) == agents - {server}, name


@then('"{server}" is draining at every node')
def check_draining(context, server):
    for name, replica in context.simulation.running.items():
        assert replica.view.agents[server].state == "draining", name


@then('"{name}" raised its incarnation {count:d} times')
def check_incarnation_count(context, name, count):
    raised = [
        action.incarnation
        for _, actor, action in context.simulation.actions
        if actor == name and isinstance(action, IncarnationRaised)
    ]
    assert len(raised) == count, raised
    for other, replica in context.simulation.running.items():
        assert replica.view.agents[name].incarnation == 1 + count, other


@then('"{name}" reported its loads to each co-member {count:d} times')
def check_loads(context, name, count):
    reports = [
        action.peer
        for _, actor, action in context.simulation.actions
        if actor == name and isinstance(getattr(action, "message", None), LoadReport)
    ]
    others = {n for n in context.simulation.running if n.startswith("s")} - {name}
    assert sorted(reports) == sorted([*others] * count), reports


FAULTS = st.one_of(
    st.tuples(st.just("table"), st.none()),
    st.tuples(st.just("zone"), st.tuples(st.integers(0, 2), st.booleans())),
    st.tuples(
        st.just("disconnect_zones"),
        st.sets(st.sampled_from(["z0", "z1", "z2"]), max_size=2),
    ),
    st.tuples(st.just("disconnect_node"), st.integers(0, 5)),
    st.tuples(st.just("loss"), st.sampled_from([0.0, 0.2, 0.5])),
    st.tuples(st.just("duplicate"), st.sampled_from([0.0, 0.5])),
    st.tuples(st.just("delay"), st.sampled_from([0.01, 0.5, 2.0])),
    st.tuples(st.just("platform"), st.booleans()),
    st.tuples(st.just("stop"), st.sampled_from(["b1", "b2", "b4", "s0", "s2", "s3"])),
    st.tuples(st.just("resume"), st.sampled_from(["b1", "b2", "b4", "s0", "s2", "s3"])),
)


def apply_fault(simulation, kind, value):
    faults = simulation.network.faults
    match kind:
        case "table":
            if simulation.platform.is_up:
                simulation.accept_table()
        case "zone":
            if simulation.platform.is_up:
                simulation.mark_zone(f"z{value[0]}", value[1])
        case "disconnect_zones":
            simulation.disconnect(
                {n for n in simulation.fleet if f"z{int(n[1:]) % 3}" in value}
            )
        case "disconnect_node":
            simulation.disconnect({f"b{value}"})
        case "loss" | "duplicate":
            setattr(faults, kind, value)
        case "delay":
            faults.delay_s = (0.0005, value)
        case "platform":
            simulation.platform.set_availability(value)
        case "stop":
            simulation.stop_node(value)
        case "resume":
            simulation.resume_node(value)


@when("{count:d} generated fault sequences run")
def run_fault_sequences(context, count):
    context.checked = 0

    @settings(max_examples=count)
    @generate(
        st.lists(st.tuples(FAULTS, st.integers(0, 8)), min_size=3, max_size=12),
        st.integers(0, 2**16),
    )
    def run(steps, seed):
        run_fault_sequence(context, steps, seed)

    run()


@when("this fault sequence runs with seed {seed:d}")
def run_recorded_sequence(context, seed):
    context.checked = 0
    run_fault_sequence(context, json.loads(context.text), seed)


def run_fault_sequence(context, steps, seed):
    simulation = FleetSimulation(6, 5, 3, seed)
    simulation.network.run(4)
    simulation.accept_table()
    for (kind, value), wait in steps:
        apply_fault(simulation, kind, value)
        simulation.network.run(wait)
    simulation.disconnect(set())
    simulation.network.faults = Faults()
    simulation.platform.set_availability(True)
    simulation.network.run(5)
    simulation.check_newest_versions()
    simulation.network.run(5)
    simulation.check_down()
    context.checked += 1


@then(
    "each ended with the newest versions within 5 s"
    " and no false down report within 10 s"
)
def check_fault_sequences(context):
    assert context.checked


@given(
    "{count:d} balancers in {zones:d} availability zones that know each other,"
    " with seed {seed:d}"
)
def create_balancers(context, count, zones, seed):
    context.network = SimulatedNetwork(random.Random(seed))
    fleet = build_fleet(count, 0, zones, (), seed)
    populate_stores(fleet)
    for name, replica in fleet.items():
        context.network.add(name, replica)
    context.network.run(1)


@when("one balancer receives a table and {loss:d} % of messages are lost")
def deliver_table(context, loss):
    context.network.faults.loss = loss / 100
    body = encode_object(Table(SERVICE, "10.0.0.1", 80, Protocol.UDP, ()))
    item = StoredObject(TABLE_KEY, 7, "", body)
    context.network.deliver("b5", PlatformObjects((item,)))


@then("every balancer holds the table within {limit:d} s")
def check_replicated(context, limit):
    replicas = context.network.replicas.values()

    def is_replicated():
        return all(r.store.get_version(TABLE_KEY) == 7 for r in replicas)

    for _ in range(limit):
        context.network.run(1)
        if is_replicated():
            break
    assert is_replicated()


@given("{count:d} balancers that hold {marks:d} zone marks, with seed {seed:d}")
def create_balancers_with_marks(context, count, marks, seed):
    context.fleet = build_fleet(count + 1, 0, 3, (), seed)
    context.started = context.fleet.pop(f"b{count}")
    names = (f"z{index}" for index in range(marks))
    populate_stores(
        context.fleet,
        tuple(
            StoredObject(f"zone/{name}", 1, "", encode_object(ZoneMark(name, True)))
            for name in names
        ),
    )
    context.network = SimulatedNetwork(random.Random(seed))
    for name, replica in context.fleet.items():
        context.network.add(name, replica)
    context.network.run(2)


@when("a fifth balancer starts and {loss:d} % of messages are lost")
def start_fifth_balancer(context, loss):
    context.network.faults.loss = loss / 100
    context.network.add("b4", context.started)


@then(
    "it holds the {marks:d} zone marks within {limit:d} s"
    " and never has more than {kilobytes:d} KB in flight"
)
def check_caught_up(context, marks, limit, kilobytes):
    context.network.run(limit)
    assert len(context.started.view.zones) == marks, len(context.started.view.zones)
    assert context.network.peak_in_flight["b4"] < kilobytes * 1024


@given("an agent with incarnation {incarnation:d} that has run for {seconds:d} s")
def run_agent(context, incarnation, seconds):
    settings = ReplicaSettings(seeds=SEEDS)
    context.agent = AgentReplica(
        "s3", "z0", incarnation, (), settings, random.Random(1)
    )
    context.now = float(seconds)
    for second in range(seconds):
        context.agent.handle(Tick(), float(second))


@when("it learns that incarnation {incarnation:d} of its name was announced")
def learn_incarnation(context, incarnation):
    other = AgentReplica(
        "s3", "z0", incarnation, (), ReplicaSettings(), random.Random(1)
    )
    item = other.store.get(other.local_member.key)
    reply = HeartbeatReply(1, (VersionHeader(item.key, item.version),))
    event = MessageArrived("b0", reply)
    context.actions = context.agent.handle(event, context.now)


@then("it reports its replacement and raises no incarnation")
def check_replaced(context):
    kinds = [type(action) for action in context.actions]
    assert ProcessReplaced in kinds and IncarnationRaised not in kinds, context.actions
    assert context.agent.local_member.incarnation == 1


@when("generated versions arrive at two stores in different orders")
def fill_stores_in_different_orders(context):
    context.stores = []
    body = encode_object(ZoneMark("z", True))

    @settings(max_examples=50)
    @generate(st.lists(st.tuples(st.integers(1, 9), st.booleans())), st.randoms())
    def run(versions, order):
        items = [StoredObject("zone/z", v, "", body * alive) for v, alive in versions]
        # Keep one object for each version, as a version has only one body.
        items = list({item.version: item for item in items}.values())
        stores = (ObjectStore(), ObjectStore())
        for store in stores:
            order.shuffle(items)
            for item in items:
                store.put(item)
        context.stores.append((items, *stores))

    run()


@then("both stores hold the newest of each with equal digests")
def check_stores(context):
    for items, first, second in context.stores:
        newest = max(items, key=lambda item: item.version, default=None)
        assert first.get("zone/z") == second.get("zone/z") == newest
        assert first.bucket_digests == second.bucket_digests
        assert first.fine_bucket_digests == second.fine_bucket_digests
        zones = {"z"} if newest and newest.body else set()
        assert set(first.build_view().zones) == zones
