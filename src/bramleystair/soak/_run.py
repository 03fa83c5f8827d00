"""Execution of one soak run."""

import concurrent.futures
import json
import random as random_module
import tempfile
import time
from pathlib import Path

import attrs

from bramleystair.soak._check import SoakResult, check_run
from bramleystair.soak._faults import FAULT_MIXES, Fault, FaultMix, inject_fault
from bramleystair.soak._fleet import ProcessFleet
from bramleystair.soak._memory import MEMORY_LOG, MemoryMonitor

RECOVERY_S = 10.0
MAX_FAULT_GAP_S = 1.5


def run_seed(
    seed: int, seconds: float, faults: str = "all", folder: Path | None = None
) -> SoakResult:
    """Run the programs under random faults for `seconds` and check the outcome.

    Parameters
    ----------
    faults : str
        Name of the mix of faults.
    folder : Path, optional
        Folder for settings, outputs and the injected faults; a temporary folder by
        default.
    """
    if folder is None:
        with tempfile.TemporaryDirectory() as name:
            return run_seed(seed, seconds, faults, Path(name))
    for path in folder.glob("*.log"):
        # Programs append to their logs.
        path.unlink()
    mix = FAULT_MIXES[faults]
    fleet = ProcessFleet(folder, seed, mix.reuse_share)
    monitor = MemoryMonitor(fleet, folder / MEMORY_LOG)
    try:
        fleet.start()
        monitor.start()
        injected = _run_faults(fleet, mix, seed, seconds)
        time.sleep(RECOVERY_S)
        monitor.stop()
    finally:
        fleet.stop()
    lines = [json.dumps(attrs.asdict(fault)) + "\n" for fault in injected]
    (folder / "faults.log").write_text("".join(lines), encoding="utf-8")
    return check_run(seed, folder, injected)


def _run_faults(
    fleet: ProcessFleet, mix: FaultMix, seed: int, seconds: float
) -> list[Fault]:
    """Inject the concurrent series of faults of a mix; return them by their start."""
    end_s = time.monotonic() + seconds

    def run_series(number: int) -> list[Fault]:
        source = random_module.Random(seed * len(mix.series) + number)
        faults = []
        while time.monotonic() < end_s:
            faults += inject_fault(fleet, source, mix.series[number])
            time.sleep(source.uniform(0, MAX_FAULT_GAP_S))
        return faults

    numbers = range(len(mix.series))
    with concurrent.futures.ThreadPoolExecutor(len(numbers)) as executor:
        series = list(executor.map(run_series, numbers))
    return sorted(sum(series, []), key=lambda fault: fault.start_s)
