"""Backend servers of the model."""

import random as random_module
from collections import deque
from collections.abc import Callable

import attrs

from bramleystair.model._events import EventQueue
from bramleystair.model._packets import (
    ACKNOWLEDGES,
    FIRST,
    RESET,
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
        Requests processed at once and waiting; more are answered with a refusal.
    speed : float
        Work done per second, in seconds of work.
    cold_s, cold_factor : float
        Time after a start for which work takes `cold_factor` times as long.
    """

    slots: int = 5
    queue: int = 18
    speed: float = 1.0
    cold_s: float = 2.0
    cold_factor: float = 1.6


class Server:
    """Hold flows and process their requests.

    Parameters
    ----------
    name : str
        Name of the server.
    settings : ServerSettings
        Capacity.
    events : EventQueue
        Time and timers.
    random : random.Random
        Source of work and sequence numbers.
    work_s : float
        Mean work of a request in seconds.
    send : callable
        Takes each packet that the server sends.
    """

    def __init__(
        self,
        name: str,
        settings: ServerSettings,
        events: EventQueue,
        random: random_module.Random,
        work_s: float,
        send: Callable[[bytes], None],
    ) -> None:
        self.name = name
        self.settings = settings
        self._events = events
        self._random = random
        self._work_s = work_s
        self._send = send
        self.is_up = True
        self.started_s = events.now
        self.lifetime = 0
        self.runs = 0
        self.refused = 0
        self._flows: dict[bytes, int] = {}
        self._running = 0
        self._queue: deque[tuple[bytes, int]] = deque()

    def holds(self, flow: bytes) -> bool:
        """Return whether the server lives and holds `flow`."""
        return self.is_up and flow in self._flows

    def crash(self) -> None:
        """Lose all flows and answer nothing."""
        self.is_up = False
        self._flows.clear()
        self._queue.clear()
        self._running = 0
        self.lifetime += 1

    def restart(self) -> None:
        """Start again, cold and without flows."""
        self.is_up = True
        self.started_s = self._events.now

    def is_cold(self) -> bool:
        """Return whether work still takes longer."""
        return self._events.now < self.started_s + self.settings.cold_s

    def take(self, data: bytes) -> None:
        """Handle a packet of a caller."""
        if not self.is_up:
            return
        segment = decode_packet(data)
        if segment.is_syn:
            self._open(segment)
        elif segment.flow not in self._flows:
            self._send(mark_returned(data))
        elif segment.is_reset or segment.is_fin:
            del self._flows[segment.flow]
        elif segment.has_payload:
            self._start_request(segment)

    def _open(self, segment: Segment) -> None:
        if segment.flow not in self._flows:
            self._flows[segment.flow] = self._random.randrange(2**31)
        number = self._flows[segment.flow]
        self._send(
            encode_packet(
                segment.flow, FIRST | ACKNOWLEDGES, number, segment.sequence + 1
            )
        )

    def _start_request(self, segment: Segment) -> None:
        request = (segment.flow, segment.sequence)
        if self._running < self.settings.slots:
            self._run(*request)
        elif len(self._queue) < self.settings.queue:
            self._queue.append(request)
        else:
            self.refused += 1
            self._respond(segment.flow, segment.sequence, RESET)

    def _run(self, flow: bytes, sequence: int) -> None:
        self._running += 1
        self.runs += 1
        work_s = self._work_s * self._random.lognormvariate(-0.125, 0.5)
        work_s /= self.settings.speed
        if self.is_cold():
            work_s *= self.settings.cold_factor
        lifetime = self.lifetime
        self._events.call_after(work_s, lambda: self._finish(flow, sequence, lifetime))

    def _finish(self, flow: bytes, sequence: int, lifetime: int) -> None:
        if lifetime != self.lifetime:
            return
        self._running -= 1
        if flow in self._flows:
            self._respond(flow, sequence, 0)
        if self._queue:
            self._run(*self._queue.popleft())

    def _respond(self, flow: bytes, sequence: int, flags: int) -> None:
        number = self._flows[flow]
        if flags & RESET:
            del self._flows[flow]
        self._send(
            encode_packet(flow, ACKNOWLEDGES | flags, number + 1, sequence + 1, 1)
        )
