"""Packets that arrive before a balancer knows where to send them."""

from collections import deque

from bramleystair.steering._segments import Segment


class HeldPackets:
    """Keep the packets of a balancer's first moments, for a bounded time.

    A balancer that returns after a loss of power is still in rotation and receives
    packets at once, while the platform's store answers some milliseconds later. A
    reset would cost each caller one of its few attempts.

    Parameters
    ----------
    limit : int
        Packets kept; the oldest one makes room.
    hold_s : float
        Time for which a packet is kept.
    """

    def __init__(self, limit: int, hold_s: float) -> None:
        self._packets: deque[tuple[float, Segment]] = deque(maxlen=limit)
        self._hold_s = hold_s

    @property
    def due_s(self) -> float:
        """Time at which the oldest packet has been kept for long enough."""
        return self._packets[0][0] + self._hold_s if self._packets else float("inf")

    def __len__(self) -> int:
        """Return the number of packets kept."""
        return len(self._packets)

    def add(self, segment: Segment, now: float) -> None:
        """Keep a packet."""
        self._packets.append((now, segment))

    def take(self) -> list[Segment]:
        """Return all packets in the order of their arrival, and keep none."""
        segments = [segment for _, segment in self._packets]
        self._packets.clear()
        return segments

    def take_expired(self, now: float) -> list[Segment]:
        """Return the packets that were kept for long enough, and forget them."""
        segments = []
        while self._packets and self.due_s <= now:
            segments.append(self._packets.popleft()[1])
        return segments
