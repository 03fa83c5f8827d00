"""Stand-in for callers and a router that assigns flows by rendezvous hashing."""

import random
import zlib
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
from bramleystair.timers import MonotonicClock, Timer

READY_PATH = "/bramleystair/ready"
READY_CHECK_PERIOD_S = 0.5
RETRANSMISSION_PERIOD_S = 0.2
OPEN_TIMEOUT_S = 1.4
RESPONSE_TIMEOUT_S = 3.0
THINK_TIME_S = 0.15
REQUESTS_PER_FLOW = 40


class Callers:
    """Simulate users, each with one flow and one request at a time.

    Parameters
    ----------
    loop : EventLoop
        Loop that drives the socket.
    options : dict
        Addresses of the callers, the service and the balancers, number of users and
        seed.
    """

    def __init__(self, loop: EventLoop, options: dict[str, Any]) -> None:
        self.loop = loop
        self.random = random.Random(options["seed"])
        self.host = options["host"]
        self.service = pack_endpoint(*options["service"])
        self._balancers = {
            tuple(b["packets"]): b["ready"] for b in options["balancers"]
        }
        self._failed_checks = dict.fromkeys(self._balancers, 0)
        self._codec = Codec()
        self._users: dict[bytes, _User] = {}
        self._port = 2000
        self._socket = DatagramSocket(
            loop, (self.host, options["port"]), self._handle_datagram, Metrics()
        )
        loop.timers.call_every(READY_CHECK_PERIOD_S, self._check_readiness)
        for _ in range(options["users"]):
            _User(self).schedule_open()

    def register(self, user: "_User") -> bytes:
        """Assign a new port to `user` and return the key of its flow."""
        self._users.pop(user.flow, None)
        self._port = 2000 + (self._port - 1999) % 60_000
        endpoint = pack_endpoint(self.host, self._port)
        flow = endpoint[:4] + self.service[:4] + endpoint[4:] + self.service[4:]
        self._users[flow] = user
        return flow

    def send(self, flow: bytes, data: bytes) -> None:
        """Send a packet to the balancer that the router selects for the flow."""
        ready = [b for b, failures in self._failed_checks.items() if failures < 2]
        candidates = ready or list(self._balancers)
        best = max(candidates, key=lambda b: zlib.crc32(b[0].encode() + flow))
        self._socket.send(data, best)

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
        user = None if segment is None else self._users.get(segment.flow)
        if user is not None:
            user.handle_segment(segment, get_payload(data).decode())


class _User:
    """User that sends requests in sequence on one flow at a time."""

    def __init__(self, callers: Callers) -> None:
        self._callers = callers
        self.flow = b""
        self._timer: Timer | None = None
        self._is_open = False

    def schedule_open(self) -> None:
        self._restart_timer(self._callers.random.uniform(0.05, 0.5), self._open_flow)

    def handle_segment(self, segment: Segment, text: str) -> None:
        if segment.is_reset:
            self._write_event("reset", was_open=self._is_open)
            self.schedule_open()
        elif segment.is_syn and not self._is_open:
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
        self.flow = self._callers.register(self)
        self._is_open = False
        self._request: str | None = None
        self._sequence = self._callers.random.randrange(2**31)
        self._acknowledgement = 0
        self._count = 0
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
        if self._count > REQUESTS_PER_FLOW:
            self._sequence += 1
            self._send(ACK | FIN)
            self._write_event("closed")
            self.schedule_open()
            return
        self._sequence += 1
        self._request = f"{self.flow.hex()}-{self._count}"
        self._started_s = self._now()
        self._send_request()

    def _send_request(self) -> None:
        if self._now() - self._started_s > RESPONSE_TIMEOUT_S:
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
        self._callers.send(self.flow, data)

    def _restart_timer(self, delay_s: float, callback: Callable[[], None]) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._callers.loop.timers.call_later(
            delay_s, lambda _: callback()
        )

    def _now(self) -> float:
        return self._callers.loop.clock.now()

    def _write_event(self, event: str, **fields: object) -> None:
        request = getattr(self, "_request", None)
        write_event(event=event, flow=self.flow.hex(), request=request, **fields)


def run_callers(options: dict[str, Any]) -> None:
    """Run the callers until the process is killed."""
    loop = EventLoop(MonotonicClock())
    Callers(loop, options)
    loop.run()
