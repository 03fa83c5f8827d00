"""Command line that prints the upper bound of the achievable value."""

import sys

import defopt

from bramleystair.model._bound import RequestClass, Workload, compute_upper_bound

CLASS_FIELDS = 7


def print_bound(
    *classes: str,
    slots: int,
    speed: float = 1.0,
    duration_s: float = 40.0,
    outage: tuple[float, float] = (0.0, 0.0),
    cold_s: float = 0.0,
    cold_factor: float = 1.0,
    burst: tuple[float, float] = (0.0, 0.0),
    burst_factor: float = 1.0,
    window_s: float = 2.0,
    seed: int = 1,
) -> int:
    """Print the share of the offered value that an idealised scheduler achieves.

    Only windows in which the share is below 1 are listed, followed by the total.

    Parameters
    ----------
    classes : str
        NAME,RATE,SERVICE_TIME_S,OBJECTIVE_S,DEADLINE_S,VALUE,LATE_VALUE of each class.
    slots : int
        Requests processed concurrently, over all servers.
    speed : float
        Mean speed of the servers.
    duration_s : float
        Seconds during which requests are sent.
    outage : tuple[float, float]
        Start and end of a power outage in seconds.
    cold_s : float
        Seconds after the outage for which servers are cold.
    cold_factor : float
        Factor by which service times are longer on a cold server.
    burst : tuple[float, float]
        Start and end of a burst in seconds.
    burst_factor : float
        Request rate during the burst relative to the normal rate.
    window_s : float
        Length of the window of each line in seconds.
    seed : int
        Seed of arrival and service times.
    """
    try:
        request_classes = tuple(_read_class(text) for text in classes)
    except ValueError as error:
        print(f"invalid request class: {error}", file=sys.stderr)
        return 2
    if not request_classes:
        print("no request class given", file=sys.stderr)
        return 2
    workload = Workload(
        request_classes,
        slots,
        speed,
        duration_s,
        outage,
        cold_s,
        cold_factor,
        burst,
        burst_factor,
    )
    windows = compute_upper_bound(workload, window_s, seed)
    for number, window in windows.items():
        share = window.achieved_value / window.offered_value
        if share < 1:
            print(f"from {number * window_s:g} s: {share:.3f}")
    offered_value = sum(window.offered_value for window in windows.values())
    achieved_value = sum(window.achieved_value for window in windows.values())
    print(f"total: {achieved_value / offered_value:.4f}")
    return 0


def _read_class(text: str) -> RequestClass:
    name, *numbers = text.split(",")
    if len(numbers) != CLASS_FIELDS - 1:
        raise ValueError(f"{text!r} does not have {CLASS_FIELDS} fields")
    return RequestClass(name, *(float(number) for number in numbers))


def main() -> int:
    """Parse the command line, print the bound and return the exit code."""
    return defopt.run(print_bound)
