"""Datagram flows of the caller stand-in."""

import threading
import time

import attrs

from bramleystair.fabric import (
    build_datagram,
    build_flow_key,
    open_udp_socket,
    read_flow_key,
    read_payload,
)
from bramleystair.packets import reverse_flow
from bramleystair.tables import Protocol

BUFFER_BYTES = 4_194_304
MAX_DATAGRAM_BYTES = 65_535
POLL_S = 0.2
IDLE_S = 0.005
FIRST_PORT = 1_024
PORTS_PER_ADDRESS = 50_000
# The backend server counts a flow's datagrams, so a count that falls by more than
# reordering explains means that its state was lost.
MAX_REORDERING = 64
HEARTBEAT = "heartbeat"
# Server, service and count, then the first words of the heartbeat.
ANSWER_WORDS = 6
FULL_REPORT_FLOWS = 10_000


@attrs.frozen
class FlowOrder:
    """Flows to open.

    Parameters
    ----------
    service, address, port : str, str, int
        The service and where it is reached.
    count : int
        Number of flows.
    period_s : float
        Interval between the heartbeats of one flow.
    payload_bytes : int
        Size to which heartbeats are padded.
    """

    service: str
    address: str
    port: int
    count: int
    period_s: float = 0.5
    payload_bytes: int = 64


@attrs.define
class CallerFlow:
    """State of one flow as its caller sees it."""

    number: int
    service: str
    key: bytes
    period_s: float
    payload_bytes: int
    next_s: float
    sent: int = 0
    answers: int = 0
    server: str = ""
    server_since_s: float = 0.0
    count: int = 0
    first_sent_s: float = 0.0
    answered_s: float = 0.0
    first_unanswered_s: float | None = None
    longest_wait_s: float = 0.0
    breaks: list[dict] = attrs.Factory(list)


class CallerFlows:
    """Open flows, send heartbeats and check the answers.

    Parameters
    ----------
    host : str
        IP address of the socket.
    fabric : tuple of str and int
        Address of the fabric stand-in.
    """

    def __init__(self, host: str, fabric: tuple[str, int]) -> None:
        self._fabric = fabric
        self._socket = open_udp_socket(host, 0, BUFFER_BYTES)
        self._socket.settimeout(POLL_S)
        self._flows: dict[bytes, CallerFlow] = {}
        self._misdelivered: list[dict] = []
        self._unexpected = 0
        self._is_open = True
        self._is_sending = True
        self._threads = [
            threading.Thread(target=target, daemon=True)
            for target in (self._send_all, self._receive_all)
        ]

    def start(self) -> None:
        """Start the threads."""
        for thread in self._threads:
            thread.start()

    def close(self) -> None:
        """Stop the threads and close the socket."""
        self._is_open = False
        for thread in self._threads:
            thread.join()
        self._socket.close()

    def open(self, order: FlowOrder) -> None:
        """Open the flows of `order`, spread over one period."""
        now = time.monotonic()
        opened = {}
        for index in range(order.count):
            number = len(self._flows) + index
            key = build_flow_key(
                Protocol.UDP,
                f"10.200.{number // PORTS_PER_ADDRESS}.1",
                FIRST_PORT + number % PORTS_PER_ADDRESS,
                order.address,
                order.port,
            )
            opened[key] = CallerFlow(
                number,
                order.service,
                key,
                order.period_s,
                order.payload_bytes,
                now + order.period_s * index / order.count,
            )
        self._flows = {**self._flows, **opened}

    def stop_sending(self) -> None:
        """Send no more heartbeats; answers on their way are still taken."""
        self._is_sending = False

    def report(self) -> dict:
        """Return what was seen of all flows."""
        now = time.monotonic()
        flows = list(self._flows.values())
        return {
            "now_s": now,
            "misdelivered": list(self._misdelivered),
            "unexpected": self._unexpected,
            "flows": [_describe(flow, now) for flow in flows[:FULL_REPORT_FLOWS]],
        }

    def _send_all(self) -> None:
        pause = threading.Event()
        while self._is_open:
            now = time.monotonic()
            for flow in self._flows.values():
                if self._is_sending and flow.next_s <= now:
                    self._send(flow, now)
            pause.wait(IDLE_S)

    def _send(self, flow: CallerFlow, now: float) -> None:
        flow.next_s = max(flow.next_s + flow.period_s, now)
        flow.sent += 1
        flow.first_sent_s = flow.first_sent_s or now
        if flow.first_unanswered_s is None:
            flow.first_unanswered_s = now
        text = f"{HEARTBEAT} {flow.service} {flow.number} {flow.sent} ".encode()
        packet = build_datagram(flow.key, text.ljust(flow.payload_bytes, b"."))
        try:
            self._socket.sendto(packet, self._fabric)
        except OSError:
            # The fabric's queue is full; the heartbeat counts as lost.
            return

    def _receive_all(self) -> None:
        while self._is_open:
            try:
                packet = self._socket.recv(MAX_DATAGRAM_BYTES)
            except OSError:
                continue
            self._take(packet)

    def _take(self, packet: bytes) -> None:
        key = read_flow_key(packet)
        payload = read_payload(packet)
        flow = self._flows.get(reverse_flow(key)) if key else None
        words = payload.split()[:ANSWER_WORDS] if payload else []
        if flow is None or len(words) < ANSWER_WORDS:
            self._unexpected += 1
            return
        server, service, count, _, asked, number = (word.decode() for word in words)
        is_own = service == asked == flow.service and number == str(flow.number)
        if not is_own:
            self._misdelivered.append(
                {"flow": flow.number, "server": server, "service": service}
            )
            return
        self._check(flow, server, int(count))

    def _check(self, flow: CallerFlow, server: str, count: int) -> None:
        now = time.monotonic()
        if flow.first_unanswered_s is not None:
            wait_s = now - flow.first_unanswered_s
            flow.longest_wait_s = max(flow.longest_wait_s, wait_s)
        flow.first_unanswered_s = None
        flow.answers += 1
        flow.answered_s = now
        is_moved = bool(flow.server) and flow.server != server
        is_restarted = not is_moved and count < flow.count - MAX_REORDERING
        if is_moved or is_restarted:
            reason = "moved" if is_moved else "restarted"
            change = {"from": flow.server, "to": server, "reason": reason, "at_s": now}
            flow.breaks.append(change)
            flow.count = 0
        if flow.server != server:
            flow.server_since_s = now
        flow.server = server
        flow.count = max(flow.count, count)


def _describe(flow: CallerFlow, now: float) -> dict:
    unanswered = flow.first_unanswered_s
    return {
        "number": flow.number,
        "service": flow.service,
        "server": flow.server,
        "server_since_s": flow.server_since_s,
        "sent": flow.sent,
        "answers": flow.answers,
        "silent_s": 0.0 if unanswered is None else now - unanswered,
        "longest_wait_s": flow.longest_wait_s,
        "breaks": flow.breaks,
    }
