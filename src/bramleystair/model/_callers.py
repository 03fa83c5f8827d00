"""Callers of the model: flows with requests, retries and deadlines."""

import enum
import random as random_module
import struct
from collections.abc import Callable

import attrs

from bramleystair.model._events import EventQueue
from bramleystair.model._packets import ACKNOWLEDGES, FIRST, encode_packet
from bramleystair.steering import Segment

# Copies of a first packet, and the end of the attempt.
COPY_DELAYS_S = (0.2, 0.6)
OPEN_TIMEOUT_S = 1.4
RETRY_DELAY_S = 0.002
REQUEST_BYTES = 100


class Outcome(enum.StrEnum):
    """How a request ended."""

    IN_TIME = "in_time"
    LATE = "late"
    REFUSED = "refused"
    EXPIRED = "expired"


@attrs.frozen
class CallerSettings:
    """Behaviour of callers.

    Parameters
    ----------
    callers : int
        Number of callers, each with at most one request at a time.
    priority : int
        Priority of their route; 0 is the highest.
    start_s, end_s : float
        Span in which they send requests.
    period_s : float
        Mean time between the requests of a caller.
    objective_s, deadline_s : float
        Latency objective and deadline of a request.
    retries : int
        Further attempts, each on a new flow.
    is_idempotent : bool
        Whether a request may be repeated after its flow has opened.
    keeps_flows : bool
        Whether the flow is used for further requests.
    """

    callers: int = 100
    priority: int = 0
    start_s: float = 0.0
    end_s: float = float("inf")
    period_s: float = 0.7
    objective_s: float = 0.25
    deadline_s: float = 1.5
    retries: int = 2
    is_idempotent: bool = True
    keeps_flows: bool = True


class Caller:
    """Send one request after the other.

    Parameters
    ----------
    number : int
        Number of the caller, from which its address follows.
    endpoint : bytes
        Address and port of the service.
    send : callable
        Takes each packet that the caller sends.
    record : callable
        Takes the outcome of each request and the time of its first attempt.
    """

    def __init__(
        self,
        number: int,
        endpoint: bytes,
        settings: CallerSettings,
        events: EventQueue,
        random: random_module.Random,
        send: Callable[[bytes], None],
        record: Callable[[Outcome, float], None],
    ) -> None:
        self._address = struct.pack("!I", 0x64400000 + number)
        self._endpoint = endpoint
        self._settings = settings
        self._events = events
        self._random = random
        self._send = send
        self._record = record
        self._port = 1024
        self._flow: bytes | None = None
        self._is_open = False
        self._acknowledgement = 0
        self._sequence = 0
        self._started_s: float | None = None
        self._attempts = 0
        self._request = 0

    def start(self) -> None:
        """Begin with requests at a random time."""
        delay_s = self._settings.start_s
        delay_s += self._random.uniform(0, self._settings.period_s)
        self._events.call_after(delay_s, self._begin_request)

    def take(self, segment: Segment) -> None:
        """Handle a packet of a server, or a reset."""
        if segment.flow != self._flow:
            return
        if segment.is_reset:
            may_retry = self._settings.is_idempotent or not self._is_open
            self._flow = None
            self._is_open = False
            self._fail(is_refused=True, may_retry=may_retry)
            return
        if segment.is_syn:
            if not self._is_open:
                self._is_open = True
                self._acknowledgement = segment.sequence + 1
                self._send_request()
            return
        if segment.has_payload and self._started_s is not None:
            self._finish()

    def _begin_request(self) -> None:
        if self._events.now >= self._settings.end_s:
            return
        self._started_s = self._events.now
        self._attempts = 0
        self._request += 1
        request = self._request
        self._events.call_after(
            self._settings.deadline_s, lambda: self._expire(request)
        )
        self._try()

    def _try(self) -> None:
        self._attempts += 1
        if self._flow is not None and self._is_open:
            self._send_request()
            return
        self._port = 1024 + (self._port - 1023) % 60_000
        self._flow = (
            self._address
            + self._endpoint[:4]
            + struct.pack("!H", self._port)
            + self._endpoint[4:]
        )
        self._is_open = False
        self._sequence = self._random.randrange(2**31)
        self._acknowledgement = 0
        flow = self._flow
        self._send_first(flow)
        for delay_s in COPY_DELAYS_S:
            self._events.call_after(delay_s, lambda: self._send_first(flow))
        self._events.call_after(OPEN_TIMEOUT_S, lambda: self._give_up(flow))

    def _send_first(self, flow: bytes) -> None:
        if self._flow == flow and not self._is_open and self._started_s is not None:
            self._send(encode_packet(flow, FIRST, self._sequence, 0))

    def _give_up(self, flow: bytes) -> None:
        if self._flow == flow and not self._is_open:
            self._flow = None
            self._fail(is_refused=False)

    def _send_request(self) -> None:
        if self._started_s is None:
            return
        # Sent once, since the model's links do not lose packets of open flows and its
        # servers do not recognise copies.
        self._sequence += 1
        packet = encode_packet(
            self._flow,
            ACKNOWLEDGES,
            self._sequence,
            self._acknowledgement,
            REQUEST_BYTES,
        )
        self._send(packet)

    def _finish(self) -> None:
        latency_s = self._events.now - self._started_s
        is_late = latency_s > self._settings.objective_s
        self._end(Outcome.LATE if is_late else Outcome.IN_TIME)

    def _fail(self, is_refused: bool, may_retry: bool = True) -> None:
        if self._started_s is None:
            return
        if not may_retry or self._attempts > self._settings.retries:
            self._end(Outcome.REFUSED if is_refused else Outcome.EXPIRED)
            return
        request = self._request

        def retry() -> None:
            if request == self._request and self._started_s is not None:
                self._try()

        self._events.call_after(RETRY_DELAY_S * 2**self._attempts, retry)

    def _expire(self, request: int) -> None:
        if request == self._request and self._started_s is not None:
            self._flow = None
            self._is_open = False
            self._end(Outcome.EXPIRED)

    def _end(self, outcome: Outcome) -> None:
        self._record(outcome, self._started_s)
        self._started_s = None
        if not self._settings.keeps_flows:
            self._flow = None
            self._is_open = False
        pause_s = self._random.expovariate(1 / self._settings.period_s)
        self._events.call_after(pause_s, self._begin_request)
