"""Queue of new flows that wait for a slot, ordered by urgency.

Runs in the balancer process; agents offer the slots.
"""

from collections import deque
from collections.abc import Callable, Iterator

import attrs

from bramleystair.steering._types import ServiceLevel, Urgency


@attrs.define(eq=False)
class WaitingFlow:
    """A new flow that waits for a slot.

    Parameters
    ----------
    started_s : float
        Time at which the caller first sent the first packet, as far as known.
    expires_s : float
        Time at which the caller is assumed to give up.
    """

    flow: bytes
    level: ServiceLevel
    started_s: float
    expires_s: float

    def compute_rank(self, now: float, response_s: float) -> tuple[Urgency, float]:
        """Return the sort key of the flow; the lowest key is served first.

        Flows of equal urgency are ordered by the time left, the shortest first. Late
        flows are ordered newest first: the older a late flow is, the sooner its caller
        gives up, possibly before the response.

        Parameters
        ----------
        response_s : float
            Expected time from opening the flow to its response.
        """
        due_s = self.started_s + self.level.objective_s - response_s
        urgency = Urgency(now > due_s, self.level.priority)
        return urgency, -self.started_s if urgency.is_late else due_s


class WaitQueue:
    """Flows that wait at a balancer for busy services.

    Parameters
    ----------
    limit : int
        Maximum number of waiting flows, which bounds their memory.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._flows: dict[bytes, WaitingFlow] = {}

    def __len__(self) -> int:
        """Return the number of waiting flows."""
        return len(self._flows)

    def __iter__(self) -> Iterator[bytes]:
        """Iterate over the waiting flows."""
        return iter(self._flows)

    def add(self, waiting: WaitingFlow) -> bool:
        """Add a flow; return False if the queue is full."""
        if len(self._flows) >= self._limit:
            return False
        self._flows[waiting.flow] = waiting
        return True

    def discard(self, flow: bytes) -> None:
        """Remove `flow` if it is queued."""
        self._flows.pop(flow, None)

    def choose(
        self,
        now: float,
        response_s: float,
        is_suitable: Callable[[bytes], bool],
    ) -> WaitingFlow | None:
        """Return the suitable flow to serve next, or None."""
        suitable = [w for w in self._flows.values() if is_suitable(w.flow)]
        if not suitable:
            return None
        return min(suitable, key=lambda w: w.compute_rank(now, response_s))

    def list_expired(self, now: float) -> list[WaitingFlow]:
        """Return the flows whose callers are assumed to have given up."""
        return [w for w in self._flows.values() if w.expires_s <= now]

    def list_unservable(
        self,
        now: float,
        response_s: float,
        rate: float,
        is_suitable: Callable[[bytes], bool],
    ) -> list[WaitingFlow]:
        """Return the suitable flows that expire before they can be served.

        Parameters
        ----------
        rate : float
            Flows served per second.
        """
        suitable = [w for w in self._flows.values() if is_suitable(w.flow)]
        ordered = sorted(suitable, key=lambda w: w.compute_rank(now, response_s))
        unservable = []
        ahead = 0
        for waiting in ordered:
            if now + ahead / rate >= waiting.expires_s:
                unservable.append(waiting)
            else:
                ahead += 1
        return unservable


class PlacementRate:
    """Estimate the number of flows of a service that can be placed per second.

    Parameters
    ----------
    window_s : float
        Window over which placed flows are counted.
    """

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._placement_times_s: deque[float] = deque()
        self._waiting_since_s: float | None = None

    def record(self, now: float) -> None:
        """Record a placed flow."""
        self._placement_times_s.append(now)
        self._discard(now)

    def start_waiting(self, now: float) -> None:
        """Record that flows wait from now on, unless some wait already."""
        if self._waiting_since_s is None:
            self._waiting_since_s = now

    def clear_waiting_start(self) -> None:
        """Forget since when flows wait; called while none waits."""
        self._waiting_since_s = None

    def estimate(self, now: float, capacity: float) -> float:
        """Return the expected placement rate while flows wait, in flows per second.

        Parameters
        ----------
        capacity : float
            Flows per second that the members can handle in total. It is returned until
            flows have waited for a whole window: before that, the number of placed
            flows reflects the demand rather than the capacity.
        """
        waiting_since_s = self._waiting_since_s
        if waiting_since_s is None or now - waiting_since_s < self._window_s:
            return capacity
        self._discard(now)
        return min(capacity, max(1, len(self._placement_times_s)) / self._window_s)

    def _discard(self, now: float) -> None:
        while (
            self._placement_times_s
            and self._placement_times_s[0] <= now - self._window_s
        ):
            self._placement_times_s.popleft()
