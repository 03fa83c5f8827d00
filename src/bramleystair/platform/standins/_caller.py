"""Stand-in of callers behind a router that hashes flows steadily."""

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
from bramleystair.platform.standins._server import pack_end, write_event
from bramleystair.steering import Segment
from bramleystair.timers import MonotonicClock, Timer

READY_PATH = "/bramleystair/ready"
READY_PERIOD_S = 0.5
RESEND_S = 0.2
OPEN_TIMEOUT_S = 1.4
DEADLINE_S = 3.0
PAUSE_S = 0.15
REQUESTS_PER_FLOW = 40


class Callers:
    """Run many users, each with one flow and one request at a time.

    Parameters
    ----------
    loop : EventLoop
        Loop that drives the socket.
    options : dict
        Addresses of the callers, the service and the balancers.
    """

    def __init__(self, loop: EventLoop, options: dict[str, Any]) -> None:
        self.loop = loop
        self.random = random.Random(options["seed"])
        self.host = options["host"]
        self.service = pack_end(*options["service"])
        self._balancers = {
            tuple(b["packets"]): b["ready"] for b in options["balancers"]
        }
        self._misses = dict.fromkeys(self._balancers, 0)
        self._codec = Codec()
        self._users: dict[bytes, _User] = {}
        self._port = 2000
        self._socket = DatagramSocket(
            loop, (self.host, options["port"]), self._take, Metrics()
        )
        loop.timers.call_every(READY_PERIOD_S, self._check_ready)
        for _ in range(options["users"]):
            _User(self).open()

    def register(self, user: "_User") -> bytes:
        """Return the flow of a new port of `user`."""
        self._users.pop(user.flow, None)
        self._port = 2000 + (self._port - 1999) % 60_000
        end = pack_end(self.host, self._port)
        flow = end[:4] + self.service[:4] + end[4:] + self.service[4:]
        self._users[flow] = user
        return flow

    def send(self, flow: bytes, data: bytes) -> None:
        """Send through the balancer that the router selects."""
        ready = [b for b, misses in self._misses.items() if misses < 2]
        candidates = ready or list(self._balancers)
        best = max(candidates, key=lambda b: zlib.crc32(b[0].encode() + flow))
        self._socket.send(data, best)

    def _check_ready(self, _: float) -> None:
        for balancer, endpoint in self._balancers.items():
            client = HttpClient(self.loop, tuple(endpoint))
            call = client.call("GET", READY_PATH, timeout_s=READY_PERIOD_S)
            call.add_done_callback(
                lambda done, b=balancer, c=client: self._take_ready(done, b, c)
            )

    def _take_ready(
        self, done: Future, balancer: tuple[str, int], client: HttpClient
    ) -> None:
        client.close()
        response = done.result()
        is_ready = isinstance(response, HttpResponse) and response.status == 200
        self._misses[balancer] = 0 if is_ready else self._misses[balancer] + 1

    def _take(self, data: bytes, sender: tuple[str, int]) -> None:
        # A server's packet or a reset; both name the caller as destination.
        segment = self._codec.decode_outbound(data)
        user = None if segment is None else self._users.get(segment.flow)
        if user is not None:
            user.take(segment, get_payload(data).decode())


class _User:
    """One user: a flow, and on it one request after the other."""

    def __init__(self, callers: Callers) -> None:
        self._callers = callers
        self.flow = b""
        self._timer: Timer | None = None
        self._is_open = False

    def open(self) -> None:
        self._later(self._callers.random.uniform(0.05, 0.5), self._begin)

    def take(self, segment: Segment, text: str) -> None:
        if segment.is_reset:
            self._record("reset", was_open=self._is_open)
            self.open()
        elif segment.is_syn and not self._is_open:
            self._is_open = True
            self._acknowledgement = segment.sequence + 1
            self._record("opened")
            self._request_next()
        elif text and self._is_expected(segment):
            self._record("response", answer=text)
            self._request = None
            pause_s = self._callers.random.uniform(PAUSE_S / 2, 2 * PAUSE_S)
            self._later(pause_s, self._request_next)

    def _is_expected(self, segment: Segment) -> bool:
        """Return whether a packet answers the request in progress."""
        is_current = segment.acknowledgement == self._sequence + 1
        return self._is_open and self._request is not None and is_current

    def _begin(self) -> None:
        self.flow = self._callers.register(self)
        self._is_open = False
        self._request: str | None = None
        self._sequence = self._callers.random.randrange(2**31)
        self._acknowledgement = 0
        self._count = 0
        self._begun_s = self._now()
        self._first()

    def _first(self) -> None:
        if self._now() - self._begun_s > OPEN_TIMEOUT_S:
            self._record("not_opened")
            self.open()
            return
        self._send(SYN)
        self._later(RESEND_S, self._first)

    def _request_next(self) -> None:
        self._count += 1
        if self._count > REQUESTS_PER_FLOW:
            self._sequence += 1
            self._send(ACK | FIN)
            self._record("closed")
            self.open()
            return
        self._sequence += 1
        self._request = f"{self.flow.hex()}-{self._count}"
        self._begun_s = self._now()
        self._repeat()

    def _repeat(self) -> None:
        if self._now() - self._begun_s > DEADLINE_S:
            self._record("expired")
            self.open()
            return
        self._send(ACK, self._request.encode())
        self._later(RESEND_S, self._repeat)

    def _send(self, flags: int, payload: bytes = b"") -> None:
        end = pack_end(self._callers.host, int.from_bytes(self.flow[8:10], "big"))
        data = build_packet(
            end,
            self._callers.service,
            flags,
            self._sequence,
            self._acknowledgement,
            payload,
        )
        self._callers.send(self.flow, data)

    def _later(self, delay_s: float, callback: Callable[[], None]) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._callers.loop.timers.call_later(
            delay_s, lambda _: callback()
        )

    def _now(self) -> float:
        return self._callers.loop.clock.now()

    def _record(self, event: str, **fields: object) -> None:
        request = getattr(self, "_request", None)
        write_event(event=event, flow=self.flow.hex(), request=request, **fields)


def run_callers(options: dict[str, Any]) -> None:
    """Run callers until the process ends."""
    loop = EventLoop(MonotonicClock())
    Callers(loop, options)
    loop.run()
