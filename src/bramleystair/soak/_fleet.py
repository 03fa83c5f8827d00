"""Processes of one soak run."""

import json
import os
import signal
import subprocess
import sys
import threading
import time
from pathlib import Path

import attrs

from bramleystair.platform._configuration import CONFIG_KIND, CONFIG_NAME
from bramleystair.platform._main import SETTINGS_PATH_VARIABLE
from bramleystair.platform._store import OBJECTS_PATH
from bramleystair.platform.standins import _settings
from bramleystair.platform.standins._writer import StoreWriter
from bramleystair.soak._proxy import Proxy
from bramleystair.standins import reserve_network, try_call, wait_until

ROOT = Path(__file__).resolve().parents[3]
READY_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 8.0
BALANCERS, SERVERS, CALLERS = 3, 4, 30
# Above the time for which a planned restart of an agent delays responses.
RESPONSE_TIMEOUT_S = 6.0
# Memory above which the platform ends a process.
BALANCER_MEMORY_MB, AGENT_MEMORY_MB = 300, 168


@attrs.define
class Program:
    """A program whose process can be restarted.

    Parameters
    ----------
    arguments : list of str
        Arguments of the Python interpreter.
    output : Path
        File to which standard output and error of all its processes are appended.
    lock : threading.RLock
        Held while the process is stopped or paused, by one series of faults at a time.
    """

    arguments: list[str]
    environment: dict[str, str]
    output: Path
    process: subprocess.Popen | None = None
    lock: threading.RLock = attrs.field(factory=threading.RLock)

    def start(self) -> None:
        """Start the process."""
        with self.output.open("ab") as output:
            self.process = subprocess.Popen(
                [sys.executable, *self.arguments],
                stdout=output,
                stderr=subprocess.STDOUT,
                env=os.environ | self.environment,
            )

    def send(self, signal_number: int) -> None:
        """Send a signal to the process if it is running."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal_number)

    def kill(self) -> None:
        """Kill the process, also while it is stopped, and wait for its end."""
        if self.process is None:
            return
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        self.process.wait(STOP_TIMEOUT_S)


class ProcessFleet:
    """Store, nodes, servers and callers as processes on loopback addresses.

    Parameters
    ----------
    folder : Path
        Folder for settings files and process outputs.
    seed : int
        Random seed of the callers.
    reuse_share : float
        Share of flows that are short, and whose ports are used again.
    """

    def __init__(self, folder: Path, seed: int, reuse_share: float = 0.0) -> None:
        self._guard, self._network = reserve_network()
        self.version = 0
        self._configuration_lock = threading.Lock()
        self.proxies: dict[str, Proxy] = {}
        self.programs: dict[str, Program] = {}
        self.memory_limits_mb: dict[str, int] = {}
        self._folder = folder
        self._server_options: list[dict] = []
        self._store = (f"{self._network}.2.1", _settings.STORE_PORT)
        self.writer = StoreWriter(self._store)
        self._add_standin(
            "store", "store", {"host": self._store[0], "port": self._store[1]}
        )
        balancers = [f"{self._network}.3.{n + 1}" for n in range(BALANCERS)]
        for number, ip in enumerate(balancers):
            self._add_node(f"balancer-{number}", ip, number, tuple(balancers), False)
        for number in range(SERVERS):
            ip = self.get_agent_host(number)
            self._add_node(f"agent-{number}", ip, number, tuple(balancers), True)
            options = _settings.build_server_options(
                f"s{number}", ip, f"zone-{number % 2}"
            )
            self._server_options.append(options)
            self._add_standin(f"server-{number}", "server", options)
        options = _settings.build_caller_options(
            f"{self._network}.5.1",
            balancers,
            CALLERS,
            seed,
            RESPONSE_TIMEOUT_S,
            reuse_share,
        )
        self._add_standin("callers", "callers", options)

    def start(self) -> None:
        """Start all programs, the callers last."""
        self.programs["store"].start()
        self._wait_for_store()
        self.change_configuration()
        for name, program in self.programs.items():
            if name not in ("store", "callers"):
                program.start()
        time.sleep(2.0)
        self.programs["callers"].start()

    def stop(self) -> None:
        """Kill all processes and close the proxies."""
        for program in self.programs.values():
            program.kill()
        for proxy in self.proxies.values():
            proxy.close()
        self._guard.close()

    def get_agent_host(self, number: int) -> str:
        """Return the address of an agent, which names its entry in the store."""
        return f"{self._network}.4.{number + 1}"

    def get_control_address(self, number: int) -> tuple[str, int]:
        """Return the address at which an agent receives the reports of its server."""
        return self.get_agent_host(number), _settings.CONTROL_PORT

    def get_server_address(self, number: int) -> tuple[str, int]:
        """Return the address of a server."""
        return self.get_agent_host(number), _settings.APP_PORT

    def get_server_options(self, number: int) -> dict:
        """Return the options with which a server was started first."""
        return self._server_options[number]

    def start_server(self, number: int, changes: dict) -> None:
        """Start a server with changed options; later starts keep them."""
        program = self.programs[f"server-{number}"]
        options = self._server_options[number] | changes
        program.arguments[-1] = json.dumps(options)
        program.start()

    def change_configuration(self) -> None:
        """Write the next version of the configuration to the store."""
        with self._configuration_lock:
            self.version += 1
            self._write_configuration()

    def restore_store(self, age_s: float, away_s: float) -> None:
        """Return the store to its state of `age_s` seconds ago, after `away_s`.

        Like the operator, write the present configuration again.
        """
        self.writer.restore(age_s, away_s)
        time.sleep(away_s)
        with self._configuration_lock:
            self._write_configuration()

    def _write_configuration(self) -> None:
        document = _settings.build_configuration(self.version)
        self.writer.write(CONFIG_KIND, CONFIG_NAME, document)

    def _wait_for_store(self) -> None:
        url = f"http://{self._store[0]}:{self._store[1]}{OBJECTS_PATH}{CONFIG_KIND}"
        wait_until(
            lambda: try_call("GET", url) is not None,
            READY_TIMEOUT_S,
            "the start of the store",
        )
        if self.programs["store"].process.poll() is not None:
            raise RuntimeError("the store ended, another program uses its address")

    def _add_node(
        self, name: str, ip: str, number: int, seeds: tuple[str, ...], is_agent: bool
    ) -> None:
        proxy = Proxy(f"{self._network}.2.2", self._store)
        self.proxies[name] = proxy
        path = self._folder / f"{name}.json"
        document = _settings.build_settings(
            name, ip, f"zone-{number % 2}", proxy.address, seeds, is_agent
        )
        memory_mb = AGENT_MEMORY_MB if is_agent else BALANCER_MEMORY_MB
        document["Limits"] = {"MemoryMb": memory_mb}
        self.memory_limits_mb[name] = memory_mb
        path.write_text(json.dumps(document), encoding="utf-8")
        role = "agent" if is_agent else "balancer"
        self.programs[name] = Program(
            [str(ROOT / "deploy" / "node.py"), role],
            {SETTINGS_PATH_VARIABLE: str(path)},
            self._folder / f"{name}.log",
        )

    def _add_standin(self, name: str, kind: str, options: dict) -> None:
        self.programs[name] = Program(
            ["-m", "bramleystair.platform.standins", kind, json.dumps(options)],
            {"PYTHONPATH": str(ROOT / "src")},
            self._folder / f"{name}.log",
        )
