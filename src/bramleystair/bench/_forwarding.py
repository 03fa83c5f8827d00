"""Benchmark of the balancer's packet path against a bare UDP relay."""

import json
import socket
import statistics
import time
import tracemalloc
from collections.abc import Callable

import attrs

from bramleystair.balancer import Forwarder
from bramleystair.fabric import (
    build_datagram,
    build_flow_key,
    decapsulate,
    encapsulate,
    open_udp_socket,
)
from bramleystair.metrics import Metrics
from bramleystair.packets import read_headers
from bramleystair.routing import Router
from bramleystair.tables import AgentAnnouncement, Member, Protocol, Table
from bramleystair.views import View
from bramleystair.wire import Forward, encode_forward

HOST = "127.0.0.1"
BUFFER_BYTES = 4_194_304
MAX_DATAGRAM_BYTES = 65_535
# Geneve header and inner headers of IPv4 and UDP.
OVERHEAD_BYTES = 36
MEMBERS = 7
MEMORY_FLOW_COUNT = 10_000
MEMORY_SERVER_COUNT = 1_000
MICRO = 1e6


@attrs.frozen
class ForwardingSetup:
    """Sockets, packets and view of one measurement."""

    source: socket.socket
    relay: socket.socket
    sinks: tuple[socket.socket, ...]
    datagrams: tuple[bytes, ...]
    view: View


def measure_forwarding(
    *, rounds: int = 60, batch: int = 128, packet_bytes: int = 600, flows: int = 512
) -> None:
    """Compare one balancer's packet rate with that of a bare UDP relay.

    Each round fills the receive queue with a batch of packets and times how long it
    takes to empty, first by the relay, which sends each packet on unchanged, and then
    by the balancer's packet path.

    Parameters
    ----------
    rounds : int
        Number of pairs of measurements; each measurement takes 20 batches.
    batch : int
        Packets per batch; lowered to what the receive buffer holds.
    packet_bytes : int
        Size of each datagram, Geneve header included.
    flows : int
        Number of flows that the packets belong to.
    """
    setup = build_setup(flows, packet_bytes)
    batch = min(batch, count_queue_capacity(setup))
    run_relay = build_relay(setup)
    run_forwarder = build_forwarder(setup)
    pairs = []
    for _ in range(rounds):
        relay_s = measure_batches(setup, run_relay, batch)
        forwarder_s = measure_batches(setup, run_forwarder, batch)
        pairs.append((relay_s, forwarder_s))
    ratio = statistics.median(relay / balancer for relay, balancer in pairs)
    relay_us = statistics.median(pair[0] for pair in pairs) * MICRO
    forwarder_us = statistics.median(pair[1] for pair in pairs) * MICRO
    stages = measure_stages(setup, batch)
    memory = measure_memory()
    print(f"bare relay     {relay_us:6.2f} us a packet")
    print(f"balancer       {forwarder_us:6.2f} us a packet")
    for name, value in stages.items():
        print(f"  {name:<12} {value:6.2f} us")
    for name, value in memory.items():
        print(f"memory per {name:<7} {value:6.0f} B")
    results = {
        "ratio": round(ratio, 3),
        "relay_us": round(relay_us, 2),
        "balancer_us": round(forwarder_us, 2),
        "pairs": len(pairs),
        "packet_bytes": packet_bytes,
        "stages_us": {name: round(value, 2) for name, value in stages.items()},
        "memory_bytes": {name: round(value) for name, value in memory.items()},
    }
    print(json.dumps(results))


def build_setup(flows: int, packet_bytes: int) -> ForwardingSetup:
    """Return sockets on the loopback interface, and packets of `flows` flows."""
    sinks = tuple(open_udp_socket(HOST, 0, BUFFER_BYTES) for _ in range(MEMBERS))
    view = build_view(MEMBERS)
    agents = {
        name: attrs.evolve(agent, port=sink.getsockname()[1])
        for (name, agent), sink in zip(view.agents.items(), sinks, strict=True)
    }
    payload = bytes(packet_bytes - OVERHEAD_BYTES)
    datagrams = tuple(
        encapsulate(build_datagram(_build_flow_key(number), payload), 0)
        for number in range(flows)
    )
    return ForwardingSetup(
        open_udp_socket(HOST, 0),
        open_udp_socket(HOST, 0, BUFFER_BYTES),
        sinks,
        datagrams,
        attrs.evolve(view, agents=agents),
    )


def _build_flow_key(number: int) -> bytes:
    port = 1_024 + number % 60_000
    source = f"10.2.{number // 60_000}.1"
    return build_flow_key(Protocol.UDP, source, port, "10.1.0.1", 4433)


def count_queue_capacity(setup: ForwardingSetup) -> int:
    """Return how many packets the relay's receive buffer holds."""
    fill_queue(setup, len(setup.datagrams))
    return drain_socket(setup.relay)


def fill_queue(setup: ForwardingSetup, batch: int) -> None:
    """Send `batch` packets to the relay's receive buffer."""
    address = setup.relay.getsockname()
    for number in range(batch):
        setup.source.sendto(setup.datagrams[number % len(setup.datagrams)], address)


def drain_socket(udp: socket.socket) -> int:
    """Receive all queued packets and return their number."""
    udp.setblocking(False)
    count = 0
    try:
        while True:
            udp.recv(MAX_DATAGRAM_BYTES)
            count += 1
    except BlockingIOError:
        return count


def build_relay(setup: ForwardingSetup) -> Callable[[int], None]:
    """Return a function that relays a given number of packets unchanged."""
    receive, send = setup.relay.recv, setup.relay.sendto
    targets = [sink.getsockname() for sink in setup.sinks]

    def run(count: int) -> None:
        target = targets[0]
        for _ in range(count):
            send(receive(MAX_DATAGRAM_BYTES), target)

    return run


def build_forwarder(setup: ForwardingSetup) -> Callable[[int], None]:
    """Return a function that forwards a given number of packets as a balancer does."""
    forwarder = Forwarder("balancer-1", 7, setup.relay, 0, Metrics())
    forwarder.set_view(setup.view)
    forwarder.apply_view()

    def run(count: int) -> None:
        forwarder.run_batch(count)

    return run


def measure_batches(
    setup: ForwardingSetup,
    run: Callable[[int], None],
    batch: int,
    batch_count: int = 20,
) -> float:
    """Return the seconds per packet that `run` takes."""
    total_s = 0.0
    for _ in range(batch_count):
        fill_queue(setup, batch)
        setup.relay.setblocking(False)
        start_s = time.perf_counter()
        run(batch)
        total_s += time.perf_counter() - start_s
        remaining = drain_socket(setup.relay)
        arrived = sum(drain_socket(sink) for sink in setup.sinks)
        if remaining or arrived != batch:
            raise RuntimeError(
                f"{arrived} of {batch} packets arrived, {remaining} still queued"
            )
    return total_s / (batch_count * batch)


def measure_stages(setup: ForwardingSetup, batch: int) -> dict[str, float]:
    """Return the microseconds per packet of each stage, measured separately."""
    router = Router()
    router.set_view(setup.view)
    packets = [decapsulate(data, 0).unwrap() for data in setup.datagrams]
    routes = [router.route(packet) for packet in packets]
    messages = [
        Forward(route.service_id, route.table_version, route.flow, 0, False, packet)
        for route, packet in zip(routes, packets, strict=True)
    ]
    encoded = [encode_forward("balancer-1", 7, message) for message in messages]
    target = setup.sinks[0].getsockname()
    receive = _measure_receive(setup, batch)
    sends = [(data, target) for data in encoded[:batch]]
    send = _time_calls(lambda pair: setup.relay.sendto(*pair), sends)
    drain_socket(setup.sinks[0])
    return {
        "receive": receive,
        "geneve": _time_calls(lambda data: decapsulate(data, 0), setup.datagrams),
        "headers": _time_calls(read_headers, packets),
        "route": _time_calls(router.route, packets),
        "encode": _time_calls(lambda m: encode_forward("balancer-1", 7, m), messages),
        "send": send,
    }


def measure_memory() -> dict[str, float]:
    """Return a balancer's memory in bytes per cached flow and per backend server."""
    view = build_view(MEMBERS)
    packets = [
        build_datagram(_build_flow_key(number), b"")
        for number in range(MEMORY_FLOW_COUNT)
    ]
    router = Router()
    router.set_view(view)
    tracemalloc.start()
    router.route(packets[0])
    baseline = tracemalloc.get_traced_memory()[0]
    for packet in packets[1:]:
        router.route(packet)
    flow_bytes = tracemalloc.get_traced_memory()[0] - baseline
    baseline = tracemalloc.get_traced_memory()[0]
    large_view = build_view(MEMORY_SERVER_COUNT)
    large_view.list_candidates(large_view.tables["feed"].service_id)
    server_bytes = tracemalloc.get_traced_memory()[0] - baseline
    tracemalloc.stop()
    return {
        "flow": flow_bytes / (MEMORY_FLOW_COUNT - 1),
        "server": server_bytes / MEMORY_SERVER_COUNT,
    }


def build_view(members: int) -> View:
    """Return a view with one table of `members` backend servers."""
    names = [f"server-{number}" for number in range(members)]
    rows = tuple(Member(name, "zone-1", 1.0, 2_000, 3) for name in names)
    table = Table("feed", "10.1.0.1", 4433, Protocol.UDP, rows, 7)
    agents = {name: AgentAnnouncement(name, "zone-1", HOST, 7946, 1) for name in names}
    return View({"feed": table}, agents=agents, generation=1)


def _measure_receive(setup: ForwardingSetup, batch: int) -> float:
    fill_queue(setup, batch)
    receive = setup.relay.recv
    return _time_calls(lambda _: receive(MAX_DATAGRAM_BYTES), range(batch))


def _time_calls(function: Callable, items) -> float:
    start_s = time.perf_counter()
    for item in items:
        function(item)
    return (time.perf_counter() - start_s) / len(items) * MICRO
