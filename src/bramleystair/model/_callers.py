"""Modelled callers, which send requests on flows with retries and deadlines."""

import enum
import random as random_module
import struct
from collections.abc import Callable

import attrs

from bramleystair.model._events import EventQueue
from bramleystair.model._packets import ACK, FIN, SYN, encode_packet, is_rejection
from bramleystair.steering import Segment

# Times after the first SYN at which it is sent again, and at which the attempt fails.
SYN_RETRANSMIT_DELAYS_S = (0.2, 0.6)
CONNECT_TIMEOUT_S = 1.4
RETRY_DELAY_S = 0.002
REQUEST_BYTES = 100


class Outcome(enum.StrEnum):
    """Final state of a request."""

    IN_TIME = "in_time"
    LATE = "late"
    REFUSED = "refused"
    EXPIRED = "expired"


@attrs.frozen
class CallerSettings:
    """Behaviour of a group of callers.

    Parameters
    ----------
    callers : int
        Number of callers, each with at most one outstanding request.
    priority : int
        Priority of their route; 0 is the highest.
    start_s, end_s : float
        Interval in which they send requests.
    period_s : float
        Mean time between the requests of a caller.
    objective_s, deadline_s : float
        Latency objective and deadline of a request.
    retries : int
        Maximum number of retries after a reset or a connect timeout.
    is_idempotent : bool
        Whether a request may be retried after its flow was established.
    keeps_flows : bool
        Whether a flow is kept open for further requests.
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
    """Closed-loop caller that sends one request at a time.

    Parameters
    ----------
    number : int
        Number of the caller, which determines its address.
    endpoint : bytes
        Address and port of the service.
    send : callable
        Called with each packet that the caller sends.
    record : callable
        Called with the outcome of each request and the time of its first attempt.
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
        self._request_number = 0

    def start(self) -> None:
        """Schedule the first request at a random time within one period."""
        delay_s = self._settings.start_s
        delay_s += self._random.uniform(0, self._settings.period_s)
        self._events.call_after(delay_s, self._begin_request)

    def handle_segment(self, segment: Segment) -> None:
        """Handle a packet from the service, including resets."""
        if segment.flow != self._flow:
            return
        if segment.is_reset:
            may_retry = self._settings.is_idempotent or not self._is_open
            self._flow = None
            self._is_open = False
            self._retry_or_complete(is_refused=True, may_retry=may_retry)
            return
        if segment.is_syn:
            if not self._is_open:
                self._is_open = True
                self._acknowledgement = segment.sequence + 1
                self._send_request()
            return
        if not segment.has_payload or self._started_s is None:
            return
        if is_rejection(segment.data):
            self._close_flow()
            self._retry_or_complete(is_refused=True)
            return
        self._handle_response()

    def _begin_request(self) -> None:
        if self._events.now >= self._settings.end_s:
            return
        self._started_s = self._events.now
        self._attempts = 0
        self._request_number += 1
        request_number = self._request_number
        self._events.call_after(
            self._settings.deadline_s, lambda: self._handle_deadline(request_number)
        )
        self._start_attempt()

    def _start_attempt(self) -> None:
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
        self._send_syn(flow)
        for delay_s in SYN_RETRANSMIT_DELAYS_S:
            self._events.call_after(delay_s, lambda: self._send_syn(flow))
        self._events.call_after(
            CONNECT_TIMEOUT_S, lambda: self._handle_connect_timeout(flow)
        )

    def _send_syn(self, flow: bytes) -> None:
        if self._flow == flow and not self._is_open and self._started_s is not None:
            self._send(encode_packet(flow, SYN, self._sequence, 0))

    def _handle_connect_timeout(self, flow: bytes) -> None:
        if self._flow == flow and not self._is_open:
            self._flow = None
            self._retry_or_complete(is_refused=False)

    def _send_request(self) -> None:
        if self._started_s is None:
            return
        # Not retransmitted: modelled links lose no packets of established flows, and
        # modelled servers do not detect duplicates.
        self._sequence += 1
        packet = encode_packet(
            self._flow,
            ACK,
            self._sequence,
            self._acknowledgement,
            REQUEST_BYTES,
        )
        self._send(packet)

    def _handle_response(self) -> None:
        latency_s = self._events.now - self._started_s
        is_late = latency_s > self._settings.objective_s
        self._complete_request(Outcome.LATE if is_late else Outcome.IN_TIME)

    def _close_flow(self) -> None:
        """End the flow; a further attempt uses another one."""
        self._send(
            encode_packet(
                self._flow, ACK | FIN, self._sequence + 1, self._acknowledgement
            )
        )
        self._flow = None
        self._is_open = False

    def _retry_or_complete(self, is_refused: bool, may_retry: bool = True) -> None:
        if self._started_s is None:
            return
        if not may_retry or self._attempts > self._settings.retries:
            self._complete_request(Outcome.REFUSED if is_refused else Outcome.EXPIRED)
            return
        request_number = self._request_number

        def retry() -> None:
            if request_number == self._request_number and self._started_s is not None:
                self._start_attempt()

        self._events.call_after(RETRY_DELAY_S * 2**self._attempts, retry)

    def _handle_deadline(self, request_number: int) -> None:
        if request_number == self._request_number and self._started_s is not None:
            self._flow = None
            self._is_open = False
            self._complete_request(Outcome.EXPIRED)

    def _complete_request(self, outcome: Outcome) -> None:
        self._record(outcome, self._started_s)
        self._started_s = None
        if not self._settings.keeps_flows:
            self._flow = None
            self._is_open = False
        pause_s = self._random.expovariate(1 / self._settings.period_s)
        self._events.call_after(pause_s, self._begin_request)
