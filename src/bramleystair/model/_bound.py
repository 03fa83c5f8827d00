"""What a deployment could earn at most around a loss of power or in a burst.

A scheduler that knows every request, places it without delay and is back in the same
instant as its VMs serves the same arrivals. The difference to what a deployment earned
is what better decisions, or a quicker start, could still bring.
"""

import heapq
import itertools
import random as random_module

import attrs

# Shape of the work of requests, as the model's servers have it.
WORK_SIGMA = 0.5


@attrs.frozen
class RequestClass:
    """Requests of one kind.

    Parameters
    ----------
    rate : float
        Requests per second.
    work_s : float
        Mean work in seconds on a server of speed 1.
    objective_s, deadline_s : float
        Time up to which a response is in time, and up to which it is worth anything.
    worth, late_worth : float
        Worth of a response in time and of a late one.
    """

    name: str
    rate: float
    work_s: float
    objective_s: float
    deadline_s: float
    worth: float = 1.0
    late_worth: float = 0.3


@attrs.frozen
class Workload:
    """Requests and servers whose worth is bounded.

    Parameters
    ----------
    slots : int
        Requests processed at once.
    speed : float
        Mean speed of the servers.
    outage_s : tuple of float
        Start and end of a loss of power, in which nothing runs.
    cold_s, cold_factor : float
        Time after it for which work takes `cold_factor` times as long.
    burst_s : tuple of float
        Start and end of a burst.
    burst_factor : float
        Rate during the burst compared with the usual one.
    """

    classes: tuple[RequestClass, ...]
    slots: int
    speed: float = 1.0
    duration_s: float = 40.0
    outage_s: tuple[float, float] = (0.0, 0.0)
    cold_s: float = 0.0
    cold_factor: float = 1.0
    burst_s: tuple[float, float] = (0.0, 0.0)
    burst_factor: float = 1.0


@attrs.define
class Window:
    """Worth owed and earned of the requests that were sent in a span of time."""

    owed: float = 0.0
    earned: float = 0.0


@attrs.frozen(eq=False)
class _Request:
    """A request with its work on a warm server of the mean speed."""

    kind: RequestClass
    sent_s: float
    work_s: float


def compute_bound(workload: Workload, window_s: float, seed: int) -> dict[int, Window]:
    """Return the worth by window, from the start on.

    The scheduler is greedy: of the requests that wait, it takes the one that is worth
    most per second of work, in time before late. A request that runs when the power is
    lost starts anew.
    """
    random = random_module.Random(seed)
    arrivals = sorted(_draw_requests(workload, random), key=lambda r: r.sent_s)
    windows = {
        number: Window() for number in range(int(workload.duration_s / window_s) + 1)
    }
    for request in arrivals:
        windows[int(request.sent_s / window_s)].owed += request.kind.worth
    for request, finished_s in _schedule(workload, arrivals):
        window = windows[int(request.sent_s / window_s)]
        window.earned += _compute_worth(request, finished_s)
    return {number: window for number, window in windows.items() if window.owed}


def _draw_requests(workload: Workload, random: random_module.Random) -> list[_Request]:
    requests = []
    for kind in workload.classes:
        now = 0.0
        while True:
            is_burst = workload.burst_s[0] <= now < workload.burst_s[1]
            rate = kind.rate * (workload.burst_factor if is_burst else 1.0)
            now += random.expovariate(rate)
            if now >= workload.duration_s:
                break
            work_s = kind.work_s * random.lognormvariate(
                -(WORK_SIGMA**2) / 2, WORK_SIGMA
            )
            requests.append(_Request(kind, now, work_s / workload.speed))
    return requests


def _schedule(
    workload: Workload, arrivals: list[_Request]
) -> list[tuple[_Request, float]]:
    """Return the requests that are served, with the times of their responses."""
    down_s, up_s = workload.outage_s
    events = [(request.sent_s, number) for number, request in enumerate(arrivals)]
    order = itertools.count(len(arrivals))
    finishing: dict[int, _Request] = {}
    heapq.heapify(events)
    if up_s > down_s:
        heapq.heappush(events, (down_s, next(order)))
        heapq.heappush(events, (up_s, next(order)))
    waiting: list[_Request] = []
    served = []
    while events:
        now, number = heapq.heappop(events)
        if number < len(arrivals):
            waiting.append(arrivals[number])
        elif number in finishing:
            served.append((finishing.pop(number), now))
        if down_s <= now < up_s:
            waiting += finishing.values()
            finishing.clear()
            continue
        waiting = [r for r in waiting if now <= r.sent_s + r.kind.deadline_s]
        while waiting and len(finishing) < workload.slots:
            request = max(waiting, key=lambda r: _compute_rank(workload, r, now))
            waiting.remove(request)
            end_s = now + _compute_work(workload, request, now)
            if _compute_worth(request, end_s) > 0:
                number = next(order)
                finishing[number] = request
                heapq.heappush(events, (end_s, number))
    return served


def _compute_rank(
    workload: Workload, request: _Request, now: float
) -> tuple[bool, float]:
    work_s = _compute_work(workload, request, now)
    worth = _compute_worth(request, now + work_s)
    return worth == request.kind.worth, worth / work_s


def _compute_work(workload: Workload, request: _Request, now: float) -> float:
    down_s, up_s = workload.outage_s
    is_cold = up_s > down_s and up_s <= now < up_s + workload.cold_s
    return request.work_s * (workload.cold_factor if is_cold else 1.0)


def _compute_worth(request: _Request, finished_s: float) -> float:
    latency_s = finished_s - request.sent_s
    if latency_s <= request.kind.objective_s:
        return request.kind.worth
    return request.kind.late_worth if latency_s <= request.kind.deadline_s else 0.0
