"""Order in which requests on open flows reach a backend server that is full.

The server serves requests in the order of arrival and rejects what its queue cannot
take, whatever the priority. The gate therefore holds requests for a short time while
the server has no room, and delivers the most urgent one first.
"""

import enum
from collections.abc import Callable

import attrs

from bramleystair.steering._options import RequestGateSettings
from bramleystair.steering._segments import Segment

# Maximum number of held requests. A caller has at most 16 packets of 1,200 bytes in
# flight, so that held requests take at most 5 MB.
MAX_HELD = 256
MAX_HELD_PACKETS = 16
# Weight of the newest sample in the moving average of the time between responses.
INTERVAL_WEIGHT = 0.1
# Time after its last request for which a priority counts as in use.
PRIORITY_LIFETIME_S = 10.0


class Release(enum.StrEnum):
    """Reason for which a held request is delivered."""

    ROOM = "room"
    DUE = "due"
    DISPLACED = "displaced"
    CLOSED = "closed"
    SERVER_REPLACED = "server_replaced"
    SERVER_GONE = "server_gone"
    STOPPING = "stopping"


class Outcome(enum.StrEnum):
    """Decision on a request that arrives."""

    DELIVERED = "delivered"
    HELD = "held"
    TABLE_FULL = "table_full"
    NO_TIME = "no_time"


class Follow(enum.Enum):
    """Decision on a later packet of a flow."""

    PASS = enum.auto()
    QUEUED = enum.auto()
    COPY = enum.auto()


@attrs.frozen
class RequestLevel:
    """Priority of a route and the time left for a request.

    Parameters
    ----------
    priority : int
        Priority class of the route; 0 is served first.
    objective_s : float
        Response time up to which a response is in time.
    waited_s : float
        Time that the caller has waited before the request arrived.
    """

    priority: int
    objective_s: float
    waited_s: float = 0.0


@attrs.define(eq=False)
class HeldRequest:
    """A request that waits for room at the server.

    Parameters
    ----------
    rank : tuple
        Sort key; the lowest is served first.
    due_s : float
        Time at which the request is delivered even if the server has no room.
    segments : list of Segment
        Packets of the request in the order of arrival.
    """

    flow: bytes
    priority: int
    rank: tuple[int, float, int]
    arrived_s: float
    due_s: float
    segments: list[Segment]


class RequestGate:
    """Decide when the requests of callers are delivered to the server.

    Requests are ordered by the priority of their route, then by the time left until the
    objective. One is held for at most `max_hold_fraction` of the objective, waiting
    before its flow was admitted included, and is then offered to the server in any
    case: this bounds the wait of the least urgent ones.

    While requests of several priorities are in use, all but the lowest priority pass as
    long as the server's queue has a place, since the others leave it no free slot. The
    length of the queue is learnt from the order of the responses; see `finish`.

    Parameters
    ----------
    settings : RequestGateSettings
        Limits.
    compute_limit : callable
        Returns the number of requests that the server may have at a time, given its
        number of slots and the time in seconds.
    """

    def __init__(
        self,
        settings: RequestGateSettings,
        compute_limit: Callable[[int, float], float],
    ) -> None:
        self._settings = settings
        self._compute_limit = compute_limit
        self._slots = 0
        self._held: dict[bytes, HeldRequest] = {}
        # Number of requests before each one at its delivery, in the order of delivery.
        self._in_progress: dict[bytes, int] = {}
        # Requests that the server can have at a time, running and queued, if known.
        self._places: int | None = None
        self._interval_s = 0.0
        self._busy_since_s: float | None = None
        # Time of the last request by priority.
        self._last_requests_s: dict[int, float] = {}
        self._last_number = 0

    @property
    def is_active(self) -> bool:
        """Whether the part applies beside this server."""
        return 0 < self._slots <= self._settings.max_slots

    @property
    def held_count(self) -> int:
        """Number of held requests."""
        return len(self._held)

    @property
    def next_due_s(self) -> float:
        """Time at which `release_due` has to be called next."""
        return min((held.due_s for held in self._held.values()), default=float("inf"))

    def set_slots(self, slots: int) -> None:
        """Set the number of requests that the server processes concurrently."""
        self._slots = slots

    def submit(
        self, segment: Segment, level: RequestLevel | None, now: float
    ) -> tuple[Outcome, HeldRequest | None]:
        """Decide on the first packet of a request.

        Parameters
        ----------
        level : RequestLevel or None
            Level of its route; a request of an unknown level is delivered.

        Returns
        -------
        tuple of Outcome and HeldRequest or None
            Whether to deliver the packet or not, and a request that is displaced.
        """
        if level is None:
            self._start(segment.flow)
            return Outcome.DELIVERED, None
        self._last_requests_s[level.priority] = now
        request = self._build_held(segment, level, now)
        ahead = sum(held.rank < request.rank for held in self._held.values())
        if not ahead and self._has_room(request, now):
            self._start(segment.flow)
            return Outcome.DELIVERED, None
        if now + self._estimate_wait(request, ahead, now) > request.due_s:
            self._start(segment.flow)
            return Outcome.NO_TIME, None
        displaced = None
        if len(self._held) >= min(self._settings.max_held * self._slots, MAX_HELD):
            displaced = max(self._held.values(), key=_get_rank)
            if displaced.rank < request.rank:
                self._start(segment.flow)
                return Outcome.TABLE_FULL, None
            self._take(displaced)
        self._held[segment.flow] = request
        return Outcome.HELD, displaced

    def follow(self, segment: Segment) -> Follow:
        """Decide on a packet of a flow that does not start a request.

        Packets without payload pass, so that acknowledgements are not delayed.
        """
        held = self._held.get(segment.flow)
        if held is None or not segment.has_payload:
            return Follow.PASS
        if any(s.sequence == segment.sequence for s in held.segments):
            return Follow.COPY
        if len(held.segments) >= MAX_HELD_PACKETS:
            # Retransmitted by the caller, like any packet of which a copy is held.
            return Follow.COPY
        held.segments.append(segment)
        return Follow.QUEUED

    def finish(self, flow: bytes, now: float, is_answered: bool) -> None:
        """Record that a request has ended, with a response or without one.

        A rejection shows how many requests the server can have at a time.
        """
        if flow not in self._in_progress:
            return
        position = list(self._in_progress).index(flow)
        ahead = self._in_progress.pop(flow)
        if not is_answered:
            return
        # The server runs requests in the order of arrival, so that a response to one
        # behind the first `slots` ones is a rejection.
        if position >= self._slots:
            self._places = position
            return
        if self._places is not None and ahead >= self._places:
            # Some of those ahead may have been rejected, so that it grows slowly.
            self._places += 1
        if self._busy_since_s is not None:
            sample_s = now - self._busy_since_s
            weight = INTERVAL_WEIGHT if self._interval_s else 1.0
            self._interval_s += weight * (sample_s - self._interval_s)
        self._busy_since_s = now if len(self._in_progress) >= self._slots else None

    def get_queued(self, flow: bytes) -> int:
        """Return the requests at the server at a delivery, including this one."""
        return self._in_progress[flow] + 1

    def holds(self, flow: bytes) -> bool:
        """Return whether the request of a flow is held."""
        return flow in self._held

    def release_room(self, now: float) -> list[HeldRequest]:
        """Return the requests for which the server has room, the most urgent first."""
        released = []
        while self._held:
            request = min(self._held.values(), key=_get_rank)
            if not self._has_room(request, now):
                break
            self._take(request)
            released.append(request)
        return released

    def release_due(self, now: float) -> list[HeldRequest]:
        """Return the requests that were held for long enough, by urgency."""
        due = [held for held in self._held.values() if held.due_s <= now]
        due.sort(key=_get_rank)
        for request in due:
            self._take(request)
        return due

    def release_all(self) -> list[HeldRequest]:
        """Return all held requests by urgency."""
        released = sorted(self._held.values(), key=_get_rank)
        for request in released:
            self._take(request)
        return released

    def release_flow(self, flow: bytes) -> HeldRequest | None:
        """Return the held request of a flow, or None."""
        request = self._held.get(flow)
        if request is not None:
            self._take(request)
        return request

    def discard(self, flow: bytes) -> HeldRequest | None:
        """Forget the request of a flow; return it if it was held."""
        self._in_progress.pop(flow, None)
        return self._held.pop(flow, None)

    def forget_server(self) -> None:
        """Forget what was learnt about a server that was replaced."""
        self._in_progress.clear()
        self._places = None
        self._interval_s = 0.0
        self._busy_since_s = None

    def _build_held(
        self, segment: Segment, level: RequestLevel, now: float
    ) -> HeldRequest:
        self._last_number += 1
        started_s = now - level.waited_s
        in_time_until_s = started_s + level.objective_s
        hold_s = self._settings.max_hold_fraction * level.objective_s
        rank = (level.priority, in_time_until_s, self._last_number)
        due_s = started_s + hold_s
        return HeldRequest(segment.flow, level.priority, rank, now, due_s, [segment])

    def _has_room(self, request: HeldRequest, now: float) -> bool:
        return len(self._in_progress) < self._compute_room(request.priority, now)

    def _compute_room(self, priority: int, now: float) -> float:
        """Return the number of requests from which one of `priority` is held."""
        limit = max(1.0, self._compute_limit(self._slots, now))
        if not self._outranks_others(priority, now):
            return limit
        return float("inf") if self._places is None else max(limit, self._places)

    def _outranks_others(self, priority: int, now: float) -> bool:
        oldest_s = now - PRIORITY_LIFETIME_S
        return any(
            other > priority and seen_s >= oldest_s
            for other, seen_s in self._last_requests_s.items()
        )

    def _estimate_wait(self, request: HeldRequest, ahead: int, now: float) -> float:
        """Return the expected time until the server has room for a request.

        Parameters
        ----------
        ahead : int
            Number of held requests that are served before it.
        """
        room = self._compute_room(request.priority, now)
        excess = max(0.0, len(self._in_progress) + 1 - room)
        return (excess + ahead) * self._interval_s

    def _take(self, request: HeldRequest) -> None:
        del self._held[request.flow]
        self._start(request.flow)

    def _start(self, flow: bytes) -> None:
        self._in_progress.pop(flow, None)
        self._in_progress[flow] = len(self._in_progress)


def _get_rank(request: HeldRequest) -> tuple[int, float, int]:
    return request.rank
