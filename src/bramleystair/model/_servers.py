"""Modelled backend servers."""

import random as random_module
from collections import deque
from collections.abc import Callable

import attrs

from bramleystair.model._events import EventQueue
from bramleystair.model._packets import (
    ACK,
    REJECTED,
    RST,
    SYN,
    decode_packet,
    encode_packet,
    mark_returned,
)
from bramleystair.steering import Segment


@attrs.frozen
class ServerSettings:
    """Capacity of a backend server.

    Parameters
    ----------
    slots, queue : int
        Requests processed concurrently, and requests that may wait; further requests
        are refused.
    has_rejections : bool
        Whether they are refused with a response that says so, instead of a reset.
    speed : float
        Processing speed; service times are divided by it.
    cold_s, cold_factor : float
        Time after a start for which service times are `cold_factor` times as long.
    """

    slots: int = 5
    queue: int = 18
    has_rejections: bool = False
    speed: float = 1.0
    cold_s: float = 2.0
    cold_factor: float = 1.6


class Server:
    """Backend server that accepts flows and processes their requests.

    Parameters
    ----------
    name : str
        Name of the server.
    settings : ServerSettings
        Capacity.
    events : EventQueue
        Clock and timers.
    random : random.Random
        Source of service times and sequence numbers.
    service_time_s : float
        Mean service time of a request in seconds, at speed 1.
    send : callable
        Called with each packet that the server sends.
    """

    def __init__(
        self,
        name: str,
        settings: ServerSettings,
        events: EventQueue,
        random: random_module.Random,
        service_time_s: float,
        send: Callable[[bytes], None],
    ) -> None:
        self.name = name
        self.settings = settings
        self._events = events
        self._random = random
        self._mean_service_time_s = service_time_s
        self._send = send
        self.is_up = True
        # Share of the requests that are answered with a reset of their flow.
        self.reset_share = 0.0
        # Whether it accepts flows and resets them at their next request.
        self.is_failing = False
        self.started_s = events.now
        self.incarnation = 0
        self.processed = 0
        self.refused = 0
        # Time and flow of each request that was refused.
        self.refusals: list[tuple[float, bytes]] = []
        self._flows: dict[bytes, int] = {}
        self._in_progress = 0
        self._queue: deque[tuple[bytes, int]] = deque()

    def has_flow(self, flow: bytes) -> bool:
        """Return whether the server is up and holds `flow`."""
        return self.is_up and flow in self._flows

    def crash(self) -> None:
        """Stop responding and lose all flows and requests."""
        self.is_up = False
        self._flows.clear()
        self._queue.clear()
        self._in_progress = 0
        self.incarnation += 1

    def restart(self) -> None:
        """Start again, cold and without flows."""
        self.is_up = True
        self.started_s = self._events.now

    def is_cold(self) -> bool:
        """Return whether the server is within its cold period after a start."""
        return self._events.now < self.started_s + self.settings.cold_s

    def handle_packet(self, data: bytes) -> None:
        """Handle a packet from a caller; packets of unknown flows are returned."""
        if not self.is_up:
            return
        segment = decode_packet(data)
        if segment.is_syn:
            self._handle_syn(segment)
        elif segment.flow not in self._flows:
            self._send(mark_returned(data))
        elif segment.is_reset or segment.is_fin:
            del self._flows[segment.flow]
        elif segment.has_payload:
            self._handle_request(segment)

    def _handle_syn(self, segment: Segment) -> None:
        if segment.flow not in self._flows:
            self._flows[segment.flow] = self._random.randrange(2**31)
        server_sequence = self._flows[segment.flow]
        self._send(
            encode_packet(
                segment.flow, SYN | ACK, server_sequence, segment.sequence + 1
            )
        )

    def _handle_request(self, segment: Segment) -> None:
        request = (segment.flow, segment.sequence)
        is_reset = self.reset_share and self._random.random() < self.reset_share
        if self.is_failing or is_reset:
            self._respond(segment.flow, segment.sequence, RST)
            return
        if self._in_progress < self.settings.slots:
            self._process(*request)
            return
        if len(self._queue) < self.settings.queue:
            self._queue.append(request)
            return
        self.refused += 1
        self.refusals.append((self._events.now, segment.flow))
        flags = REJECTED if self.settings.has_rejections else RST
        self._respond(segment.flow, segment.sequence, flags)

    def _process(self, flow: bytes, sequence: int) -> None:
        self._in_progress += 1
        self.processed += 1
        service_time_s = self._mean_service_time_s * self._random.lognormvariate(
            -0.125, 0.5
        )
        service_time_s /= self.settings.speed
        if self.is_cold():
            service_time_s *= self.settings.cold_factor
        incarnation = self.incarnation
        self._events.call_after(
            service_time_s, lambda: self._finish(flow, sequence, incarnation)
        )

    def _finish(self, flow: bytes, sequence: int, incarnation: int) -> None:
        if incarnation != self.incarnation:
            return
        self._in_progress -= 1
        if flow in self._flows:
            self._respond(flow, sequence, 0)
        if self._queue:
            self._process(*self._queue.popleft())

    def _respond(self, flow: bytes, sequence: int, flags: int) -> None:
        server_sequence = self._flows[flow]
        if flags & RST:
            del self._flows[flow]
        size = 0 if flags & RST else 1
        self._send(
            encode_packet(flow, ACK | flags, server_sequence + 1, sequence + 1, size)
        )
