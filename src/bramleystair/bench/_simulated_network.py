"""Carrier of messages between replicas on simulated time."""

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
# IPv4 and UDP.
HEADERS_BYTES = 28


@attrs.define
class Faults:
    """What goes wrong between replicas.

    Parameters
    ----------
    loss, duplicate : float
        Probability for each message.
    delay_s : tuple of float
        Shortest and longest time in seconds that a message takes.
    is_partitioned : callable
        Whether nothing passes from one name to another.
    """

    loss: float = 0.0
    duplicate: float = 0.0
    delay_s: tuple[float, float] = (0.0005, 0.0015)
    is_partitioned: Callable[[str, str], bool] = lambda sender, receiver: False


class SimulatedNetwork:
    """Run replicas on simulated time, with faults, and count what they send.

    Parameters
    ----------
    random : Random
        Source of delays, losses and the phase of each replica's ticks.
    tick_s : float
        Interval between the ticks of a replica in seconds.
    is_codec_checked : bool
        Whether each message is encoded and decoded again, and the time of this counted;
        otherwise it is only encoded, once for all its receivers.
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
        self._order = itertools.count()
        self._sizes: dict = {}

    def add(self, name: str, replica) -> None:
        """Start `replica` under `name`; it replaces an earlier one."""
        self.replicas[name] = replica
        self._push(self._tick_s * self._random.random(), name, replica, Tick())

    def remove(self, name: str) -> None:
        """Stop the replica `name`."""
        del self.replicas[name]

    def deliver(self, name: str, event) -> None:
        """Let the replica `name` handle `event` now."""
        started = time.perf_counter()
        actions = self.replicas[name].handle(event, self.now)
        self.work_s[name] += time.perf_counter() - started
        for action in actions:
            if isinstance(action, Send):
                self.send(name, action)
        for observe in self.observers:
            observe(self.now, name, actions)

    def run(self, seconds: float) -> None:
        """Carry messages and ticks for `seconds`."""
        self.run_until(lambda: False, seconds)

    def run_until(self, is_done: Callable[[], bool], seconds: float) -> float:
        """Carry until `is_done`, at most `seconds`, and return the time it took."""
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
        """Carry a message of `sender`, subject to the faults."""
        message = action.message
        kind = type(message).__name__
        size = self._measure(sender, action)
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
        """Start counting again."""
        self.messages.clear()
        self.bytes.clear()
        self.sent.clear()
        self.sent_bytes.clear()
        self.received_bytes.clear()
        self.peak_in_flight.clear()
        self.work_s.clear()

    def _measure(self, sender: str, action: Send) -> int:
        message = action.message
        if self._is_checked:
            started = time.perf_counter()
            data = encode(sender, 1, message)
            encoded = time.perf_counter()
            assert decode(data).ok().message == message
            self.work_s[sender] += encoded - started
            self.work_s[action.peer] += time.perf_counter() - encoded
            return len(data) + HEADERS_BYTES
        if id(message) not in self._sizes:
            if len(self._sizes) > 1000:
                self._sizes.clear()
            size = len(encode(sender, 1, message)) + HEADERS_BYTES
            self._sizes[id(message)] = (message, size)
        return self._sizes[id(message)][1]

    def _push(self, delay: float, name: str, replica, event, size: int = 0) -> None:
        entry = (self.now + delay, next(self._order), name, replica, event, size)
        heapq.heappush(self._heap, entry)
