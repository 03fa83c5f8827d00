"""Buffer for packets that arrive before a balancer knows where to send them."""

from collections import deque

from bramleystair.steering._segments import Segment


class StartupPacketBuffer:
    """Buffer packets during a balancer's startup, for a bounded time.

    A balancer that restarts after a power loss is still in rotation and receives
    packets immediately, some milliseconds before the platform's store answers.
    Resetting these flows would cost each caller one of its few attempts.

    Parameters
    ----------
    limit : int
        Maximum number of packets; the oldest one is dropped when it is exceeded.
    hold_s : float
        Time after which a packet expires.
    """

    def __init__(self, limit: int, hold_s: float) -> None:
        self._packets: deque[tuple[float, Segment]] = deque(maxlen=limit)
        self._hold_s = hold_s

    @property
    def due_s(self) -> float:
        """Time at which the oldest packet expires; infinite if there is none."""
        return self._packets[0][0] + self._hold_s if self._packets else float("inf")

    def __len__(self) -> int:
        """Return the number of buffered packets."""
        return len(self._packets)

    def add(self, segment: Segment, now: float) -> None:
        """Buffer a packet."""
        self._packets.append((now, segment))

    def take_all(self) -> list[Segment]:
        """Remove and return all packets in order of arrival."""
        segments = [segment for _, segment in self._packets]
        self._packets.clear()
        return segments

    def take_expired(self, now: float) -> list[Segment]:
        """Remove and return the expired packets."""
        segments = []
        while self._packets and self.due_s <= now:
            segments.append(self._packets.popleft()[1])
        return segments
