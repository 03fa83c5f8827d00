"""Processes of the demonstration, and calls to their endpoints."""

import json
import os
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path

import requests

STOP_LIMIT_S = 8.0
POLL_S = 0.1
CALL_TIMEOUT_S = 60.0
PROGRAMS = {
    "balancer": "bramleystair.balancer",
    "agent": "bramleystair.agent",
    "standin": "bramleystair.standins",
}


class Fleet:
    """Start processes, and end exactly those.

    Parameters
    ----------
    directory : Path
        Where settings and logs are written.
    """

    def __init__(self, directory: Path) -> None:
        self._directory = directory
        self._processes: dict[str, subprocess.Popen] = {}

    def start(self, name: str, program: str, *arguments: str) -> None:
        """Start the process `name`."""
        code = f"from {PROGRAMS[program]} import main; main()"
        command = [sys.executable, "-c", code, *arguments]
        with (self._directory / f"{name}.log").open("ab") as log:
            self._processes[name] = subprocess.Popen(
                command, stdout=log, stderr=log, env=dict(os.environ)
            )

    def start_daemon(self, name: str, program: str, settings: dict) -> None:
        """Start a daemon with a settings file of its own."""
        path = self._directory / f"{name}.json5"
        path.write_text(json.dumps(settings, indent=2), encoding="utf-8")
        self.start(name, program, str(path))

    def kill(self, name: str) -> None:
        """End the process `name` without notice."""
        process = self._processes.pop(name)
        process.kill()
        process.wait()

    def terminate(self, name: str) -> None:
        """Ask the process `name` to stop gracefully."""
        self._processes[name].send_signal(signal.SIGTERM)

    def find_ended(self) -> list[str]:
        """Return the processes that have ended on their own."""
        return [name for name, p in self._processes.items() if p.poll() is not None]

    def stop(self) -> list[str]:
        """End every process; return those that had to be killed."""
        killed = []
        for _ in range(2):
            # The second signal makes an agent stop without waiting for its flows.
            for process in self._processes.values():
                if process.poll() is None:
                    process.send_signal(signal.SIGTERM)
            time.sleep(POLL_S)
        deadline_s = time.monotonic() + STOP_LIMIT_S
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
    """Return the JSON answer of an endpoint, whatever its status."""
    response = requests.request(method, url, json=body, timeout=CALL_TIMEOUT_S)
    return response.json()


def try_call(method: str, url: str):
    """Return the JSON answer of an endpoint, or None while it does not answer."""
    try:
        return call(method, url)
    except (requests.RequestException, ValueError):
        return None


def read_metrics(url: str) -> dict[str, float]:
    """Return the metrics of a process by name with labels; none if it is gone."""
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


def wait_until(is_met: Callable[[], bool], limit_s: float, what: str) -> float:
    """Return the seconds until `is_met`.

    Raises
    ------
    TimeoutError
        It was not met within `limit_s`.
    """
    start_s = time.monotonic()
    while not is_met():
        if time.monotonic() - start_s > limit_s:
            raise TimeoutError(f"{what} did not happen within {limit_s} s")
        time.sleep(POLL_S)
    return time.monotonic() - start_s
