"""Simulated network between replicas."""

import heapq
import itertools
import time
from collections import Counter
from collections.abc import Callable
from random import Random

import attrs

from bramleystair.actions import Send
from bramleystair.replicas import MessageArrived, Tick
from bramleystair.wire import decode, encode

TICK_S = 0.25
# IPv4 and UDP headers.
HEADERS_BYTES = 28


@attrs.define
class Faults:
    """Faults of the network between replicas.

    Parameters
    ----------
    loss, duplicate : float
        Probability for each message of being lost or duplicated.
    delay_s : tuple of float
        Minimum and maximum latency of a message in seconds.
    is_partitioned : callable
        Whether messages from the first to the second named replica are dropped.
    """

    loss: float = 0.0
    duplicate: float = 0.0
    delay_s: tuple[float, float] = (0.0005, 0.0015)
    is_partitioned: Callable[[str, str], bool] = lambda sender, receiver: False


class SimulatedNetwork:
    """Run replicas on simulated time with network faults, and count their messages.

    Parameters
    ----------
    random : Random
        Random number generator for latency, faults and the phase of ticks.
    tick_s : float
        Interval between a replica's ticks in seconds.
    is_codec_checked : bool
        Whether each message is encoded, decoded and compared, and the time counted as
        work. Otherwise it is encoded once for all its receivers, to find its size.
    """

    def __init__(
        self, random: Random, tick_s: float = TICK_S, is_codec_checked: bool = False
    ) -> None:
        self.now = 0.0
        self.faults = Faults()
        self.replicas: dict = {}
        self.observers: list[Callable] = []
        self.messages: Counter = Counter()
        self.bytes: Counter = Counter()
        self.sent: Counter = Counter()
        self.sent_bytes: Counter = Counter()
        self.received_bytes: Counter = Counter()
        self.in_flight: Counter = Counter()
        self.peak_in_flight: Counter = Counter()
        self.work_s: Counter = Counter()
        self._random = random
        self._tick_s = tick_s
        self._is_checked = is_codec_checked
        self._heap: list = []
        self._sequence = itertools.count()
        self._sizes: dict = {}

    def add(self, name: str, replica) -> None:
        """Start `replica` as `name`, replacing an earlier one."""
        self.replicas[name] = replica
        self._push(self._tick_s * self._random.random(), name, replica, Tick())

    def remove(self, name: str) -> None:
        """Stop replica `name`."""
        del self.replicas[name]

    def deliver(self, name: str, event) -> None:
        """Let replica `name` handle `event` now, and send the resulting messages."""
        start_s = time.perf_counter()
        actions = self.replicas[name].handle(event, self.now)
        self.work_s[name] += time.perf_counter() - start_s
        for action in actions:
            if isinstance(action, Send):
                self.send(name, action)
        for observe in self.observers:
            observe(self.now, name, actions)

    def run(self, seconds: float) -> None:
        """Run the simulation for `seconds`."""
        self.run_until(lambda: False, seconds)

    def run_until(self, is_done: Callable[[], bool], seconds: float) -> float:
        """Run until `is_done`, at most for `seconds`, and return the simulated time."""
        start = self.now
        end = start + seconds
        while self._heap and self._heap[0][0] <= end:
            self.now, _, name, replica, event, size = heapq.heappop(self._heap)
            self.in_flight[name] -= size
            if self.replicas.get(name) is not replica:
                continue
            self.deliver(name, event)
            if isinstance(event, Tick):
                self._push(self._tick_s, name, replica, event)
            if is_done():
                return self.now - start
        self.now = end
        return seconds

    def send(self, sender: str, action: Send) -> None:
        """Send a message of `sender`, subject to the faults."""
        message = action.message
        kind = type(message).__name__
        size = self._measure_size(sender, action)
        self.messages[kind] += 1
        self.bytes[kind] += size
        self.sent[sender] += 1
        self.sent_bytes[sender] += size
        receiver = self.replicas.get(action.peer)
        if receiver is None or self.faults.is_partitioned(sender, action.peer):
            return
        if self._random.random() < self.faults.loss:
            return
        copies = 2 if self._random.random() < self.faults.duplicate else 1
        event = MessageArrived(sender, message)
        self.received_bytes[action.peer] += size * copies
        self.in_flight[action.peer] += size * copies
        self.peak_in_flight[action.peer] = max(
            self.peak_in_flight[action.peer], self.in_flight[action.peer]
        )
        for _ in range(copies):
            delay = self._random.uniform(*self.faults.delay_s)
            self._push(delay, action.peer, receiver, event, size)

    def reset_counts(self) -> None:
        """Reset the counters, except the bytes in flight."""
        self.messages.clear()
        self.bytes.clear()
        self.sent.clear()
        self.sent_bytes.clear()
        self.received_bytes.clear()
        self.peak_in_flight.clear()
        self.work_s.clear()

    def _measure_size(self, sender: str, action: Send) -> int:
        message = action.message
        if self._is_checked:
            start_s = time.perf_counter()
            data = encode(sender, 1, message)
            encoded_s = time.perf_counter()
            assert decode(data).ok().message == message
            self.work_s[sender] += encoded_s - start_s
            self.work_s[action.peer] += time.perf_counter() - encoded_s
            return len(data) + HEADERS_BYTES
        if id(message) not in self._sizes:
            if len(self._sizes) > 1000:
                self._sizes.clear()
            size = len(encode(sender, 1, message)) + HEADERS_BYTES
            self._sizes[id(message)] = (message, size)
        return self._sizes[id(message)][1]

    def _push(self, delay: float, name: str, replica, event, size: int = 0) -> None:
        entry = (self.now + delay, next(self._sequence), name, replica, event, size)
        heapq.heappush(self._heap, entry)
