"""Command line of the bound."""

import sys

import defopt

from bramleystair.model._bound import RequestClass, Workload, compute_bound

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
    """Print the share of the worth that a scheduler which knows everything earns.

    Parameters
    ----------
    classes : str
        NAME,RATE,WORK_S,OBJECTIVE_S,DEADLINE_S,WORTH,LATE_WORTH of each kind.
    slots : int
        Requests processed at once.
    speed : float
        Mean speed of the servers.
    duration_s : float
        Seconds in which requests are sent.
    outage : tuple[float, float]
        Start and end of a loss of power in seconds.
    cold_s : float
        Time after it for which servers are cold.
    cold_factor : float
        How much longer work takes at a cold server.
    burst : tuple[float, float]
        Start and end of a burst in seconds.
    burst_factor : float
        Rate in the burst, compared with the usual one.
    window_s : float
        Seconds of each line.
    seed : int
        Seed of arrivals and work.
    """
    try:
        kinds = tuple(_read_class(text) for text in classes)
    except ValueError as error:
        print(f"not a kind of request: {error}", file=sys.stderr)
        return 2
    if not kinds:
        print("no kind of request is given", file=sys.stderr)
        return 2
    workload = Workload(
        kinds,
        slots,
        speed,
        duration_s,
        outage,
        cold_s,
        cold_factor,
        burst,
        burst_factor,
    )
    windows = compute_bound(workload, window_s, seed)
    for number, window in windows.items():
        share = window.earned / window.owed
        if share < 1:
            print(f"from {number * window_s:g} s: {share:.3f}")
    owed = sum(window.owed for window in windows.values())
    earned = sum(window.earned for window in windows.values())
    print(f"whole: {earned / owed:.4f}")
    return 0


def _read_class(text: str) -> RequestClass:
    name, *numbers = text.split(",")
    if len(numbers) != CLASS_FIELDS - 1:
        raise ValueError(f"{text!r} has not {CLASS_FIELDS} fields")
    return RequestClass(name, *(float(number) for number in numbers))


def main() -> int:
    """Run the command line."""
    return defopt.run(print_bound)
