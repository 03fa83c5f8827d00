"""Peak memory of the node processes of a soak run."""

import json
import re
import threading
from pathlib import Path

from bramleystair.soak._fleet import ProcessFleet, Program

MEMORY_LOG = "memory.log"
# A process that ends between two samples is measured up to the first one.
SAMPLE_PERIOD_S = 0.2
_PEAK = re.compile(r"VmHWM:\s+(\d+) kB")


class MemoryMonitor:
    """Sample the peak memory of the nodes until `stop`.

    Parameters
    ----------
    fleet : ProcessFleet
        Processes to measure.
    path : Path
        File to which one line for each node is written.
    """

    def __init__(self, fleet: ProcessFleet, path: Path) -> None:
        self._fleet = fleet
        self._path = path
        self._peaks_mb = dict.fromkeys(fleet.memory_limits_mb, 0.0)
        self._has_ended = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Start to sample."""
        self._thread.start()

    def stop(self) -> None:
        """Stop, and write the peaks with the limits."""
        self._has_ended.set()
        self._thread.join()
        lines = [
            json.dumps({"node": name, "peak_mb": round(peak_mb, 1), "limit_mb": limit})
            for (name, peak_mb), limit in zip(
                self._peaks_mb.items(),
                self._fleet.memory_limits_mb.values(),
                strict=True,
            )
        ]
        self._path.write_text("\n".join(lines), encoding="utf-8")

    def _run(self) -> None:
        while not self._has_ended.wait(SAMPLE_PERIOD_S):
            for name, peak_mb in self._peaks_mb.items():
                found_mb = read_peak_memory(self._fleet.programs[name])
                self._peaks_mb[name] = max(peak_mb, found_mb)


def read_peak_memory(program: Program) -> float:
    """Return the peak memory of a running process in MB, 0 if it does not run."""
    if program.process is None:
        return 0.0
    try:
        status = Path(f"/proc/{program.process.pid}/status").read_text()
    except OSError:
        return 0.0
    match = _PEAK.search(status)
    return int(match[1]) * 1024 / 1e6 if match else 0.0
