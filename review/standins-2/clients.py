"""Clients, and the routers that forward their packets to balancers."""

import asyncio
import random
import time
import zlib
from collections.abc import Callable

import attrs
import http11
from packets import ACK, FIN, MODULUS, RST, SYN, Packet, build, pack_host

READY_PERIOD_S = 0.5
MISSES = 2
COPY_DELAYS_S = (0.2, 0.6)
OPEN_TIMEOUT_S = 1.4
RETRANSMIT_S, MAX_RETRANSMIT_S = 0.2, 1.6
MAX_RESET_DISTANCE = 76_800


@attrs.define(eq=False)
class Balancer:
    """A balancer as the routers see it."""

    name: str
    zone: str
    host: str
    packets: int
    ready: int
    misses: int = 0

    @property
    def is_in_rotation(self) -> bool:
        """Whether it has not missed two checks in a row."""
        return self.misses < MISSES


class Router:
    """Selects the balancer of each packet by a hash of the flow.

    Parameters
    ----------
    balancers : list of Balancer
        All balancers.
    is_steady : bool
        Whether only the flows of a balancer that joins or leaves the rotation move.
    """

    def __init__(self, balancers: list[Balancer], is_steady: bool = True) -> None:
        self.balancers = balancers
        self._is_steady = is_steady

    async def check(self) -> None:
        """Check the readiness of all balancers, twice a second."""
        while True:
            for balancer in self.balancers:
                asyncio.create_task(self._check(balancer))
            await asyncio.sleep(READY_PERIOD_S)

    async def _check(self, balancer: Balancer) -> None:
        reply = await http11.call(
            balancer.host,
            balancer.ready,
            "GET",
            "/bramleystair/ready",
            timeout_s=READY_PERIOD_S,
        )
        is_ready = reply is not None and reply[0] == 200
        balancer.misses = 0 if is_ready else balancer.misses + 1

    def select(self, zone: str, flow: bytes) -> Balancer:
        """Return the balancer for a packet of a client in `zone`."""
        own = [b for b in self.balancers if b.zone == zone]
        pool = [b for b in own if b.is_in_rotation]
        if not pool:
            pool = [b for b in self.balancers if b.is_in_rotation] or own
        elif 2 * len(pool) < len(own):
            pool = own
        if not self._is_steady:
            return pool[zlib.crc32(flow) % len(pool)]
        return max(pool, key=lambda b: zlib.crc32(b.name.encode() + flow))


@attrs.define(eq=False)
class Attempt:
    """Outcome of one request on a flow of its own."""

    request: str
    outcome: str = "unanswered"
    balancer: str = ""
    taken_s: float = 0.0


class Clients:
    """Clients of one zone behind one address.

    Parameters
    ----------
    host, port : str and int
        Address of the clients; the port is that of `DatagramAddr`.
    router : Router
        Forwards their packets.
    record : callable
        Called with each event.
    """

    def __init__(
        self, zone: str, host: str, port: int, router: Router, record: Callable
    ) -> None:
        self.zone, self.host, self._port = zone, host, port
        self._router, self._record = router, record
        self._source = pack_host(host)
        self._flows: dict[tuple[int, int], asyncio.Queue] = {}
        self._next_port = random.randrange(1025, 30_000)
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self) -> None:
        """Listen for packets."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, (self.host, self._port)
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Ignore the start of the transport."""

    def connection_lost(self, error: Exception | None) -> None:
        """Ignore the end of the transport."""

    def error_received(self, error: Exception) -> None:
        """Ignore refused datagrams: a balancer may be down."""

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Give a packet to its flow."""
        packet = Packet(data)
        queue = self._flows.get((packet.dport, packet.sport))
        if queue is not None:
            queue.put_nowait((packet, addr[0]))

    async def request(
        self,
        request: str,
        endpoint: tuple[str, int],
        deadline_s: float,
        balancer: Balancer | None = None,
    ) -> Attempt:
        """Open a flow, send one request, and close the flow after the answer.

        Parameters
        ----------
        balancer : Balancer or None
            Balancer to which all packets go; selected by the router if None.
        """
        attempt = Attempt(request)
        self._next_port = 1025 + (self._next_port - 1024) % 60_000
        sport, dport = self._next_port, endpoint[1]
        queue: asyncio.Queue = asyncio.Queue()
        self._flows[sport, dport] = queue
        conversation = _Conversation(
            self, attempt, sport, endpoint, queue, balancer, self._router
        )
        self._record("sent", request=request, zone=self.zone, port=dport, sport=sport)
        try:
            await asyncio.wait_for(conversation.run(), deadline_s)
        except TimeoutError:
            attempt.outcome = "unanswered"
        finally:
            del self._flows[sport, dport]
        self._record(
            "ended",
            request=request,
            outcome=attempt.outcome,
            balancer=attempt.balancer,
        )
        return attempt

    async def hold_session(
        self,
        name: str,
        endpoint: tuple[str, int],
        count: int,
        pause_s: float,
        answer_s: float,
    ) -> Attempt:
        """Send `count` requests on one flow, with pauses between them."""
        attempt = Attempt(name)
        self._next_port = 1025 + (self._next_port - 1024) % 60_000
        sport, dport = self._next_port, endpoint[1]
        queue: asyncio.Queue = asyncio.Queue()
        self._flows[sport, dport] = queue
        conversation = _Conversation(
            self, attempt, sport, endpoint, queue, None, self._router
        )
        self._record("session", request=name, zone=self.zone, sport=sport)
        try:
            await conversation.run_session(count, pause_s, answer_s)
        finally:
            del self._flows[sport, dport]
        self._record(
            "session ended",
            request=name,
            outcome=attempt.outcome,
            balancer=attempt.balancer,
            sport=sport,
        )
        return attempt

    def send(self, raw: bytes, balancer: Balancer) -> None:
        """Send a packet as the router forwards it."""
        self._transport.sendto(raw, (balancer.host, balancer.packets))

    @property
    def source(self) -> bytes:
        """Packed address of the clients."""
        return self._source


class _Conversation:
    """The client's end of one flow with one request."""

    def __init__(
        self,
        clients: Clients,
        attempt: Attempt,
        sport: int,
        endpoint: tuple[str, int],
        queue: asyncio.Queue,
        balancer: Balancer | None,
        router: Router,
    ) -> None:
        self._clients, self._attempt, self._sport = clients, attempt, sport
        self._service, self._dport = pack_host(endpoint[0]), endpoint[1]
        self._queue, self._fixed, self._router = queue, balancer, router
        self._first = random.randrange(2**31)
        self._sent = self._expected = 0
        self._flow = (
            clients.source
            + self._service
            + bytes((sport >> 8, sport & 255, self._dport >> 8, self._dport & 255))
        )

    async def run(self) -> None:
        """Run the flow until it has ended; the outcome is in the attempt."""
        number = await self._open()
        if number is None:
            return
        self._sent, self._expected = self._first + 1, number + 1
        self._send(ACK, self._sent, self._expected)
        await self._exchange(self._attempt.request)
        if self._attempt.outcome == "answered":
            self._send(ACK | FIN, self._sent, self._expected)

    async def run_session(self, count: int, pause_s: float, answer_s: float) -> None:
        """Send requests one after the other on one flow, with pauses between."""
        number = await self._open()
        if number is None:
            return
        self._sent, self._expected = self._first + 1, number + 1
        self._send(ACK, self._sent, self._expected)
        for request in range(count):
            exchange = self._exchange(f"{self._attempt.request}.{request}")
            try:
                await asyncio.wait_for(exchange, answer_s)
            except TimeoutError:
                self._attempt.outcome = "unanswered"
            if self._attempt.outcome != "answered":
                self._send(ACK | RST, self._sent, self._expected)
                return
            await asyncio.sleep(pause_s * random.uniform(0.5, 1.5))
        self._send(ACK | FIN, self._sent, self._expected)

    async def _open(self) -> int | None:
        started_s = time.monotonic()
        for copy, delay_s in enumerate((*COPY_DELAYS_S, OPEN_TIMEOUT_S)):
            self._send(SYN, self._first, copy)
            while True:
                packet = await self._receive(started_s + delay_s)
                if packet is None:
                    break
                if packet.flags & RST:
                    self._attempt.outcome = "refused"
                    return None
                if packet.flags & SYN and packet.ack == self._first + 1:
                    return packet.seq
        self._attempt.outcome = "not opened"
        return None

    async def _exchange(self, request: str) -> None:
        """Send a request and receive its answer."""
        text = (
            f"GET /{request} HTTP/1.1\r\nHost: service\r\nRequest-Id: {request}\r\n\r\n"
        ).encode()
        start, end = self._sent, self._sent + len(text)
        self._sent = end
        answer, is_acknowledged, delay_s = b"", False, RETRANSMIT_S
        self._send(ACK, start, self._expected, text)
        while True:
            packet = await self._receive(time.monotonic() + delay_s)
            if packet is None:
                if not is_acknowledged:
                    self._send(ACK, start, self._expected, text)
                    delay_s = min(2 * delay_s, MAX_RETRANSMIT_S)
                continue
            if packet.flags & RST and not packet.sum:
                distance = (packet.seq - self._expected) % MODULUS
                if min(distance, MODULUS - distance) <= MAX_RESET_DISTANCE:
                    self._attempt.outcome = "system reset"
                    return
                continue
            if not packet.is_genuine:
                self._attempt.outcome = "forged packet"
                return
            if packet.flags & RST:
                self._attempt.outcome = "reset"
                return
            distance = (packet.ack - end) % MODULUS
            is_acknowledged = is_acknowledged or distance < MODULUS // 2
            if packet.data and packet.seq == self._expected % MODULUS:
                answer += packet.data
                self._expected += len(packet.data)
            if packet.data:
                self._send(ACK, end, self._expected)
            head, found, body = answer.partition(b"\r\n\r\n")
            if found and len(body) >= _read_length(head):
                break
        is_own = f"Request-Id: {request}\r\n".encode() in answer
        self._attempt.outcome = "answered" if is_own else "foreign answer"

    async def _receive(self, until_s: float) -> Packet | None:
        remaining_s = until_s - time.monotonic()
        if remaining_s <= 0 and self._queue.empty():
            return None
        try:
            packet, _ = await asyncio.wait_for(
                self._queue.get(), max(0.001, remaining_s)
            )
        except TimeoutError:
            return None
        return packet

    def _send(self, flags: int, seq: int, ack: int, data: bytes = b"") -> None:
        balancer = self._fixed or self._router.select(self._clients.zone, self._flow)
        self._attempt.balancer = balancer.name
        raw = build(
            self._clients.source,
            self._sport,
            self._service,
            self._dport,
            flags,
            seq,
            ack,
            data,
        )
        self._clients.send(raw, balancer)


def _read_length(head: bytes) -> int:
    for line in head.split(b"\r\n"):
        name, _, value = line.partition(b": ")
        if name == b"Content-Length":
            return int(value)
    return 0
