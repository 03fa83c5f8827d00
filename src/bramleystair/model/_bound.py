"""Upper bound on the value that a deployment can achieve in an outage or a burst.

An idealised scheduler serves the same arrivals: it knows every request, assigns it
without delay and is available again as soon as its VMs are. The difference from the
value that a deployment achieved is the room left for better decisions or faster
restarts.
"""

import heapq
import itertools
import random as random_module

import attrs

# Sigma of the log-normal service times, the same as in `_servers`.
SERVICE_TIME_SIGMA = 0.5


@attrs.frozen
class RequestClass:
    """Requests with the same rate, service time, deadlines and value.

    Parameters
    ----------
    rate : float
        Requests per second.
    service_time_s : float
        Mean service time in seconds on a server of speed 1.
    objective_s, deadline_s : float
        Latency objective, and the latency beyond which a response has no value.
    value, late_value : float
        Value of a response within the objective, and of one between the objective and
        the deadline.
    """

    name: str
    rate: float
    service_time_s: float
    objective_s: float
    deadline_s: float
    value: float = 1.0
    late_value: float = 0.3


@attrs.frozen
class Workload:
    """Requests and servers for which the upper bound is computed.

    Parameters
    ----------
    slots : int
        Requests processed concurrently, over all servers.
    speed : float
        Mean speed of the servers.
    outage_s : tuple of float
        Start and end of a power outage, during which no server runs.
    cold_s, cold_factor : float
        Time after the outage for which service times are `cold_factor` times as long.
    burst_s : tuple of float
        Start and end of a burst.
    burst_factor : float
        Request rate during the burst relative to the normal rate.
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
    """Value of the requests sent in one time window, and the value achieved."""

    offered_value: float = 0.0
    achieved_value: float = 0.0


@attrs.frozen(eq=False)
class _Request:
    """A request with its service time on a warm server of the mean speed."""

    request_class: RequestClass
    sent_s: float
    service_time_s: float


def compute_upper_bound(
    workload: Workload, window_s: float, seed: int
) -> dict[int, Window]:
    """Return the offered and achieved value of each window, by window number.

    The scheduler is greedy: of the waiting requests, it takes the one with the highest
    value per second of service time, and prefers requests that can still meet their
    objective. A request that is in progress when the outage begins is started again
    after it.
    """
    random = random_module.Random(seed)
    arrivals = sorted(_draw_requests(workload, random), key=lambda r: r.sent_s)
    windows = {
        number: Window() for number in range(int(workload.duration_s / window_s) + 1)
    }
    for request in arrivals:
        windows[
            int(request.sent_s / window_s)
        ].offered_value += request.request_class.value
    for request, finished_s in _schedule(workload, arrivals):
        window = windows[int(request.sent_s / window_s)]
        window.achieved_value += _compute_value(request, finished_s)
    return {
        number: window for number, window in windows.items() if window.offered_value
    }


def _draw_requests(workload: Workload, random: random_module.Random) -> list[_Request]:
    requests = []
    for request_class in workload.classes:
        now = 0.0
        while True:
            is_burst = workload.burst_s[0] <= now < workload.burst_s[1]
            rate = request_class.rate * (workload.burst_factor if is_burst else 1.0)
            now += random.expovariate(rate)
            if now >= workload.duration_s:
                break
            service_time_s = request_class.service_time_s * random.lognormvariate(
                -(SERVICE_TIME_SIGMA**2) / 2, SERVICE_TIME_SIGMA
            )
            requests.append(
                _Request(request_class, now, service_time_s / workload.speed)
            )
    return requests


def _schedule(
    workload: Workload, arrivals: list[_Request]
) -> list[tuple[_Request, float]]:
    """Return the served requests and the times of their responses."""
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
        waiting = [r for r in waiting if now <= r.sent_s + r.request_class.deadline_s]
        while waiting and len(finishing) < workload.slots:
            request = max(waiting, key=lambda r: _compute_priority(workload, r, now))
            waiting.remove(request)
            end_s = now + _compute_service_time(workload, request, now)
            if _compute_value(request, end_s) > 0:
                number = next(order)
                finishing[number] = request
                heapq.heappush(events, (end_s, number))
    return served


def _compute_priority(
    workload: Workload, request: _Request, now: float
) -> tuple[bool, float]:
    service_time_s = _compute_service_time(workload, request, now)
    value = _compute_value(request, now + service_time_s)
    return value == request.request_class.value, value / service_time_s


def _compute_service_time(workload: Workload, request: _Request, now: float) -> float:
    down_s, up_s = workload.outage_s
    is_cold = up_s > down_s and up_s <= now < up_s + workload.cold_s
    return request.service_time_s * (workload.cold_factor if is_cold else 1.0)


def _compute_value(request: _Request, finished_s: float) -> float:
    latency_s = finished_s - request.sent_s
    if latency_s <= request.request_class.objective_s:
        return request.request_class.value
    return (
        request.request_class.late_value
        if latency_s <= request.request_class.deadline_s
        else 0.0
    )
