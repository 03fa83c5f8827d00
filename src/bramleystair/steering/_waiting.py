"""First packets that wait for a slot, and the order in which they get one."""

from collections import deque
from collections.abc import Callable, Iterator

import attrs

from bramleystair.steering._types import ServiceLevel, Urgency


@attrs.define(eq=False)
class WaitingFlow:
    """A first packet that waits.

    Parameters
    ----------
    started_s : float
        Time at which its caller sent it first, as far as that is known.
    expires_s : float
        Time at which its caller gives it up.
    """

    flow: bytes
    level: ServiceLevel
    started_s: float
    expires_s: float

    def compute_rank(self, now: float, response_s: float) -> tuple[Urgency, float]:
        """Return the sort key of the order; the lowest one is served first.

        Of equally urgent flows, the one with the least time left goes first, but of
        late ones the newest: the older a late flow is, the sooner its caller gives up,
        perhaps before the response.

        Parameters
        ----------
        response_s : float
            Expected time from the opening to the response.
        """
        due_s = self.started_s + self.level.objective_s - response_s
        urgency = Urgency(now > due_s, self.level.priority)
        return urgency, -self.started_s if urgency.is_late else due_s


class WaitingFlows:
    """Flows of one balancer that wait for a busy service.

    Parameters
    ----------
    limit : int
        Flows that wait at once, which bounds their memory.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._flows: dict[bytes, WaitingFlow] = {}

    def __len__(self) -> int:
        """Return the number of flows that wait."""
        return len(self._flows)

    def __iter__(self) -> Iterator[bytes]:
        """Iterate over the flows that wait."""
        return iter(self._flows)

    def add(self, waiting: WaitingFlow) -> bool:
        """Let a flow wait; return False when too many do."""
        if len(self._flows) >= self._limit:
            return False
        self._flows[waiting.flow] = waiting
        return True

    def discard(self, flow: bytes) -> None:
        """Note that `flow` does not wait any more."""
        self._flows.pop(flow, None)

    def choose(
        self,
        now: float,
        response_s: float,
        is_suitable: Callable[[bytes], bool],
    ) -> WaitingFlow | None:
        """Return the suitable flow that is served next, or None."""
        suitable = [w for w in self._flows.values() if is_suitable(w.flow)]
        if not suitable:
            return None
        return min(suitable, key=lambda w: w.compute_rank(now, response_s))

    def list_expired(self, now: float) -> list[WaitingFlow]:
        """Return the flows that their callers have given up."""
        return [w for w in self._flows.values() if w.expires_s <= now]

    def list_hopeless(
        self,
        now: float,
        response_s: float,
        rate: float,
        is_suitable: Callable[[bytes], bool],
    ) -> list[WaitingFlow]:
        """Return the suitable flows that expire before it is their turn.

        Parameters
        ----------
        rate : float
            Flows that are served per second.
        """
        suitable = [w for w in self._flows.values() if is_suitable(w.flow)]
        ordered = sorted(suitable, key=lambda w: w.compute_rank(now, response_s))
        hopeless = []
        ahead = 0
        for waiting in ordered:
            if now + ahead / rate >= waiting.expires_s:
                hopeless.append(waiting)
            else:
                ahead += 1
        return hopeless


class ServiceRate:
    """Measure how many flows of a service a balancer places per second.

    Parameters
    ----------
    window_s : float
        Span over which flows are counted.
    """

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._placed_s: deque[float] = deque()
        self._waiting_since_s: float | None = None

    def record(self, now: float) -> None:
        """Count a flow that was placed."""
        self._placed_s.append(now)
        self._discard(now)

    def begin_wait(self, now: float) -> None:
        """Note that flows wait from now on, unless they did before."""
        if self._waiting_since_s is None:
            self._waiting_since_s = now

    def end_wait(self) -> None:
        """Note that no flow waits."""
        self._waiting_since_s = None

    def estimate(self, now: float, capacity: float) -> float:
        """Return the flows per second that can be expected while others wait.

        Parameters
        ----------
        capacity : float
            Flows per second that the members bear together. It is assumed until flows
            have waited for a whole window: before, the number placed says how many
            came, not how many could be served.
        """
        since_s = self._waiting_since_s
        if since_s is None or now - since_s < self._window_s:
            return capacity
        self._discard(now)
        return min(capacity, max(1, len(self._placed_s)) / self._window_s)

    def _discard(self, now: float) -> None:
        while self._placed_s and self._placed_s[0] <= now - self._window_s:
            self._placed_s.popleft()
