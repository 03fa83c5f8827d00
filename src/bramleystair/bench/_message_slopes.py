"""Slopes of messages between replicas, on simulated time."""

import statistics
from random import Random

from bramleystair.bench._fits import MICRO, Slope, fit_slope
from bramleystair.bench._fleet import BALANCER_PORT, build_fleet, populate_stores
from bramleystair.bench._planned import (
    FACTORS,
    FIRST_VERSION,
    MEMBERS_PER_TABLE,
    PLANNED,
    build_objects,
    build_table,
    store,
)
from bramleystair.bench._simulated_network import HEADERS_BYTES, SimulatedNetwork
from bramleystair.replicas import (
    AgentReplica,
    LoadsChanged,
    MessageArrived,
    ObjectStore,
    Peer,
    PlatformObjects,
    RenewLease,
    ReplicaSettings,
    Tick,
    WatcherRoleChanged,
)
from bramleystair.tables import Member, Protocol, Table, compute_service_id
from bramleystair.wire import Digest, Heartbeat, HeartbeatReply, ServiceLoad, encode

FLEET_SIZES = (8, 16, 24, 40, 60)
SPREAD_SIZES = (10, 50, 100, 300, 600, 1200)
LOST_SIZES = (10, 20, 30, 40, 60)
MEMBER_SIZES = (4, 8, 16, 32, 64)
SERVICE_SIZES = (1, 2, 4, 8, 16)
REPLACED_SIZES = (5, 10, 15, 20, 30)
RENEW_SIZES = (100, 200, 300, 400, 500)
ZONE_SIZES = (1, 3, 6, 10, 15)
AGENTS_PER_BALANCER = PLANNED.agents / PLANNED.balancers
FLEET_ZONES = 4
WARM_UP_S = 8.0
MEASURED_S = 10.0
BURST_ZONES = 5
CUT_S = 60.0
REJOIN_S = 15.0
RENEW_SECONDS = 2400
RENEW_TICK_S = 2


def create_network(
    balancers: int, zones: int, is_codec_checked: bool = True
) -> SimulatedNetwork:
    """Return a network with a running fleet in the planned proportions."""
    agents = round(balancers * AGENTS_PER_BALANCER)
    fleet = build_fleet(balancers, agents, zones, (), seed=1)
    count = max(1, agents // MEMBERS_PER_TABLE)
    tables = tuple(
        store(build_table(index, MEMBERS_PER_TABLE, agents, zones), FIRST_VERSION)
        for index in range(count)
    )
    populate_stores({n: r for n, r in fleet.items() if n[0] == "b"}, tables)
    network = SimulatedNetwork(Random(1), is_codec_checked=is_codec_checked)
    for name, replica in fleet.items():
        network.add(name, replica)
        if name[0] == "s":
            service = f"service-{int(name[1:]) // MEMBERS_PER_TABLE % count}"
            load = ServiceLoad(compute_service_id(service), 2000, 3, 2000, 3)
            network.deliver(name, LoadsChanged((load,)))
    network.run(WARM_UP_S)
    network.reset_counts()
    return network


def measure_fleet() -> list[Slope]:
    """Return the steady load of balancers and agents against the fleet's size."""
    points: dict[tuple[str, str], list] = {}
    for balancers in FLEET_SIZES:
        network = create_network(balancers, FLEET_ZONES)
        network.run(MEASURED_S)
        for role, letter in (("balancer", "b"), ("agent", "s")):
            names = [name for name in network.replicas if name[0] == letter]
            values = {
                "messages": _average(network.sent, names),
                "sent": _average(network.sent_bytes, names),
                "received": _average(network.received_bytes, names),
                "work": _average(network.work_s, names) * MICRO,
            }
            for kind, value in values.items():
                point = (balancers, value / MEASURED_S)
                points.setdefault((role, kind), []).append(point)
    units = {"messages": "1/s", "sent": "B/s", "received": "B/s", "work": "us/s"}
    return [
        fit_slope(f"{role}_{kind}", "balancers", units[kind], values)
        for (role, kind), values in points.items()
    ]


def _average(counter, names: list[str]) -> float:
    return statistics.mean(counter[name] for name in names)


def measure_spread_cost() -> list[Slope]:
    """Return what one version costs each balancer against their number."""
    sizes, work, seconds = [], [], []
    for count in SPREAD_SIZES:
        fleet = build_fleet(count, 0, min(count // 2, 15), (), 1)
        populate_stores(fleet)
        taken_s, spread_bytes, spread_work = _spread_once(fleet, is_changed=True)
        # The same time without a change is what runs anyway.
        fleet = build_fleet(count, 0, min(count // 2, 15), (), 1)
        populate_stores(fleet)
        _, idle_bytes, idle_work = _spread_once(fleet, is_changed=False)
        sizes.append((count, (spread_bytes - idle_bytes) / count))
        work.append((count, (spread_work - idle_work) / count * MICRO))
        seconds.append((count, taken_s))
    return [
        fit_slope("spread_bytes", "balancers", "B", sizes),
        fit_slope("spread_work", "balancers", "us", work),
        fit_slope("spread_seconds", "balancers", "s", seconds),
    ]


def _spread_once(fleet: dict, is_changed: bool) -> tuple[float, float, float]:
    network = SimulatedNetwork(Random(1), is_codec_checked=True)
    for name, replica in fleet.items():
        network.add(name, replica)
    network.run(2.0)
    network.reset_counts()
    item = store(build_table(0, MEMBERS_PER_TABLE, 100, 15), FIRST_VERSION)
    if is_changed:
        network.deliver("b0", PlatformObjects((item,)))
    taken_s = 0.0
    held = [replica.store for replica in fleet.values()]
    for _ in range(30):
        network.run(0.1)
        taken_s += 0.1 * any(s.get_version(item.key) == 0 for s in held)
    sent = network.sent_bytes.total() + network.received_bytes.total()
    return taken_s, sent, network.work_s.total()


def measure_start() -> list[Slope]:
    """Return what a new balancer needs to start from its peers."""
    received, seconds, in_flight = [], [], []
    for factor in FACTORS:
        objects = build_objects(PLANNED.scale(factor))
        objects = [o for o in objects if not o.key.startswith("balancer/")]
        fleet = build_fleet(9, 0, 3, (), 1)
        new = fleet.pop("b8")
        populate_stores(fleet, tuple(objects))
        network = SimulatedNetwork(Random(1))
        for name, replica in fleet.items():
            network.add(name, replica)
        network.run(3.0)
        network.add("b8", new)
        network.reset_counts()
        target = fleet["b0"].store
        taken_s = network.run_until(
            lambda n=new, t=target: n.store.bucket_digests == t.bucket_digests, 120.0
        )
        count = len(target)
        received.append((count, network.received_bytes["b8"]))
        in_flight.append((count, network.peak_in_flight["b8"]))
        seconds.append((count, taken_s))
    return [
        fit_slope("start_received", "objects", "B", received),
        fit_slope("start_in_flight", "objects", "B", in_flight),
        fit_slope("start_seconds", "objects", "s", seconds),
    ]


def measure_digests() -> list[Slope]:
    """Return the bytes by which two balancers reconcile one differing object."""
    points = []
    for factor in FACTORS:
        objects = build_objects(PLANNED.scale(factor))
        fleet = build_fleet(2, 0, 1, (), 1)
        populate_stores(fleet, tuple(o for o in objects if o.key[0] != "b"))
        fleet["b0"].store.put(store(build_table(0, 4, 8, 15), FIRST_VERSION + 1))
        network = SimulatedNetwork(Random(1))
        for name, replica in fleet.items():
            network.add(name, replica)
        network.run_until(
            lambda f=fleet: (
                f["b0"].store.bucket_digests == f["b1"].store.bucket_digests
            ),
            10.0,
        )
        network.run(0.1)
        kinds = ("Digest", "BucketVersions", "Pull", "Objects")
        total = sum(network.bytes[kind] for kind in kinds)
        points.append((len(fleet["b0"].store), total))
    return [fit_slope("reconcile", "objects", "B", points)]


def measure_heartbeats() -> list[Slope]:
    """Return the bytes of an unchanged heartbeat with its answer, and of a digest."""
    points = []
    for count in SERVICE_SIZES:
        loads = tuple(ServiceLoad(index, 2000, 3, 2000, 3) for index in range(count))
        services = tuple(f"service-{index}" for index in range(count))
        sent = encode("s1", 1, Heartbeat(1, False, 1, loads, services))
        answer = encode("b1", 1, HeartbeatReply(1))
        points.append((count, len(sent) + len(answer) + 2 * HEADERS_BYTES))
    digests = []
    for factor in FACTORS:
        held = ObjectStore()
        for item in build_objects(PLANNED.scale(factor)):
            held.put(item)
        size = len(encode("b1", 1, Digest(tuple(held.bucket_digests))))
        digests.append((len(held), size + HEADERS_BYTES))
    return [
        fit_slope("heartbeat_bytes", "services", "B", points),
        fit_slope("digest_bytes", "objects", "B", digests),
    ]


def measure_members() -> list[Slope]:
    """Return the bytes of a heartbeat's answer after a change."""
    points = []
    for count in MEMBER_SIZES:
        fleet = build_fleet(4, 0, 2, (), 1)
        rows = tuple(Member(f"s{i}", "z0", 1.0, 2000, 3) for i in range(count))
        table = Table("service-0", "10.0.0.0", 443, Protocol.TCP, rows)
        populate_stores(fleet, (store(table, FIRST_VERSION),))
        replica = fleet["b0"]
        replica.handle(Tick(), 0.0)
        event = MessageArrived("s0", Heartbeat(1, services=("service-0",)))
        actions = replica.handle(event, 0.1)
        size = sum(len(encode("b0", 1, action.message)) for action in actions)
        points.append((count, size))
    return [fit_slope("reply_after_change", "members", "B", points)]


def measure_platform_calls() -> list[Slope]:
    """Count watches and lease renewals from the replicas' actions."""
    renewals, watches = [], []
    for count in RENEW_SIZES:
        agents = [
            AgentReplica(f"s{i}", "z0", 1, (), ReplicaSettings(), Random(i))
            for i in range(count)
        ]
        total = 0
        for second in range(0, RENEW_SECONDS, RENEW_TICK_S):
            for agent in agents:
                actions = agent.handle(Tick(), float(second))
                # The first write of each agent belongs to its start.
                total += second > 0 and any(isinstance(a, RenewLease) for a in actions)
        renewals.append((count, total / RENEW_SECONDS * 60))
    for zones in ZONE_SIZES:
        fleet = build_fleet(zones * 5, 0, zones, (), 1)
        populate_stores(fleet)
        wanted = 0
        for replica in fleet.values():
            actions = replica.handle(Tick(), 0.0)
            wanted += sum(
                isinstance(a, WatcherRoleChanged) and a.is_watcher for a in actions
            )
        watches.append((zones, wanted))
    return [
        fit_slope("renewals", "agents", "1/min", renewals),
        fit_slope("watches", "zones", "watches", watches),
    ]


def measure_zone_lost() -> list[Slope]:
    """Return what the loss of an availability zone costs each other balancer."""
    total, peak = [], []
    for balancers in LOST_SIZES:
        network = create_network(balancers, BURST_ZONES, is_codec_checked=False)
        lost = [n for n in network.replicas if int(n[1:]) % BURST_ZONES == 0]
        idle = _run_seconds(network, 5)
        for name in lost:
            network.remove(name)
        burst = _run_seconds(network, 10)
        average = statistics.mean(idle)
        total.append((len(lost), sum(burst) - 10 * average))
        peak.append((len(lost), max(burst)))
    return [
        fit_slope("zone_lost_bytes", "members lost", "B", total),
        fit_slope("zone_lost_peak", "members lost", "B/s", peak),
    ]


def measure_rejoin() -> list[Slope]:
    """Return what the return of a region that was cut off costs each balancer."""
    total, peak = [], []
    for balancers in LOST_SIZES:
        network = create_network(balancers, BURST_ZONES, is_codec_checked=False)
        idle = statistics.mean(_run_seconds(network, 5))
        far = {n for n in network.replicas if int(n[1:]) % BURST_ZONES == 0}
        network.faults.is_partitioned = lambda a, b, far=far: (a in far) != (b in far)
        network.run(CUT_S)
        network.faults.is_partitioned = lambda a, b: False
        burst = _run_seconds(network, REJOIN_S)
        total.append((len(far), sum(burst) - REJOIN_S * idle))
        peak.append((len(far), max(burst)))
    return [
        fit_slope("rejoin_bytes", "members cut off", "B", total),
        fit_slope("rejoin_peak", "members cut off", "B/s", peak),
    ]


def measure_replaced() -> list[Slope]:
    """Return what the replacement of agents within 20 s costs each balancer."""
    points = []
    for count in REPLACED_SIZES:
        network = create_network(20, FLEET_ZONES, is_codec_checked=False)
        idle = statistics.mean(_run_seconds(network, 5))
        replaced = [f"s{index}" for index in range(count)]
        for name in replaced:
            network.remove(name)
        burst = _run_seconds(network, 5)
        for name in replaced:
            network.add(name, _restart(name))
        burst += _run_seconds(network, 5)
        points.append((count, sum(burst) - 10 * idle))
    return [fit_slope("replaced_bytes", "agents replaced", "B", points)]


def _restart(name: str) -> AgentReplica:
    seeds = (Peer("b0", "127.0.0.1", BALANCER_PORT),)
    zone = f"z{int(name[1:]) % FLEET_ZONES}"
    return AgentReplica(name, zone, 2, (), ReplicaSettings(seeds=seeds), Random(2))


def _run_seconds(network: SimulatedNetwork, seconds: float) -> list[float]:
    """Return the bytes sent and received per balancer in each second."""
    totals = []
    for _ in range(round(seconds)):
        network.reset_counts()
        network.run(1.0)
        names = [name for name in network.replicas if name[0] == "b"]
        sent = _average(network.sent_bytes, names)
        totals.append(sent + _average(network.received_bytes, names))
    return totals
