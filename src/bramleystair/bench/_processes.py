"""Measurement of real processes that exchange messages over loopback UDP."""

import multiprocessing
import resource
import select
import socket
import statistics
import time
from random import Random

import attrs

from bramleystair.actions import Send
from bramleystair.bench._fits import MICRO, Slope, fit_slope
from bramleystair.bench._fleet_spec import (
    FIRST_VERSION,
    MEMBERS_PER_TABLE,
    build_table,
    encode_stored_object,
)
from bramleystair.bench._simulated_network import HEADERS_BYTES, SimulatedNetwork
from bramleystair.replicas import (
    BalancerReplica,
    MessageArrived,
    Peer,
    PlatformObjects,
    ReplicaSettings,
    Tick,
)
from bramleystair.wire import decode, encode

HOST = "127.0.0.1"
BUFFER_BYTES = 65_535
SEED_COUNT = 3
ZONES = 5
# The largest run, of 100 processes, needs about 3 GB of memory.
PROCESS_COUNTS = (10, 25, 50, 75, 100)
HEARTBEAT_PERIODS_S = (1.0, 0.5, 0.25, 0.125, 0.0625)
RATE_NODES = 20
START_S = 8.0
MEASURED_S = 6.0
SPREAD_S = 4.0
TICK_S = 0.25
SHORT_TICK_S = 0.0625
TABLE = encode_stored_object(build_table(0, MEMBERS_PER_TABLE, 100, 15), FIRST_VERSION)


@attrs.define
class Counts:
    """Messages and bytes sent and received by one process, and its processor time."""

    messages: int = 0
    bytes: int = 0
    cpu_s: float = 0.0

    def subtract(self, other: "Counts") -> "Counts":
        """Return the difference to `other`."""
        return Counts(
            self.messages - other.messages,
            self.bytes - other.bytes,
            self.cpu_s - other.cpu_s,
        )


@attrs.frozen
class ProcessReport:
    """Result of one process.

    Parameters
    ----------
    idle, spread : Counts
        Counts of the window without changes and of the window in which a table spreads.
    received_s : float
        Monotonic time at which the process received the table; 0 if it did not.
    memory : int
        Maximum resident set size in bytes.
    """

    idle: Counts
    spread: Counts
    received_s: float
    memory: int


class _ReplicaProcess:
    """Event loop of one replica and its socket."""

    def __init__(self, replica: BalancerReplica, udp: socket.socket) -> None:
        self.replica = replica
        self.received_s = 0.0
        self._udp = udp
        self._sources: dict[str, tuple] = {}
        self._counts = Counts()

    def run(self, start: float, tick_s: float, is_origin: bool) -> ProcessReport:
        """Run until the last window ends and return the report."""
        self._run_until(start + START_S, tick_s)
        first = self._read_counts()
        self._run_until(start + START_S + MEASURED_S, tick_s)
        second = self._read_counts()
        if is_origin:
            self._handle(PlatformObjects((TABLE,)))
        self._run_until(start + START_S + MEASURED_S + SPREAD_S, tick_s)
        last = self._read_counts()
        memory = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024
        idle, spread = second.subtract(first), last.subtract(second)
        return ProcessReport(idle, spread, self.received_s, memory)

    def _run_until(self, end: float, tick_s: float) -> None:
        due = time.monotonic()
        while (now := time.monotonic()) < end:
            if now >= due:
                due = now + tick_s
                self._handle(Tick())
            wait_s = max(0.0, min(due, end) - time.monotonic())
            if select.select([self._udp], [], [], wait_s)[0]:
                self._receive()

    def _receive(self) -> None:
        data, address = self._udp.recvfrom(BUFFER_BYTES)
        self._count(data)
        envelope = decode(data).unwrap()
        self._sources[envelope.sender] = address
        self._handle(MessageArrived(envelope.sender, envelope.message))

    def _handle(self, event) -> None:
        for action in self.replica.handle(event, time.monotonic()):
            if isinstance(action, Send):
                self._send(action)
        if not self.received_s and self.replica.store.get_version(TABLE.key):
            self.received_s = time.monotonic()

    def _send(self, action: Send) -> None:
        address = self.replica.resolve(action.peer) or self._sources.get(action.peer)
        if address is None:
            return
        data = encode(self.replica.name, 1, action.message)
        self._count(data)
        self._udp.sendto(data, address)

    def _count(self, data: bytes) -> None:
        self._counts.messages += 1
        self._counts.bytes += len(data) + HEADERS_BYTES

    def _read_counts(self) -> Counts:
        return attrs.evolve(self._counts, cpu_s=time.process_time())


def _open_sockets(count: int) -> list[socket.socket]:
    sockets = []
    for _ in range(count):
        udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        udp.bind((HOST, 0))
        sockets.append(udp)
    return sockets


def _build_replica(index: int, ports: list[int], period_s: float) -> BalancerReplica:
    seeds = tuple(Peer(f"b{i}", HOST, ports[i]) for i in range(SEED_COUNT))
    settings = ReplicaSettings(port=ports[index], heartbeat_period_s=period_s)
    zone = f"z{index % ZONES}"
    return BalancerReplica(f"b{index}", zone, "r0", 1, seeds, settings, Random(index))


def _run_child(connection, index, udp, ports, period_s, tick_s, start) -> None:
    node = _ReplicaProcess(_build_replica(index, ports, period_s), udp)
    connection.send(node.run(start, tick_s, index == 0))


def run_processes(count: int, period_s: float, tick_s: float) -> list[ProcessReport]:
    """Run `count` balancer replicas in processes of their own for 18 s."""
    context = multiprocessing.get_context("fork")
    sockets = _open_sockets(count)
    ports = [udp.getsockname()[1] for udp in sockets]
    start = time.monotonic() + 1.0
    children = []
    for index, udp in enumerate(sockets):
        reader, writer = context.Pipe(duplex=False)
        args = (writer, index, udp, ports, period_s, tick_s, start)
        child = context.Process(target=_run_child, args=args)
        child.start()
        children.append((child, reader))
    for udp in sockets:
        udp.close()
    reports = [reader.recv() for _, reader in children]
    for child, _ in children:
        child.join()
    return reports


def simulate_processes(count: int, period_s: float, tick_s: float) -> dict[str, float]:
    """Return the same figures for the same replicas on a simulated network."""
    network = SimulatedNetwork(Random(1), tick_s, is_codec_checked=True)
    ports = list(range(1, count + 1))
    for index in range(count):
        network.add(f"b{index}", _build_replica(index, ports, period_s))
    network.run(START_S)
    network.reset_counts()
    network.run(MEASURED_S)
    idle_bytes = network.sent_bytes.total() + network.received_bytes.total()
    messages, work_s = 2 * network.messages.total(), network.work_s.total()
    network.reset_counts()
    network.deliver("b0", PlatformObjects((TABLE,)))
    network.run(SPREAD_S)
    spread_bytes = network.sent_bytes.total() + network.received_bytes.total()
    return {
        "bytes_per_s": idle_bytes / count / MEASURED_S,
        "messages_per_s": messages / count / MEASURED_S,
        "work": work_s / count / MEASURED_S * MICRO,
        "spread": (spread_bytes - idle_bytes / MEASURED_S * SPREAD_S) / count,
    }


def _summarise(reports: list[ProcessReport]) -> dict[str, float]:
    received_times = [report.received_s for report in reports]
    idle_bytes = statistics.mean(report.idle.bytes for report in reports)
    spread_bytes = statistics.mean(report.spread.bytes for report in reports)
    return {
        "bytes_per_s": idle_bytes / MEASURED_S,
        "messages_per_s": statistics.mean(r.idle.messages for r in reports)
        / MEASURED_S,
        "work": statistics.mean(r.idle.cpu_s for r in reports) / MEASURED_S * MICRO,
        "spread": spread_bytes - idle_bytes / MEASURED_S * SPREAD_S,
        "reached": sum(time_s > 0 for time_s in received_times) / len(received_times),
        "spread_s": max(received_times)
        - min(time_s for time_s in received_times if time_s),
        "memory": max(report.memory for report in reports),
    }


def measure_processes() -> tuple[list[Slope], list[dict]]:
    """Return simulated and measured slopes, and a row for each run."""
    rows = []
    runs = [(count, 1.0, TICK_S) for count in PROCESS_COUNTS]
    runs += [(RATE_NODES, period_s, SHORT_TICK_S) for period_s in HEARTBEAT_PERIODS_S]
    for count, period_s, tick_s in runs:
        seen = _summarise(run_processes(count, period_s, tick_s))
        predicted = simulate_processes(count, period_s, tick_s)
        row = {"nodes": count, "period_s": period_s, "seen": seen}
        rows.append(row | {"predicted": predicted})
    by_size, by_rate = rows[: len(PROCESS_COUNTS)], rows[len(PROCESS_COUNTS) :]
    slopes = []
    for source in ("predicted", "seen"):
        for kind, unit in (("bytes_per_s", "B/s"), ("spread", "B")):
            points = [(row["nodes"], row[source][kind]) for row in by_size]
            slopes.append(fit_slope(f"{source}_{kind}", "processes", unit, points))
        points = [(r[source]["messages_per_s"], r[source]["work"]) for r in by_rate]
        slopes.append(fit_slope(f"{source}_work", "messages/s", "us/s", points))
    return slopes, rows
