"""Slopes of memory and processing time within one process."""

import gc
import itertools
import tracemalloc
from random import Random

from bramleystair.bench._fits import Slope, fit_slope, measure_median_us
from bramleystair.bench._fleet_spec import (
    FIRST_VERSION,
    MEMBERS_PER_TABLE,
    PLANNED_FLEET,
    SCALE_FACTORS,
    build_agent_announcement,
    build_balancer_announcement,
    build_balancer_replica,
    build_objects,
    build_table,
    encode_stored_object,
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

OBJECT_COUNTS = (400, 800, 1200, 1600, 2000)
MEMBER_COUNTS = (4, 8, 16, 32, 64)
FLOW_COUNTS = (2000, 4000, 6000, 8000, 10_000)
ACK = 0x10
REPORT_VERSION = FIRST_VERSION + 1


def measure_state() -> list[Slope]:
    """Return the slopes of memory, view updates, placement and ticks."""
    return [
        *_measure_object_memory(),
        _measure_table_bytes(),
        *_measure_views(),
        _measure_rendezvous(),
        *_measure_ticks(),
        *_measure_flows(),
    ]


def _measure_bytes(build) -> float:
    """Return the memory in bytes retained by the result of `build`."""
    gc.collect()
    tracemalloc.start()
    retained = build()
    gc.collect()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del retained
    return size


def _build_store(objects: list[StoredObject]) -> ObjectStore:
    object_store = ObjectStore()
    for item in objects:
        # Bodies arrive in separate messages and share no memory, so each is copied.
        object_store.put(
            StoredObject(item.key, item.version, "", bytes(bytearray(item.body)))
        )
    object_store.build_view()
    return object_store


def _measure_object_memory() -> list[Slope]:
    builders = {
        "table": lambda i: encode_stored_object(
            build_table(i, MEMBERS_PER_TABLE, PLANNED_FLEET.agents, 15), FIRST_VERSION
        ),
        "agent": lambda i: encode_stored_object(
            build_agent_announcement(i, 15, PLANNED_FLEET.tables), FIRST_VERSION
        ),
        "balancer": lambda i: encode_stored_object(
            build_balancer_announcement(i, 15, 6), FIRST_VERSION
        ),
        "liveness": lambda i: StoredObject(
            f"liveness/s{i}", FIRST_VERSION + 1, "", b"{}"
        ),
        "tombstone": lambda i: StoredObject(f"agent/s{i}", FIRST_VERSION + 1, "", b""),
    }
    slopes = []
    for kind, build in builders.items():
        points = []
        for count in OBJECT_COUNTS:
            objects = [build(index) for index in range(count)]
            points.append((count, _measure_bytes(lambda o=objects: _build_store(o))))
        slopes.append(fit_slope(f"memory_{kind}", f"{kind} objects", "B", points))
    return slopes


def _measure_table_bytes() -> Slope:
    points = [
        (
            count,
            len(
                encode_stored_object(
                    build_table(0, count, 9100, 15), FIRST_VERSION
                ).body
            ),
        )
        for count in MEMBER_COUNTS
    ]
    return fit_slope("table_bytes", "members", "B", points)


def _measure_views() -> list[Slope]:
    table_points, agent_points = [], []
    for factor in SCALE_FACTORS:
        sizes = PLANNED_FLEET.scale(factor)
        objects = build_objects(sizes)
        object_store = ObjectStore()
        for item in objects:
            object_store.put(item)
        table = build_table(1, MEMBERS_PER_TABLE, sizes.agents, sizes.zones)
        agent = build_agent_announcement(1, sizes.zones, sizes.tables)
        for item, points in ((table, table_points), (agent, agent_points)):
            points.append(
                (
                    len(objects),
                    _time_object_change(object_store, item, table.service_id),
                )
            )
    return [
        fit_slope("view_table", "objects", "us", table_points),
        fit_slope("view_agent", "objects", "us", agent_points),
    ]


def _time_object_change(
    object_store: ObjectStore, item: ConfigObject, service_id: int
) -> float:
    versions = itertools.count(FIRST_VERSION + 1)

    def change():
        object_store.put(encode_stored_object(item, next(versions)))
        return object_store.build_view().list_candidates(service_id)

    return measure_median_us(change)


def _measure_rendezvous() -> Slope:
    points = []
    for count in MEMBER_COUNTS:
        candidates = [Candidate(f"s{i}", 1.0, f"z{i % 15}", 1) for i in range(count)]
        points.append(
            (count, measure_median_us(lambda c=candidates: find_home(b"f" * 13, c)))
        )
    return fit_slope("rendezvous", "members", "us", points)


def _measure_ticks() -> list[Slope]:
    """Return the time that a balancer spends per second, heartbeat and digest."""
    ticks, heartbeats, digests, object_counts = [], [], [], []
    for factor in SCALE_FACTORS:
        sizes = PLANNED_FLEET.scale(factor)
        replica = build_balancer_replica(sizes)
        clock = itertools.count(1)
        heartbeat = Heartbeat(1, services=("service-1",))
        digest = Digest(tuple(replica.store.digest))
        replica.handle(ReplicaTick(), 0.0)

        def run_second(replica=replica, clock=clock, heartbeat=heartbeat):
            now = float(next(clock))
            # Without any message, the balancer would consider itself isolated.
            replica.handle(ReplicaMessage("s5", heartbeat), now)
            for step in range(4):
                replica.handle(ReplicaTick(), now + step / 4)

        ticks.append(measure_median_us(run_second, 30))
        event = ReplicaMessage("s5", heartbeat)
        heartbeats.append(
            measure_median_us(lambda r=replica, e=event: r.handle(e, 30.9))
        )
        event = ReplicaMessage("b5", digest)
        digests.append(measure_median_us(lambda r=replica, e=event: r.handle(e, 30.9)))
        object_counts.append(len(replica.store))
    return [
        fit_slope("second", "objects", "us", zip(object_counts, ticks, strict=True)),
        fit_slope(
            "heartbeat", "objects", "us", zip(object_counts, heartbeats, strict=True)
        ),
        fit_slope("digest", "objects", "us", zip(object_counts, digests, strict=True)),
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


def _build_controller(
    view: View, flow_count: int
) -> tuple[FlowController, list[bytes]]:
    settings = FlowSettings(warm_up_s=0.0, initial_fraction=1.0)
    controller = FlowController("s0", "z0", settings, Random(1))
    controller.handle(ViewChanged(view), 1.0)
    service_id = view.tables["service-0"].service_id
    flows = []
    for index in range(flow_count):
        packet = _build_packet(index)
        flow = read_headers(packet).unwrap().flow
        flows.append(flow)
        message = Forward(service_id, 1, flow, 0, True, packet)
        controller.handle(MessageArrived("s1", message), 1.0 + index / 1000)
    return controller, flows


def _measure_flows() -> list[Slope]:
    view, larger_view = _build_view(4), _build_view(5)
    flow_bytes, redirect_bytes, export_bytes, move_times = [], [], [], []
    for count in FLOW_COUNTS:
        flow_bytes.append(
            (count, _measure_bytes(lambda n=count: _build_controller(view, n)[0]))
        )
        redirect_bytes.append(
            (count, _measure_bytes(lambda n=count: _build_home_controller(view, n)))
        )
        controllers = [_build_controller(view, count)[0] for _ in range(3)]
        export_bytes.append((count, len(controllers[0].export_state())))
        move_times.append(
            (count, min(_time_flow_move(c, larger_view) for c in controllers))
        )
    return [
        fit_slope("memory_flow", "flows", "B", flow_bytes),
        fit_slope("memory_redirect", "redirects", "B", redirect_bytes),
        fit_slope("handover", "flows", "B", export_bytes),
        fit_slope("move", "flows", "us", move_times),
    ]


def _build_home_controller(view: View, count: int) -> FlowController:
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


def _time_flow_move(controller: FlowController, view: View) -> float:
    """Return the time of a view change and the scan that moves flows to new homes."""

    def run():
        controller.handle(ViewChanged(view), 20.0)
        for tick in range(100):
            controller.handle(Tick(), 20.0 + tick / 10)

    return measure_median_us(run, 1)
