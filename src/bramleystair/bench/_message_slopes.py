"""Slopes of the messages between replicas, on a simulated network."""

import statistics
from random import Random

from bramleystair.bench._fits import MICRO, Slope, fit_slope
from bramleystair.bench._fleet import BALANCER_PORT, build_fleet, populate_stores
from bramleystair.bench._fleet_spec import (
    FIRST_VERSION,
    MEMBERS_PER_TABLE,
    PLANNED_FLEET,
    SCALE_FACTORS,
    build_objects,
    build_table,
    encode_stored_object,
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

FLEET_BALANCER_COUNTS = (8, 16, 24, 40, 60)
SPREAD_BALANCER_COUNTS = (10, 50, 100, 300, 600, 1200)
LOST_BALANCER_COUNTS = (10, 20, 30, 40, 60)
MEMBER_COUNTS = (4, 8, 16, 32, 64)
SERVICE_COUNTS = (1, 2, 4, 8, 16)
REPLACED_AGENT_COUNTS = (5, 10, 15, 20, 30)
RENEWING_AGENT_COUNTS = (100, 200, 300, 400, 500)
ZONE_COUNTS = (1, 3, 6, 10, 15)
AGENTS_PER_BALANCER = PLANNED_FLEET.agents / PLANNED_FLEET.balancers
FLEET_ZONE_COUNT = 4
WARM_UP_S = 8.0
MEASURED_S = 10.0
BURST_ZONE_COUNT = 5
PARTITION_S = 60.0
HEAL_S = 15.0
RENEW_SECONDS = 2400
RENEW_TICK_S = 2


def create_network(
    balancers: int, zones: int, is_codec_checked: bool = True
) -> SimulatedNetwork:
    """Return a network running a fleet with the planned agents per balancer."""
    agents = round(balancers * AGENTS_PER_BALANCER)
    fleet = build_fleet(balancers, agents, zones, (), seed=1)
    count = max(1, agents // MEMBERS_PER_TABLE)
    tables = tuple(
        encode_stored_object(
            build_table(index, MEMBERS_PER_TABLE, agents, zones), FIRST_VERSION
        )
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


def measure_steady_load() -> list[Slope]:
    """Return the load per balancer and per agent without changes."""
    points: dict[tuple[str, str], list] = {}
    for balancers in FLEET_BALANCER_COUNTS:
        network = create_network(balancers, FLEET_ZONE_COUNT)
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
    """Return the cost per balancer of spreading one version."""
    sizes, work, seconds = [], [], []
    for count in SPREAD_BALANCER_COUNTS:
        fleet = build_fleet(count, 0, min(count // 2, 15), (), 1)
        populate_stores(fleet)
        elapsed_s, spread_bytes, spread_work = _spread_version(fleet, is_changed=True)
        # An equal run without a change gives the background load to subtract.
        fleet = build_fleet(count, 0, min(count // 2, 15), (), 1)
        populate_stores(fleet)
        _, idle_bytes, idle_work = _spread_version(fleet, is_changed=False)
        sizes.append((count, (spread_bytes - idle_bytes) / count))
        work.append((count, (spread_work - idle_work) / count * MICRO))
        seconds.append((count, elapsed_s))
    return [
        fit_slope("spread_bytes", "balancers", "B", sizes),
        fit_slope("spread_work", "balancers", "us", work),
        fit_slope("spread_seconds", "balancers", "s", seconds),
    ]


def _spread_version(fleet: dict, is_changed: bool) -> tuple[float, float, float]:
    network = SimulatedNetwork(Random(1), is_codec_checked=True)
    for name, replica in fleet.items():
        network.add(name, replica)
    network.run(2.0)
    network.reset_counts()
    item = encode_stored_object(
        build_table(0, MEMBERS_PER_TABLE, 100, 15), FIRST_VERSION
    )
    if is_changed:
        network.deliver("b0", PlatformObjects((item,)))
    elapsed_s = 0.0
    stores = [replica.store for replica in fleet.values()]
    for _ in range(30):
        network.run(0.1)
        elapsed_s += 0.1 * any(s.get_version(item.key) == 0 for s in stores)
    sent = network.sent_bytes.total() + network.received_bytes.total()
    return elapsed_s, sent, network.work_s.total()


def measure_start() -> list[Slope]:
    """Return the bytes and time that a new balancer takes to copy all objects."""
    received, seconds, in_flight = [], [], []
    for factor in SCALE_FACTORS:
        objects = build_objects(PLANNED_FLEET.scale(factor))
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
        elapsed_s = network.run_until(
            lambda n=new, t=target: n.store.bucket_digests == t.bucket_digests, 120.0
        )
        count = len(target)
        received.append((count, network.received_bytes["b8"]))
        in_flight.append((count, network.peak_in_flight["b8"]))
        seconds.append((count, elapsed_s))
    return [
        fit_slope("start_received", "objects", "B", received),
        fit_slope("start_in_flight", "objects", "B", in_flight),
        fit_slope("start_seconds", "objects", "s", seconds),
    ]


def measure_reconciliation() -> list[Slope]:
    """Return the bytes that two balancers need to reconcile one differing object."""
    points = []
    for factor in SCALE_FACTORS:
        objects = build_objects(PLANNED_FLEET.scale(factor))
        fleet = build_fleet(2, 0, 1, (), 1)
        populate_stores(fleet, tuple(o for o in objects if o.key[0] != "b"))
        fleet["b0"].store.put(
            encode_stored_object(build_table(0, 4, 8, 15), FIRST_VERSION + 1)
        )
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
    """Return the bytes of a heartbeat with an unchanged reply, and of a digest."""
    points = []
    for count in SERVICE_COUNTS:
        loads = tuple(ServiceLoad(index, 2000, 3, 2000, 3) for index in range(count))
        services = tuple(f"service-{index}" for index in range(count))
        sent = encode("s1", 1, Heartbeat(1, False, 1, loads, services))
        answer = encode("b1", 1, HeartbeatReply(1))
        points.append((count, len(sent) + len(answer) + 2 * HEADERS_BYTES))
    digests = []
    for factor in SCALE_FACTORS:
        object_store = ObjectStore()
        for item in build_objects(PLANNED_FLEET.scale(factor)):
            object_store.put(item)
        size = len(encode("b1", 1, Digest(tuple(object_store.bucket_digests))))
        digests.append((len(object_store), size + HEADERS_BYTES))
    return [
        fit_slope("heartbeat_bytes", "services", "B", points),
        fit_slope("digest_bytes", "objects", "B", digests),
    ]


def measure_heartbeat_reply() -> list[Slope]:
    """Return the bytes of a heartbeat reply after a change of the table."""
    points = []
    for count in MEMBER_COUNTS:
        fleet = build_fleet(4, 0, 2, (), 1)
        rows = tuple(Member(f"s{i}", "z0", 1.0, 2000, 3) for i in range(count))
        table = Table("service-0", "10.0.0.0", 443, Protocol.TCP, rows)
        populate_stores(fleet, (encode_stored_object(table, FIRST_VERSION),))
        replica = fleet["b0"]
        replica.handle(Tick(), 0.0)
        event = MessageArrived("s0", Heartbeat(1, services=("service-0",)))
        actions = replica.handle(event, 0.1)
        size = sum(len(encode("b0", 1, action.message)) for action in actions)
        points.append((count, size))
    return [fit_slope("reply_after_change", "members", "B", points)]


def measure_platform_calls() -> list[Slope]:
    """Return the watches and lease renewals counted from the replicas' actions."""
    renewals, watches = [], []
    for count in RENEWING_AGENT_COUNTS:
        agents = [
            AgentReplica(f"s{i}", "z0", 1, (), ReplicaSettings(), Random(i))
            for i in range(count)
        ]
        total = 0
        for second in range(0, RENEW_SECONDS, RENEW_TICK_S):
            for agent in agents:
                actions = agent.handle(Tick(), float(second))
                # The first write of each agent is its registration, not a renewal.
                total += second > 0 and any(isinstance(a, RenewLease) for a in actions)
        renewals.append((count, total / RENEW_SECONDS * 60))
    for zones in ZONE_COUNTS:
        fleet = build_fleet(zones * 5, 0, zones, (), 1)
        populate_stores(fleet)
        watch_count = 0
        for replica in fleet.values():
            actions = replica.handle(Tick(), 0.0)
            watch_count += sum(
                isinstance(a, WatcherRoleChanged) and a.is_watcher for a in actions
            )
        watches.append((zones, watch_count))
    return [
        fit_slope("renewals", "agents", "1/min", renewals),
        fit_slope("watches", "zones", "watches", watches),
    ]


def measure_zone_loss() -> list[Slope]:
    """Return the cost of losing an availability zone for each remaining balancer."""
    total, peak = [], []
    for balancers in LOST_BALANCER_COUNTS:
        network = create_network(balancers, BURST_ZONE_COUNT, is_codec_checked=False)
        lost = [n for n in network.replicas if int(n[1:]) % BURST_ZONE_COUNT == 0]
        idle = _count_bytes_per_second(network, 5)
        for name in lost:
            network.remove(name)
        burst = _count_bytes_per_second(network, 10)
        average = statistics.mean(idle)
        total.append((len(lost), sum(burst) - 10 * average))
        peak.append((len(lost), max(burst)))
    return [
        fit_slope("zone_lost_bytes", "members lost", "B", total),
        fit_slope("zone_lost_peak", "members lost", "B/s", peak),
    ]


def measure_partition_heal() -> list[Slope]:
    """Return the cost per balancer when a network partition heals."""
    total, peak = [], []
    for balancers in LOST_BALANCER_COUNTS:
        network = create_network(balancers, BURST_ZONE_COUNT, is_codec_checked=False)
        idle = statistics.mean(_count_bytes_per_second(network, 5))
        partitioned = {
            n for n in network.replicas if int(n[1:]) % BURST_ZONE_COUNT == 0
        }
        network.faults.is_partitioned = lambda a, b, partitioned=partitioned: (
            (a in partitioned) != (b in partitioned)
        )
        network.run(PARTITION_S)
        network.faults.is_partitioned = lambda a, b: False
        burst = _count_bytes_per_second(network, HEAL_S)
        total.append((len(partitioned), sum(burst) - HEAL_S * idle))
        peak.append((len(partitioned), max(burst)))
    return [
        fit_slope("rejoin_bytes", "members cut off", "B", total),
        fit_slope("rejoin_peak", "members cut off", "B/s", peak),
    ]


def measure_replacement() -> list[Slope]:
    """Return the cost per balancer of agents that are replaced after 5 s."""
    points = []
    for count in REPLACED_AGENT_COUNTS:
        network = create_network(20, FLEET_ZONE_COUNT, is_codec_checked=False)
        idle = statistics.mean(_count_bytes_per_second(network, 5))
        replaced = [f"s{index}" for index in range(count)]
        for name in replaced:
            network.remove(name)
        burst = _count_bytes_per_second(network, 5)
        for name in replaced:
            network.add(name, _build_replacement_agent(name))
        burst += _count_bytes_per_second(network, 5)
        points.append((count, sum(burst) - 10 * idle))
    return [fit_slope("replaced_bytes", "agents replaced", "B", points)]


def _build_replacement_agent(name: str) -> AgentReplica:
    seeds = (Peer("b0", "127.0.0.1", BALANCER_PORT),)
    zone = f"z{int(name[1:]) % FLEET_ZONE_COUNT}"
    return AgentReplica(name, zone, 2, (), ReplicaSettings(seeds=seeds), Random(2))


def _count_bytes_per_second(network: SimulatedNetwork, seconds: float) -> list[float]:
    """Return the bytes sent and received per balancer in each of `seconds`."""
    totals = []
    for _ in range(round(seconds)):
        network.reset_counts()
        network.run(1.0)
        names = [name for name in network.replicas if name[0] == "b"]
        sent = _average(network.sent_bytes, names)
        totals.append(sent + _average(network.received_bytes, names))
    return totals
