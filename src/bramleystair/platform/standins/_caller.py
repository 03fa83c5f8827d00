"""Stand-in for callers and a router that assigns flows by rendezvous hashing."""

import random
import zlib
from collections import deque
from collections.abc import Callable
from concurrent.futures import Future
from typing import Any

from bramleystair.http import HttpClient, HttpResponse
from bramleystair.loop import EventLoop
from bramleystair.metrics import Metrics
from bramleystair.nodes._datagrams import DatagramSocket
from bramleystair.platform._packets import ACK, FIN, SYN, Codec
from bramleystair.platform.standins._packets import build_packet, get_payload
from bramleystair.platform.standins._server import pack_endpoint, write_event
from bramleystair.steering import Segment
from bramleystair.timers import MonotonicClock, TimerSubscription

READY_PATH = "/bramleystair/ready"
READY_CHECK_PERIOD_S = 0.5
RETRANSMISSION_PERIOD_S = 0.2
OPEN_TIMEOUT_S = 1.4
RESPONSE_TIMEOUT_S = 3.0
THINK_TIME_S = 0.15
REQUESTS_PER_FLOW = 40
# Requests of a flow after which its port is used again, and the time until then.
SHORT_FLOW_REQUESTS = 2
REUSE_DELAY_S = 1.0


class Callers:
    """Simulate users, each with one flow and one request at a time.

    Parameters
    ----------
    loop : EventLoop
        Loop that drives the socket.
    options : dict
        Addresses of the callers, the service and the balancers, number of users and
        seed; `response_timeout_s` by default 3 s; `reuse_share`, by default 0: the
        share of flows that are short, and of flows that use the port of one again.
    """

    def __init__(self, loop: EventLoop, options: dict[str, Any]) -> None:
        self.loop = loop
        self.random = random.Random(options["seed"])
        self.host = options["host"]
        self.service = pack_endpoint(*options["service"])
        self.response_timeout_s = options.get("response_timeout_s", RESPONSE_TIMEOUT_S)
        self.reuse_share = options.get("reuse_share", 0.0)
        self._balancers = {
            tuple(b["packets"]): b["ready"] for b in options["balancers"]
        }
        self._names = {b["packets"][0]: b["name"] for b in options["balancers"]}
        self._failed_checks = dict.fromkeys(self._balancers, 0)
        self._codec = Codec()
        self._users: dict[bytes, _User] = {}
        self._port = 2000
        self._life = 0
        self._closing: set[bytes] = set()
        # Ports of closed flows and the times from which they are used again.
        self._free_ports: deque[tuple[float, int]] = deque()
        self._socket = DatagramSocket(
            loop, (self.host, options["port"]), self._handle_datagram, Metrics()
        )
        loop.timers.subscribe_every(READY_CHECK_PERIOD_S, self._check_readiness)
        for _ in range(options["users"]):
            _User(self).schedule_open()

    def register(self, user: "_User") -> tuple[bytes, str]:
        """Assign a port to `user`; return the key and the name of its flow."""
        self._users.pop(user.flow, None)
        endpoint = pack_endpoint(self.host, self._choose_port())
        flow = endpoint[:4] + self.service[:4] + endpoint[4:] + self.service[4:]
        self._closing.discard(flow)
        self._users[flow] = user
        self._life += 1
        return flow, f"{flow.hex()}.{self._life}"

    def close_flow(self, flow: bytes) -> None:
        """Use the port of a flow again once its server has closed it as well."""
        self._closing.add(flow)

    def send(self, flow: bytes, data: bytes) -> str:
        """Send a packet to the balancer that the router selects; return its name."""
        ready = [b for b, failures in self._failed_checks.items() if failures < 2]
        candidates = ready or list(self._balancers)
        best = max(candidates, key=lambda b: zlib.crc32(b[0].encode() + flow))
        self._socket.send(data, best)
        return self._names[best[0]]

    def _choose_port(self) -> int:
        now = self.loop.clock.now()
        is_free = self._free_ports and self._free_ports[0][0] <= now
        if is_free and self.random.random() < self.reuse_share:
            return self._free_ports.popleft()[1]
        self._port = 2000 + (self._port - 1999) % 60_000
        return self._port

    def _check_readiness(self, _: float) -> None:
        for balancer, endpoint in self._balancers.items():
            client = HttpClient(self.loop, tuple(endpoint))
            call = client.call("GET", READY_PATH, timeout_s=READY_CHECK_PERIOD_S)
            call.add_done_callback(
                lambda done, b=balancer, c=client: self._handle_readiness(done, b, c)
            )

    def _handle_readiness(
        self, done: Future, balancer: tuple[str, int], client: HttpClient
    ) -> None:
        client.close()
        response = done.result()
        is_ready = isinstance(response, HttpResponse) and response.status == 200
        self._failed_checks[balancer] = (
            0 if is_ready else self._failed_checks[balancer] + 1
        )

    def _handle_datagram(self, data: bytes, sender: tuple[str, int]) -> None:
        # A packet from a server or a reset: the caller is the destination of both.
        segment = self._codec.decode_outbound(data)
        if segment is None:
            return
        if segment.is_fin and segment.flow in self._closing:
            self._closing.discard(segment.flow)
            port = int.from_bytes(segment.flow[8:10], "big")
            self._free_ports.append((self.loop.clock.now() + REUSE_DELAY_S, port))
        user = self._users.get(segment.flow)
        if user is not None:
            name = self._names.get(sender[0])
            user.handle_segment(segment, get_payload(data).decode(), name)


class _User:
    """User that sends requests in sequence on one flow at a time."""

    def __init__(self, callers: Callers) -> None:
        self._callers = callers
        self.flow = b""
        self._name = ""
        # Balancer to which the last packet of the flow was sent.
        self._balancer = ""
        self._timer: TimerSubscription | None = None
        self._is_open = False

    def schedule_open(self) -> None:
        self._restart_timer(self._callers.random.uniform(0.05, 0.5), self._open_flow)

    def handle_segment(self, segment: Segment, text: str, sender: str | None) -> None:
        """Handle a packet, or a reset by the balancer `sender` or by another node."""
        if segment.is_reset:
            balancers = sorted({self._balancer, sender} - {None})
            self._write_event("reset", was_open=self._is_open, balancers=balancers)
            self._is_open = False
            self.schedule_open()
        elif segment.is_syn and not self._is_open:
            # A late copy may belong to the flow that used the port before.
            if segment.acknowledgement != self._sequence + 1:
                return
            self._is_open = True
            self._acknowledgement = segment.sequence + 1
            self._write_event("opened")
            self._start_request()
        elif text and self._answers_request(segment):
            self._write_event("response", answer=text)
            self._request = None
            pause_s = self._callers.random.uniform(THINK_TIME_S / 2, 2 * THINK_TIME_S)
            self._restart_timer(pause_s, self._start_request)

    def _answers_request(self, segment: Segment) -> bool:
        """Return whether a packet acknowledges the request in progress."""
        is_current = segment.acknowledgement == self._sequence + 1
        return self._is_open and self._request is not None and is_current

    def _open_flow(self) -> None:
        self.flow, self._name = self._callers.register(self)
        self._is_open = False
        self._request: str | None = None
        self._sequence = self._callers.random.randrange(2**31)
        self._acknowledgement = 0
        self._count = 0
        is_short = self._callers.random.random() < self._callers.reuse_share
        self._limit = SHORT_FLOW_REQUESTS if is_short else REQUESTS_PER_FLOW
        self._started_s = self._now()
        self._send_syn()

    def _send_syn(self) -> None:
        if self._now() - self._started_s > OPEN_TIMEOUT_S:
            self._write_event("not_opened")
            self.schedule_open()
            return
        self._send(SYN)
        self._restart_timer(RETRANSMISSION_PERIOD_S, self._send_syn)

    def _start_request(self) -> None:
        self._count += 1
        if self._count > self._limit:
            self._sequence += 1
            self._callers.close_flow(self.flow)
            self._send(ACK | FIN)
            self._write_event("closed")
            self.schedule_open()
            return
        self._sequence += 1
        self._request = f"{self._name}-{self._count}"
        self._started_s = self._now()
        self._send_request()

    def _send_request(self) -> None:
        if self._now() - self._started_s > self._callers.response_timeout_s:
            self._write_event("expired")
            self.schedule_open()
            return
        self._send(ACK, self._request.encode())
        self._restart_timer(RETRANSMISSION_PERIOD_S, self._send_request)

    def _send(self, flags: int, payload: bytes = b"") -> None:
        endpoint = pack_endpoint(
            self._callers.host, int.from_bytes(self.flow[8:10], "big")
        )
        data = build_packet(
            endpoint,
            self._callers.service,
            flags,
            self._sequence,
            self._acknowledgement,
            payload,
        )
        self._balancer = self._callers.send(self.flow, data)

    def _restart_timer(self, delay_s: float, callback: Callable[[], None]) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._callers.loop.timers.subscribe_once(
            delay_s, lambda _: callback()
        )

    def _now(self) -> float:
        return self._callers.loop.clock.now()

    def _write_event(self, event: str, **fields: object) -> None:
        request = getattr(self, "_request", None)
        write_event(event=event, flow=self._name, request=request, **fields)


def run_callers(options: dict[str, Any]) -> None:
    """Run the callers until the process is killed."""
    loop = EventLoop(MonotonicClock())
    Callers(loop, options)
    loop.run()
