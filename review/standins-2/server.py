"""A server of the platform on a `side` machine."""

import asyncio
import json
import random
import time
from collections.abc import Callable

import attrs
import http11
from packets import (
    ACK,
    FIN,
    MAX_DATA_BYTES,
    RST,
    SYN,
    Packet,
    build,
    mark_bounced,
)

RETRANSMIT_S, MAX_RETRANSMIT_S, MAX_RETRANSMISSIONS = 0.2, 1.6, 8
CALL_TIMEOUT_S = 1.0
HEARTBEAT = "/bramleystair/Instances.Heartbeat/"
DEREGISTER = "/bramleystair/Instances.Deregister/"


@attrs.define(eq=False)
class _Flow:
    """One end of a flow; packets arrive in order or are retransmitted."""

    key: tuple[bytes, int, bytes, int]
    first: int
    number: int
    expected: int
    sent: int
    buffer: bytes = b""
    is_open: bool = False
    has_ended: bool = False
    unacknowledged: dict[int, bytes] = attrs.field(factory=dict)
    retransmissions: int = 0
    timer: asyncio.TimerHandle | None = None


class Server:
    """Accepts flows, runs requests, and sends heartbeats to its machine's agent.

    Parameters
    ----------
    options : dict
        `name`, `service`, `zone`, `host`, ports `app`, `outbound` and `control`,
        `heartbeat_s`, `slots`, `work_s`, `idle_s`.
    record : callable
        Called with each event.
    """

    def __init__(self, options: dict, record: Callable[..., None]) -> None:
        self.options = options
        self.id = f"i-{random.randrange(2**40):010x}"
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.cold_until_s = 0.0
        self.is_reporting = True
        self._record = record
        self._flows: dict[tuple, _Flow] = {}
        self._sequence = 0
        self._slots = asyncio.Semaphore(options["slots"])
        self._transport: asyncio.DatagramTransport | None = None
        self._tasks: list[asyncio.Task] = []

    @property
    def is_cold(self) -> bool:
        """Whether the server is cold."""
        return time.monotonic() < self.cold_until_s

    async def start(self) -> None:
        """Listen, and send the first heartbeat."""
        options = self.options
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: _Protocol(self._handle), (options["host"], options["app"])
        )
        await http11.serve(options["host"], options["app"], self._answer_health)
        self._tasks.append(asyncio.create_task(self._send_heartbeats()))

    async def _answer_health(self, method: str, target: str, body: bytes):
        if target != "/health":
            return 404, b""
        return (200 if self.state == "ready" else 503), b""

    async def _send_heartbeats(self) -> None:
        period_s = self.options["heartbeat_s"]
        next_s = time.monotonic()
        while True:
            if self.is_reporting:
                asyncio.create_task(self.send_heartbeat())
            next_s += period_s * random.uniform(0.95, 1.05)
            await asyncio.sleep(max(0.0, next_s - time.monotonic()))

    async def send_heartbeat(self) -> bool:
        """Send a heartbeat; return whether it was acknowledged."""
        options = self.options
        self._sequence += 1
        cold_left_s = max(0.0, self.cold_until_s - time.monotonic())
        body = {
            "Service": options["service"],
            "Address": f"{options['host']}:{options['app']}",
            "Zone": options["zone"],
            "Version": "v1",
            "Slots": options["slots"],
            "State": self.state,
            "ColdLeftMs": int(cold_left_s * 1000),
            "Seq": self._sequence,
            "born": self.born,
        }
        sequence, state = self._sequence, self.state
        reply = await http11.call(
            options["host"],
            options["control"],
            "POST",
            HEARTBEAT + self.id,
            json.dumps(body).encode(),
            CALL_TIMEOUT_S,
        )
        is_acknowledged = reply is not None and 200 <= reply[0] < 300
        self._record(
            "heartbeat",
            server=options["name"],
            sequence=sequence,
            state=state,
            cold_left_ms=body["ColdLeftMs"],
            acknowledged=is_acknowledged,
        )
        return is_acknowledged

    def _handle(self, raw: bytes) -> None:
        packet = Packet(raw)
        name = self.options["name"]
        if not packet.is_genuine:
            self._record("forged", server=name, raw=raw[:40].hex())
            return
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        flow = self._flows.get(key)
        if packet.flags & SYN:
            if packet.flags & ACK:
                self._record("forged", server=name, raw=raw[:40].hex())
            else:
                self._handle_syn(key, flow, packet)
            return
        if flow is not None and not flow.is_open:
            flow.is_open = packet.ack == flow.number + 1
            if flow.is_open:
                self._record("flow_open", server=name, flow=_format(key))
                flow.unacknowledged.pop(flow.number, None)
        if flow is None or not flow.is_open:
            self._record("bounced", server=name, flow=_format(key))
            self._send_raw(mark_bounced(raw))
            return
        if packet.flags & RST:
            self._drop(flow)
        elif flow.has_ended:
            if packet.flags & FIN:
                self._send(flow, ACK, flow.sent, packet.seq + 1)
            elif packet.data:
                self._send(flow, RST, packet.ack, 0)
        else:
            self._receive(flow, packet)

    def _handle_syn(self, key: tuple, flow: _Flow | None, packet: Packet) -> None:
        is_copy = flow is not None and flow.first == packet.seq
        if flow is not None and not is_copy and not flow.has_ended:
            self._send_raw(mark_bounced(packet.raw))
            return
        if not is_copy:
            number = random.randrange(2**31)
            flow = _Flow(key, packet.seq, number, packet.seq + 1, number + 1)
            self._flows[key] = flow
            self._record(
                "taken",
                server=self.options["name"],
                service=self.options["service"],
                zone=self.options["zone"],
                flow=_format(key),
                is_cold=self.is_cold,
                state=self.state,
            )
        self._send(flow, SYN | ACK, flow.number, flow.first + 1)

    def _receive(self, flow: _Flow, packet: Packet) -> None:
        for number in list(flow.unacknowledged):
            if 0 < packet.ack - number < 2**31:
                del flow.unacknowledged[number]
                flow.retransmissions = 0
        if packet.data and packet.seq == flow.expected:
            flow.expected += len(packet.data)
            flow.buffer += packet.data
            head, found, rest = flow.buffer.partition(b"\r\n\r\n")
            if found:
                flow.buffer = rest
                asyncio.create_task(self._run(flow, head.decode()))
        if packet.data:
            self._send(flow, ACK, flow.sent, flow.expected)
        if packet.flags & FIN and packet.seq == flow.expected:
            flow.has_ended = True
            self._send(flow, ACK | FIN, flow.sent, flow.expected + 1)

    async def _run(self, flow: _Flow, head: str) -> None:
        lines = head.split("\r\n")
        headers = dict(line.split(": ", 1) for line in lines[1:])
        request, name = headers["Request-Id"], self.options["name"]
        async with self._slots:
            self._record("run", server=name, request=request, line=lines[0])
            await asyncio.sleep(self.options["work_s"])
        if self._flows.get(flow.key) is not flow:
            return
        body = f"{request} of {self.options['service']}".encode()
        answer = (
            f"HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\n"
            f"Response-Signature: {self.id}\r\nContent-Length: {len(body)}\r\n\r\n"
        ).encode() + body
        for start in range(0, len(answer), MAX_DATA_BYTES):
            part = answer[start : start + MAX_DATA_BYTES]
            flow.unacknowledged[flow.sent] = part
            flow.sent += len(part)
        self._transmit(flow)

    def _transmit(self, flow: _Flow) -> None:
        if self._flows.get(flow.key) is not flow or not flow.unacknowledged:
            return
        if flow.retransmissions > MAX_RETRANSMISSIONS:
            self._drop(flow)
            return
        for number, part in flow.unacknowledged.items():
            self._send(flow, ACK, number, flow.expected, part)
        delay_s = min(RETRANSMIT_S * 2**flow.retransmissions, MAX_RETRANSMIT_S)
        flow.retransmissions += 1
        loop = asyncio.get_running_loop()
        if flow.timer is not None:
            flow.timer.cancel()
        flow.timer = loop.call_later(delay_s, self._transmit, flow)

    def _drop(self, flow: _Flow) -> None:
        self._flows.pop(flow.key, None)

    def _send(
        self, flow: _Flow, flags: int, seq: int, ack: int, data: bytes = b""
    ) -> None:
        client, sport, service, dport = flow.key
        self._send_raw(build(service, dport, client, sport, flags, seq, ack, data))

    def _send_raw(self, raw: bytes) -> None:
        self._transport.sendto(raw, (self.options["host"], self.options["outbound"]))


class _Protocol(asyncio.DatagramProtocol):
    def __init__(self, handle: Callable[[bytes], None]) -> None:
        self._handle = handle

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self._handle(data)


def _format(key: tuple) -> str:
    client, sport, _, dport = key
    return f"{'.'.join(map(str, client))}:{sport}>{dport}"
