"""Measurement of the capacity page's slopes."""

from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import attrs

from bramleystair.bench import _message_slopes as messages
from bramleystair.bench._fits import Slope
from bramleystair.bench._operator_slopes import measure_operator
from bramleystair.bench._processes import measure_processes
from bramleystair.bench._report import write_data
from bramleystair.bench._slope_data import PARTS
from bramleystair.bench._state_slopes import measure_state

WORKERS = 4
MESSAGE_MEASUREMENTS = (
    messages.measure_rejoin,
    messages.measure_spread_cost,
    messages.measure_zone_lost,
    messages.measure_platform_calls,
    messages.measure_fleet,
    messages.measure_replaced,
    messages.measure_start,
    messages.measure_digests,
    messages.measure_members,
    messages.measure_heartbeats,
)


def measure_capacity(
    *, parts: tuple[str, ...] = PARTS, output: Path = Path("docs/capacity")
) -> None:
    """Measure slopes and write docs/CAPACITY.md from them.

    Parameters
    ----------
    parts : tuple[str, ...]
        "state" (one process), "operator" (the operator's client), "messages" (simulated
        time) and "processes" (100 real processes for minutes). Parts that are not named
        keep their last data; none only writes the page.
    output : Path
        Directory of the data and plots; the page is written beside it.
    """
    for part in parts:
        slopes, rows = _measure_part(part)
        data = {
            "command": f"bramleystair-bench capacity --parts {part}",
            "slopes": [attrs.asdict(slope) for slope in slopes],
            "rows": rows,
        }
        write_data(output / f"{part}.json", data)
    # The page needs matplotlib, which would count as memory of the processes.
    from bramleystair.bench._capacity_page import write_capacity_page

    write_capacity_page(output)


def _measure_part(part: str) -> tuple[list[Slope], list[dict]]:
    if part == "state":
        return measure_state(), []
    if part == "operator":
        return measure_operator(), []
    if part == "processes":
        return measure_processes()
    if part != "messages":
        raise ValueError(f"unknown part {part!r}; known parts: {', '.join(PARTS)}")
    with ProcessPoolExecutor(WORKERS) as pool:
        results = pool.map(_call, MESSAGE_MEASUREMENTS)
        return [slope for result in results for slope in result], []


def _call(measure) -> list[Slope]:
    return measure()
