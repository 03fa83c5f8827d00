"""Measurement of the slopes behind the capacity page."""

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
    messages.measure_partition_heal,
    messages.measure_spread_cost,
    messages.measure_zone_loss,
    messages.measure_platform_calls,
    messages.measure_steady_load,
    messages.measure_replacement,
    messages.measure_start,
    messages.measure_reconciliation,
    messages.measure_heartbeat_reply,
    messages.measure_heartbeats,
)


def measure_capacity(
    *, parts: tuple[str, ...] = PARTS, output: Path = Path("docs/capacity")
) -> None:
    """Measure how costs grow with size and write docs/CAPACITY.md.

    Parameters
    ----------
    parts : tuple[str, ...]
        Parts to measure: "state" (within one process), "operator" (operator commands),
        "messages" (simulated network) and "processes" (up to 100 real processes, takes
        minutes). Other parts keep their previous data. Without any part, only the page
        is written.
    output : Path
        Directory of the data and the plot; the page is written to its parent.
    """
    for part in parts:
        slopes, rows = _measure_part(part)
        data = {
            "command": f"bramleystair-bench capacity --parts {part}",
            "slopes": [attrs.asdict(slope) for slope in slopes],
            "rows": rows,
        }
        write_data(output / f"{part}.json", data)
    # Imported late, so that matplotlib does not add to the memory of the forked
    # processes that are measured.
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
        results = pool.map(_run_measurement, MESSAGE_MEASUREMENTS)
        return [slope for result in results for slope in result], []


def _run_measurement(measure) -> list[Slope]:
    return measure()
