"""Measure the balancer's packet path against a bare UDP relay."""

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
MEMORY_FLOWS = 10_000
MEMORY_SERVERS = 1_000
MICRO = 1e6


@attrs.frozen
class Load:
    """Sockets and packets of one measurement."""

    source: socket.socket
    relay: socket.socket
    sinks: tuple[socket.socket, ...]
    datagrams: tuple[bytes, ...]
    view: View


def forward(
    *, rounds: int = 60, batch: int = 128, packet_bytes: int = 600, flows: int = 512
) -> None:
    """Compare one balancer's packet rate with that of a bare UDP relay.

    The receive queue is filled with a batch of packets, and the time to empty it is
    taken in turn for the relay, which receives and sends each packet unchanged, and for
    the balancer's packet path.

    Parameters
    ----------
    rounds : int
        Number of pairs of measurements, each of 20 batches.
    batch : int
        Packets in the queue; lowered to what the receive buffer holds.
    packet_bytes : int
        Size of the Geneve datagrams, and of what the relay carries.
    flows : int
        Number of flows over which the packets are spread.
    """
    load = build_load(flows, packet_bytes)
    batch = min(batch, count_capacity(load))
    run_relay = build_relay(load)
    run_forwarder = build_forwarder(load)
    pairs = []
    for _ in range(rounds):
        relay_s = measure_batches(load, run_relay, batch)
        forwarder_s = measure_batches(load, run_forwarder, batch)
        pairs.append((relay_s, forwarder_s))
    ratio = statistics.median(relay / own for relay, own in pairs)
    relay_us = statistics.median(pair[0] for pair in pairs) * MICRO
    forwarder_us = statistics.median(pair[1] for pair in pairs) * MICRO
    stages = measure_stages(load, batch)
    memory = measure_memory()
    print(f"bare relay     {relay_us:6.2f} us a packet")
    print(f"balancer       {forwarder_us:6.2f} us a packet")
    for name, value in stages.items():
        print(f"  {name:<12} {value:6.2f} us")
    for name, value in memory.items():
        print(f"memory per {name:<7} {value:6.0f} B")
    figures = {
        "ratio": round(ratio, 3),
        "relay_us": round(relay_us, 2),
        "balancer_us": round(forwarder_us, 2),
        "pairs": len(pairs),
        "packet_bytes": packet_bytes,
        "stages_us": {name: round(value, 2) for name, value in stages.items()},
        "memory_bytes": {name: round(value) for name, value in memory.items()},
    }
    print(json.dumps(figures))


def build_load(flows: int, packet_bytes: int) -> Load:
    """Return sockets on the loopback interface and packets of `flows` flows."""
    sinks = tuple(open_udp_socket(HOST, 0, BUFFER_BYTES) for _ in range(MEMBERS))
    view = build_view(MEMBERS)
    agents = {
        name: attrs.evolve(agent, port=sink.getsockname()[1])
        for (name, agent), sink in zip(view.agents.items(), sinks, strict=True)
    }
    payload = bytes(packet_bytes - OVERHEAD_BYTES)
    datagrams = tuple(
        encapsulate(build_datagram(_build_key(number), payload), 0)
        for number in range(flows)
    )
    return Load(
        open_udp_socket(HOST, 0),
        open_udp_socket(HOST, 0, BUFFER_BYTES),
        sinks,
        datagrams,
        attrs.evolve(view, agents=agents),
    )


def _build_key(number: int) -> bytes:
    port = 1_024 + number % 60_000
    source = f"10.2.{number // 60_000}.1"
    return build_flow_key(Protocol.UDP, source, port, "10.1.0.1", 4433)


def count_capacity(load: Load) -> int:
    """Return how many of the packets the relay's receive buffer holds."""
    fill(load, len(load.datagrams))
    return drain(load.relay)


def fill(load: Load, batch: int) -> None:
    """Put `batch` packets into the relay's receive buffer."""
    address = load.relay.getsockname()
    for number in range(batch):
        load.source.sendto(load.datagrams[number % len(load.datagrams)], address)


def drain(udp: socket.socket) -> int:
    """Read all packets that wait and return their number."""
    udp.setblocking(False)
    count = 0
    try:
        while True:
            udp.recv(MAX_DATAGRAM_BYTES)
            count += 1
    except BlockingIOError:
        return count


def build_relay(load: Load) -> Callable[[int], None]:
    """Return a function that relays a number of packets unchanged."""
    receive, send = load.relay.recv, load.relay.sendto
    targets = [sink.getsockname() for sink in load.sinks]

    def run(count: int) -> None:
        target = targets[0]
        for _ in range(count):
            send(receive(MAX_DATAGRAM_BYTES), target)

    return run


def build_forwarder(load: Load) -> Callable[[int], None]:
    """Return a function that forwards a number of packets as the balancer does."""
    forwarder = Forwarder("balancer-1", 7, load.relay, 0, Metrics())
    forwarder.set_view(load.view)
    forwarder.apply_view()

    def run(count: int) -> None:
        forwarder.run_batch(count)

    return run


def measure_batches(
    load: Load, run: Callable[[int], None], batch: int, batches: int = 20
) -> float:
    """Return the seconds that `run` takes for each packet."""
    total_s = 0.0
    for _ in range(batches):
        fill(load, batch)
        load.relay.setblocking(False)
        start_s = time.perf_counter()
        run(batch)
        total_s += time.perf_counter() - start_s
        left = drain(load.relay)
        arrived = sum(drain(sink) for sink in load.sinks)
        if left or arrived != batch:
            raise RuntimeError(f"{arrived} of {batch} packets arrived, {left} left")
    return total_s / (batches * batch)


def measure_stages(load: Load, batch: int) -> dict[str, float]:
    """Return the microseconds for each packet of every stage, measured alone."""
    router = Router()
    router.set_view(load.view)
    packets = [decapsulate(data, 0).unwrap() for data in load.datagrams]
    routes = [router.route(packet) for packet in packets]
    messages = [
        Forward(route.service_id, route.table_version, route.flow, 0, False, packet)
        for route, packet in zip(routes, packets, strict=True)
    ]
    encoded = [encode_forward("balancer-1", 7, message) for message in messages]
    target = load.sinks[0].getsockname()
    receive = _measure_receive(load, batch)
    sent = [(data, target) for data in encoded[:batch]]
    send = _time_calls(lambda pair: load.relay.sendto(*pair), sent)
    drain(load.sinks[0])
    return {
        "receive": receive,
        "geneve": _time_calls(lambda data: decapsulate(data, 0), load.datagrams),
        "headers": _time_calls(read_headers, packets),
        "route": _time_calls(router.route, packets),
        "encode": _time_calls(lambda m: encode_forward("balancer-1", 7, m), messages),
        "send": send,
    }


def measure_memory() -> dict[str, float]:
    """Return the bytes that a balancer holds for each cached flow and each server."""
    view = build_view(MEMBERS)
    packets = [
        build_datagram(_build_key(number), b"") for number in range(MEMORY_FLOWS)
    ]
    router = Router()
    router.set_view(view)
    tracemalloc.start()
    router.route(packets[0])
    before = tracemalloc.get_traced_memory()[0]
    for packet in packets[1:]:
        router.route(packet)
    flow_bytes = tracemalloc.get_traced_memory()[0] - before
    before = tracemalloc.get_traced_memory()[0]
    large = build_view(MEMORY_SERVERS)
    large.list_candidates(large.tables["feed"].service_id)
    server_bytes = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return {
        "flow": flow_bytes / (MEMORY_FLOWS - 1),
        "server": server_bytes / MEMORY_SERVERS,
    }


def build_view(members: int) -> View:
    """Return a view with a table of `members` backend servers."""
    names = [f"server-{number}" for number in range(members)]
    rows = tuple(Member(name, "zone-1", 1.0, 2_000, 3) for name in names)
    table = Table("feed", "10.1.0.1", 4433, Protocol.UDP, rows, 7)
    agents = {name: AgentAnnouncement(name, "zone-1", HOST, 7946, 1) for name in names}
    return View({"feed": table}, agents=agents, generation=1)


def _measure_receive(load: Load, batch: int) -> float:
    fill(load, batch)
    receive = load.relay.recv
    return _time_calls(lambda _: receive(MAX_DATAGRAM_BYTES), range(batch))


def _time_calls(function: Callable, items) -> float:
    start_s = time.perf_counter()
    for item in items:
        function(item)
    return (time.perf_counter() - start_s) / len(items) * MICRO
