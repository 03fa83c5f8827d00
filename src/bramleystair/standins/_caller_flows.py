"""UDP flows of the caller stand-in."""

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
SEND_PAUSE_S = 0.005
FIRST_PORT = 1_024
PORTS_PER_ADDRESS = 50_000
# The backend server counts each flow's datagrams. A count that falls by more than this,
# which reordering cannot explain, means that the flow's state was lost.
MAX_REORDERING = 64
HEARTBEAT = "heartbeat"
# A reply has the server, service and count, then the first words of the heartbeat.
REPLY_WORDS = 6
MAX_REPORTED_FLOWS = 10_000


@attrs.frozen
class FlowSpec:
    """Flows to open.

    Parameters
    ----------
    service, address, port : str, str, int
        Service name, and the address and port of the service.
    count : int
        Number of flows.
    period_s : float
        Interval between the heartbeats of a flow in seconds.
    payload_bytes : int
        Minimum size of a heartbeat, reached by padding.
    """

    service: str
    address: str
    port: int
    count: int
    period_s: float = 0.5
    payload_bytes: int = 64


@attrs.define
class CallerFlow:
    """A caller's state of one flow."""

    number: int
    service: str
    key: bytes
    period_s: float
    payload_bytes: int
    next_send_s: float
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
    """Open flows, send heartbeats and check the replies.

    Parameters
    ----------
    host : str
        IP address to bind.
    fabric : tuple of str and int
        Address and port of the fabric stand-in.
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
            for target in (self._run_sender, self._run_receiver)
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

    def open(self, spec: FlowSpec) -> None:
        """Open the flows of `spec`, staggered over one period."""
        now = time.monotonic()
        opened = {}
        for index in range(spec.count):
            number = len(self._flows) + index
            key = build_flow_key(
                Protocol.UDP,
                f"10.200.{number // PORTS_PER_ADDRESS}.1",
                FIRST_PORT + number % PORTS_PER_ADDRESS,
                spec.address,
                spec.port,
            )
            opened[key] = CallerFlow(
                number,
                spec.service,
                key,
                spec.period_s,
                spec.payload_bytes,
                now + spec.period_s * index / spec.count,
            )
        self._flows = {**self._flows, **opened}

    def stop_sending(self) -> None:
        """Stop sending heartbeats; replies are still received."""
        self._is_sending = False

    def report(self) -> dict:
        """Return the observed state of the flows."""
        now = time.monotonic()
        flows = list(self._flows.values())
        return {
            "now_s": now,
            "misdelivered": list(self._misdelivered),
            "unexpected": self._unexpected,
            "flows": [_describe(flow, now) for flow in flows[:MAX_REPORTED_FLOWS]],
        }

    def _run_sender(self) -> None:
        pause = threading.Event()
        while self._is_open:
            now = time.monotonic()
            for flow in self._flows.values():
                if self._is_sending and flow.next_send_s <= now:
                    self._send(flow, now)
            pause.wait(SEND_PAUSE_S)

    def _send(self, flow: CallerFlow, now: float) -> None:
        flow.next_send_s = max(flow.next_send_s + flow.period_s, now)
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

    def _run_receiver(self) -> None:
        while self._is_open:
            try:
                packet = self._socket.recv(MAX_DATAGRAM_BYTES)
            except OSError:
                continue
            self._handle_reply(packet)

    def _handle_reply(self, packet: bytes) -> None:
        key = read_flow_key(packet)
        payload = read_payload(packet)
        flow = self._flows.get(reverse_flow(key)) if key else None
        words = payload.split()[:REPLY_WORDS] if payload else []
        if flow is None or len(words) < REPLY_WORDS:
            self._unexpected += 1
            return
        server, service, count, _, requested_service, number = (
            word.decode() for word in words
        )
        is_matching = service == requested_service == flow.service and number == str(
            flow.number
        )
        if not is_matching:
            self._misdelivered.append(
                {"flow": flow.number, "server": server, "service": service}
            )
            return
        self._record_reply(flow, server, int(count))

    def _record_reply(self, flow: CallerFlow, server: str, count: int) -> None:
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
