"""Child processes of the demonstration, and calls to their endpoints."""

import json
import os
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path

import requests

STOP_TIMEOUT_S = 8.0
POLL_S = 0.1
CALL_TIMEOUT_S = 60.0
PROGRAMS = {
    "balancer": "bramleystair.balancer",
    "agent": "bramleystair.agent",
    "standin": "bramleystair.standins",
}


class ProcessGroup:
    """Start child processes, and stop only those.

    Parameters
    ----------
    directory : Path
        Directory for settings and logs.
    """

    def __init__(self, directory: Path) -> None:
        self._directory = directory
        self._processes: dict[str, subprocess.Popen] = {}

    def start(self, name: str, program: str, *arguments: str) -> None:
        """Start process `name`."""
        code = f"from {PROGRAMS[program]} import main; main()"
        command = [sys.executable, "-c", code, *arguments]
        with (self._directory / f"{name}.log").open("ab") as log:
            self._processes[name] = subprocess.Popen(
                command, stdout=log, stderr=log, env=dict(os.environ)
            )

    def start_daemon(self, name: str, program: str, settings: dict) -> None:
        """Write a settings file and start a daemon with it."""
        path = self._directory / f"{name}.json5"
        path.write_text(json.dumps(settings, indent=2), encoding="utf-8")
        self.start(name, program, str(path))

    def kill(self, name: str) -> None:
        """Kill process `name` with SIGKILL."""
        process = self._processes.pop(name)
        process.kill()
        process.wait()

    def terminate(self, name: str) -> None:
        """Send SIGTERM to process `name`."""
        self._processes[name].send_signal(signal.SIGTERM)

    def list_exited(self) -> list[str]:
        """Return the names of processes that exited by themselves."""
        return [name for name, p in self._processes.items() if p.poll() is not None]

    def stop(self) -> list[str]:
        """Stop all processes; return the names of those that had to be killed."""
        killed = []
        for _ in range(2):
            # On the second signal an agent stops without waiting for its flows to end.
            for process in self._processes.values():
                if process.poll() is None:
                    process.send_signal(signal.SIGTERM)
            time.sleep(POLL_S)
        deadline_s = time.monotonic() + STOP_TIMEOUT_S
        for name, process in self._processes.items():
            try:
                process.wait(max(0.1, deadline_s - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
                killed.append(name)
        self._processes = {}
        return killed


def call(method: str, url: str, body: object = None):
    """Return the JSON response of an endpoint, whatever its status."""
    response = requests.request(method, url, json=body, timeout=CALL_TIMEOUT_S)
    return response.json()


def try_call(method: str, url: str):
    """Return the JSON response of an endpoint, or None if it is unavailable."""
    try:
        return call(method, url)
    except (requests.RequestException, ValueError):
        return None


def read_metrics(url: str) -> dict[str, float]:
    """Return a process's metrics by name and labels; empty if it is unreachable."""
    try:
        response = requests.get(url, timeout=CALL_TIMEOUT_S)
    except requests.ConnectionError:
        return {}
    response.raise_for_status()
    values = {}
    for line in response.text.splitlines():
        if not line.startswith("#"):
            name, _, value = line.rpartition(" ")
            if name:
                values[name] = float(value)
    return values


def wait_until(is_met: Callable[[], bool], timeout_s: float, description: str) -> float:
    """Poll until `is_met` and return the elapsed seconds.

    Raises
    ------
    TimeoutError
        `is_met` was still false after `timeout_s`.
    """
    start_s = time.monotonic()
    while not is_met():
        if time.monotonic() - start_s > timeout_s:
            raise TimeoutError(f"{description}: timed out after {timeout_s} s")
        time.sleep(POLL_S)
    return time.monotonic() - start_s
