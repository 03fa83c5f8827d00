"""Slopes of state and work inside one process."""

import gc
import itertools
import tracemalloc
from random import Random

from bramleystair.bench._fits import Slope, fit_slope, time_us
from bramleystair.bench._planned import (
    FACTORS,
    FIRST_VERSION,
    MEMBERS_PER_TABLE,
    PLANNED,
    build_agent,
    build_balancer,
    build_node,
    build_objects,
    build_table,
    store,
)
from bramleystair.flows import (
    FlowController,
    FlowSettings,
    MessageArrived,
    Tick,
    ViewChanged,
)
from bramleystair.packets import build_segment, read_headers
from bramleystair.replicas import MessageArrived as ReplicaMessage
from bramleystair.replicas import ObjectStore
from bramleystair.replicas import Tick as ReplicaTick
from bramleystair.routing import find_home
from bramleystair.tables import AgentAnnouncement, ConfigObject, Member, Protocol, Table
from bramleystair.views import Candidate, View
from bramleystair.wire import Digest, Forward, Heartbeat, RedirectPut, StoredObject

KIND_SIZES = (400, 800, 1200, 1600, 2000)
MEMBER_SIZES = (4, 8, 16, 32, 64)
FLOW_SIZES = (2000, 4000, 6000, 8000, 10_000)
ACK = 0x10
REPORT = FIRST_VERSION + 1


def measure_state() -> list[Slope]:
    """Return the slopes of memory, views and decisions."""
    return [
        *_measure_kinds(),
        _measure_table_bytes(),
        *_measure_views(),
        _measure_rendezvous(),
        *_measure_ticks(),
        *_measure_flows(),
    ]


def _measure_bytes(build) -> float:
    """Return the bytes that remain allocated by what `build` returns."""
    gc.collect()
    tracemalloc.start()
    kept = build()
    gc.collect()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return size


def _fill_store(objects: list[StoredObject]) -> ObjectStore:
    filled = ObjectStore()
    for item in objects:
        # A body arrives in a message of its own, so it is not shared.
        filled.put(
            StoredObject(item.key, item.version, "", bytes(bytearray(item.body)))
        )
    filled.build_view()
    return filled


def _measure_kinds() -> list[Slope]:
    builders = {
        "table": lambda i: store(
            build_table(i, MEMBERS_PER_TABLE, PLANNED.agents, 15), FIRST_VERSION
        ),
        "agent": lambda i: store(build_agent(i, 15, PLANNED.tables), FIRST_VERSION),
        "balancer": lambda i: store(build_node(i, 15, 6), FIRST_VERSION),
        "liveness": lambda i: StoredObject(
            f"liveness/s{i}", FIRST_VERSION + 1, "", b"{}"
        ),
        "tombstone": lambda i: StoredObject(f"agent/s{i}", FIRST_VERSION + 1, "", b""),
    }
    slopes = []
    for kind, build in builders.items():
        points = []
        for count in KIND_SIZES:
            objects = [build(index) for index in range(count)]
            points.append((count, _measure_bytes(lambda o=objects: _fill_store(o))))
        slopes.append(fit_slope(f"memory_{kind}", f"{kind} objects", "B", points))
    return slopes


def _measure_table_bytes() -> Slope:
    points = [
        (count, len(store(build_table(0, count, 9100, 15), FIRST_VERSION).body))
        for count in MEMBER_SIZES
    ]
    return fit_slope("table_bytes", "members", "B", points)


def _measure_views() -> list[Slope]:
    table_points, agent_points = [], []
    for factor in FACTORS:
        sizes = PLANNED.scale(factor)
        objects = build_objects(sizes)
        held = ObjectStore()
        for item in objects:
            held.put(item)
        table = build_table(1, MEMBERS_PER_TABLE, sizes.agents, sizes.zones)
        agent = build_agent(1, sizes.zones, sizes.tables)
        for item, points in ((table, table_points), (agent, agent_points)):
            points.append((len(objects), _time_change(held, item, table.service_id)))
    return [
        fit_slope("view_table", "objects", "us", table_points),
        fit_slope("view_agent", "objects", "us", agent_points),
    ]


def _time_change(held: ObjectStore, item: ConfigObject, service_id: int) -> float:
    versions = itertools.count(FIRST_VERSION + 1)

    def change():
        held.put(store(item, next(versions)))
        return held.build_view().list_candidates(service_id)

    return time_us(change)


def _measure_rendezvous() -> Slope:
    points = []
    for count in MEMBER_SIZES:
        candidates = [Candidate(f"s{i}", 1.0, f"z{i % 15}", 1) for i in range(count)]
        points.append((count, time_us(lambda c=candidates: find_home(b"f" * 13, c))))
    return fit_slope("rendezvous", "members", "us", points)


def _measure_ticks() -> list[Slope]:
    """Return the work of one balancer per second, heartbeat and digest."""
    ticks, beats, digests, sizes_seen = [], [], [], []
    for factor in FACTORS:
        sizes = PLANNED.scale(factor)
        replica = build_balancer(sizes)
        clock = itertools.count(1)
        heartbeat = Heartbeat(1, services=("service-1",))
        digest = Digest(tuple(replica.store.bucket_digests))
        replica.handle(ReplicaTick(), 0.0)

        def run_second(replica=replica, clock=clock, heartbeat=heartbeat):
            now = float(next(clock))
            # Someone is heard, or the balancer takes itself for isolated.
            replica.handle(ReplicaMessage("s5", heartbeat), now)
            for part in range(4):
                replica.handle(ReplicaTick(), now + part / 4)

        ticks.append(time_us(run_second, 30))
        event = ReplicaMessage("s5", heartbeat)
        beats.append(time_us(lambda r=replica, e=event: r.handle(e, 30.9)))
        event = ReplicaMessage("b5", digest)
        digests.append(time_us(lambda r=replica, e=event: r.handle(e, 30.9)))
        sizes_seen.append(len(replica.store))
    return [
        fit_slope("second", "objects", "us", zip(sizes_seen, ticks, strict=True)),
        fit_slope("heartbeat", "objects", "us", zip(sizes_seen, beats, strict=True)),
        fit_slope("digest", "objects", "us", zip(sizes_seen, digests, strict=True)),
    ]


def _build_view(members: int) -> View:
    rows = tuple(Member(f"s{i}", "z0", 1.0, 10**6, 3) for i in range(members))
    table = Table("service-0", "10.0.0.0", 443, Protocol.TCP, rows, 1)
    agents = {
        row.server: AgentAnnouncement(row.server, "z0", "127.0.0.1", 1, 1)
        for row in rows
    }
    return View(tables={table.service: table}, agents=agents)


def _build_packet(index: int) -> bytes:
    host = bytes((10, 1, index >> 8 & 255, index & 255))
    port = (1024 + (index >> 16)).to_bytes(2, "big")
    flow = bytes((6,)) + host + bytes((10, 0, 0, 0)) + port + (443).to_bytes(2, "big")
    return build_segment(flow, 1, 1, ACK)


def _build_controller(view: View, placed: int) -> tuple[FlowController, list[bytes]]:
    settings = FlowSettings(warm_up_s=0.0, initial_fraction=1.0)
    controller = FlowController("s0", "z0", settings, Random(1))
    controller.handle(ViewChanged(view), 1.0)
    service_id = view.tables["service-0"].service_id
    flows = []
    for index in range(placed):
        packet = _build_packet(index)
        flow = read_headers(packet).unwrap().flow
        flows.append(flow)
        message = Forward(service_id, 1, flow, 0, True, packet)
        controller.handle(MessageArrived("s1", message), 1.0 + index / 1000)
    return controller, flows


def _measure_flows() -> list[Slope]:
    view, wider = _build_view(4), _build_view(5)
    flow_bytes, redirect_bytes, export_bytes, moved = [], [], [], []
    for count in FLOW_SIZES:
        flow_bytes.append(
            (count, _measure_bytes(lambda n=count: _build_controller(view, n)[0]))
        )
        redirect_bytes.append(
            (count, _measure_bytes(lambda n=count: _build_home(view, n)))
        )
        controllers = [_build_controller(view, count)[0] for _ in range(3)]
        export_bytes.append((count, len(controllers[0].export_state())))
        moved.append((count, min(_time_move(c, wider) for c in controllers)))
    return [
        fit_slope("memory_flow", "flows", "B", flow_bytes),
        fit_slope("memory_redirect", "redirects", "B", redirect_bytes),
        fit_slope("handover", "flows", "B", export_bytes),
        fit_slope("move", "flows", "us", moved),
    ]


def _build_home(view: View, count: int) -> FlowController:
    controller, _ = _build_controller(view, 0)
    service_id = view.tables["service-0"].service_id
    for start in range(0, count, 64):
        flows = tuple(
            read_headers(_build_packet(index)).unwrap().flow
            for index in range(start, min(start + 64, count))
        )
        put = RedirectPut(service_id, flows, "s1", start)
        controller.handle(MessageArrived("s1", put), 2.0)
    return controller


def _time_move(controller: FlowController, view: View) -> float:
    """Return the time of a view change and the scan of all flows."""

    def run():
        controller.handle(ViewChanged(view), 20.0)
        for tick in range(100):
            controller.handle(Tick(), 20.0 + tick / 10)

    return time_us(run, 1)
