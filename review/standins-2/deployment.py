"""A small deployment on loopback addresses: programs as processes, stand-ins here."""

import asyncio
import json
import logging
import os
import random
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from pathlib import Path

import attrs
from clients import Balancer, Clients, Router
from server import Server
from store import Store

ROOT = Path(__file__).resolve().parents[2]
HEARTBEAT_MS = 1200
BOUNDS = {
    "SeedLagS": 3,
    "ReuseDelayS": 2,
    "StableWindowMs": 4000,
    "AckMs": 5000,
    "SyncS": 4,
    "DrainMs": 3000,
    "GraceS": 6,
    "LossSlackMs": 200,
    "ConfigPropagationMs": 3000,
    "BackMs": 250,
    "StretchMs": 12000,
    "ColdOverage": 1.5,
    "ColdSlack": 5,
    "EvacuateMs": 5000,
    "RecoveryS": 12,
    "FlowStabilityMs": 2000,
    "FlowTtlS": 60,
}
LIMITS = {
    "edge": {"CpuShare": 0.537, "CpuCores": 2, "MemoryMb": 300, "MaxFds": 4100},
    "side": {"CpuShare": 0.645, "CpuCores": 1, "MemoryMb": 168, "MaxFds": 4096},
}
# Address of the routes; outside the range of the machines, and nothing listens there.
SERVICE_HOST = "127.254.0.1"
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2


class NotRun(Exception):
    """The case could not run."""


class Record:
    """Writes the events of a run to a file, one JSON line each."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started_s = time.monotonic()
        self.events: list[dict] = []

    def __call__(self, event: str, **fields: object) -> None:
        """Record an event with the time since the start of the run."""
        if self._file.closed:
            return
        seconds = round(time.monotonic() - self._started_s, 4)
        line = {"s": seconds, "event": event, **fields}
        self.events.append(line)
        self._file.write(json.dumps(line) + "\n")

    def close(self) -> None:
        """Write what is buffered."""
        self._file.close()


@attrs.define(eq=False)
class Program:
    """A program of the deploy file, and its process."""

    name: str
    arguments: list[str]
    environment: dict[str, str]
    output: Path
    process: subprocess.Popen | None = None
    starts: int = 0

    def start(self) -> None:
        """Start the process."""
        self.starts += 1
        with self.output.open("ab") as output:
            self.process = subprocess.Popen(
                self.arguments,
                cwd=ROOT,
                env=self.environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
            )

    def send(self, number: int) -> None:
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    async def wait(self, timeout_s: float) -> int | None:
        """Wait for the end of the process; return its status, or None."""
        end_s = time.monotonic() + timeout_s
        while self.process.poll() is None and time.monotonic() < end_s:
            await asyncio.sleep(0.01)
        return self.process.poll()

    def read_memory_mb(self) -> float:
        """Return the resident memory of the process in MB; 0 if it does not run."""
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        for line in status.splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
        return 0.0


class Deployment:
    """Store, balancers, agents, servers, clients and routers.

    Parameters
    ----------
    folder : Path
        Folder of the case, which gets `record.txt`.
    zones : dict of str to (int, int)
        Number of balancers and of servers of each zone.
    service : dict
        `slots` and `work_s` of the servers, `cold_per_s` and `cold_start_s`.
    hash_kind : str
        `steady` or `mod`.
    """

    def __init__(
        self,
        folder: Path,
        zones: dict[str, tuple[int, int]],
        service: dict,
        hash_kind: str = "steady",
    ) -> None:
        self._hash_kind = hash_kind
        self.record = Record(folder / "record.txt")
        self.store = Store()
        self.zones, self.service = zones, service
        self.programs: dict[str, Program] = {}
        self.servers: dict[str, Server] = {}
        self.clients: dict[str, Clients] = {}
        self._roles = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
        self._temporary = tempfile.TemporaryDirectory(prefix="review-")
        self._folder = Path(self._temporary.name)
        self._network = f"127.{random.randrange(16, 250)}"
        self._ports = _find_ports(self._network)
        self._hosts: dict[str, str] = {}
        balancers = []
        for number, (zone, (edges, sides)) in enumerate(zones.items(), 1):
            for n in range(1, edges + 1):
                name = f"edge-{zone}-{n}"
                self._hosts[name] = f"{self._network}.{number}.{9 + n}"
                balancers.append(
                    Balancer(
                        name,
                        zone,
                        self._hosts[name],
                        self._ports["packets"],
                        self._ports["ready"],
                    )
                )
            for n in range(1, sides + 1):
                self._hosts[f"side-{zone}-{n}"] = f"{self._network}.{number}.{149 + n}"
        self.router = Router(balancers, hash_kind == "steady")
        self.version = 1

    async def start(self, later: frozenset[str] = frozenset()) -> None:
        """Start everything, and wait until all balancers are ready.

        Parameters
        ----------
        later : frozenset of str
            Names of the balancers that are not started yet.
        """
        if not (ROOT / "target/deps").is_dir():
            raise NotRun("the build of the deploy file has not run")
        for number, name in enumerate(self._hosts):
            host = f"{self._network}.200.{number + 1}"
            await self.store.serve(name, host, self._ports["store"])
            self._add_program(name, host)
        await self.write_configuration([443])
        for name, program in self.programs.items():
            if name not in later:
                program.start()
        for name, host in self._hosts.items():
            if name.startswith("side"):
                self.servers[name] = self._build_server(name, host)
                await self.servers[name].start()
        for number, zone in enumerate(self.zones, 1):
            host = f"{self._network}.{100 + number}.1"
            self.clients[zone] = Clients(
                zone, host, self._ports["packets"], self.router, self.record
            )
            await self.clients[zone].start()
        self._checks = asyncio.create_task(self.router.check())
        await asyncio.sleep(3.0)
        await self.wait_until_ready(later)
        self.record("ready")

    async def wait_until_ready(self, later: frozenset[str] = frozenset()) -> None:
        """Wait until all balancers except for some are ready."""
        end_s = time.monotonic() + 20.0
        while any(b.misses for b in self.router.balancers if b.name not in later):
            if time.monotonic() > end_s:
                raise NotRun("the balancers did not get ready")
            await asyncio.sleep(0.2)

    def stop(self) -> None:
        """End all processes that were started."""
        for program in self.programs.values():
            if program.process is not None:
                program.send(signal.SIGCONT)
                program.send(signal.SIGKILL)
                program.process.wait(10)
        self.record.close()
        self._temporary.cleanup()

    async def write_configuration(self, ports: list[int]) -> None:
        """Write a configuration with a route for each port, as the operator does."""
        self.version += 1
        routes = [
            {
                "Name": f"r-{port}",
                "Host": SERVICE_HOST,
                "PathPrefix": f"/{port}/",
                "Type": "idempotent",
                "TimeoutMs": 3000,
                "GoalMs": 500,
                "Priority": 2,
                "Service": "feed",
                "MaxAttempts": 2,
            }
            for port in ports
        ]
        services = [
            {
                "Name": "feed",
                "HealthPath": "/health",
                "MaxConns": 2000,
                "Protocol": "h1",
                "Tls": False,
                "ColdStartS": self.service.get("cold_start_s", 2.0),
                "ColdPerS": self.service.get("cold_per_s", 0.0),
            }
        ]
        limits = {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 262144,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        }
        spec = {
            "Version": self.version,
            "Routes": routes,
            "Services": services,
            "Limits": limits,
        }
        await self.store.write("config", "main", spec)
        self.record("configuration", version=self.version, ports=ports)

    def _build_server(self, name: str, host: str) -> Server:
        options = {
            "name": name,
            "service": "feed",
            "zone": name.split("-")[1],
            "host": host,
            "app": self._ports["app"],
            "outbound": self._ports["outbound"],
            "control": self._ports["control"],
            "heartbeat_s": HEARTBEAT_MS / 1000,
            "slots": self.service["slots"],
            "work_s": self.service["work_s"],
        }
        return Server(options, self.record)

    def _add_program(self, name: str, store_host: str) -> None:
        machine = name.split("-")[0]
        role_name, role = next(
            (key, role) for key, role in self._roles.items() if role["on"] == machine
        )
        path = self._folder / f"{name}.json"
        document = self._build_settings(name, machine, role_name, role, store_host)
        path.write_text(json.dumps(document), encoding="utf-8")
        environment = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        environment |= {key: str(value) for key, value in role["env"].items()}
        environment |= {
            "BRAMLEYSTAIR_CONFIG": str(path),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "METRICS_PORT": str(self._ports["metrics"]),
        }
        arguments = shlex.split(role["run"])
        self.programs[name] = Program(
            name, arguments, environment, self._folder / f"{name}.log"
        )

    def _build_settings(
        self, name: str, machine: str, role_name: str, role: dict, store_host: str
    ) -> dict:
        ports, host, zone = self._ports, self._hosts[name], name.split("-")[1]
        seeds = [
            f"{self._hosts[b.name]}:{ports['control']}"
            for b in self.router.balancers[:3]
        ]
        listen = {
            "DatagramAddr": f"{host}:{ports['packets']}",
            "Ready": f"{host}:{ports['ready']}",
            "Control": f"{host}:{ports['control']}",
        }
        document = {
            "Node": name,
            "Role": role_name,
            "MachineClass": machine,
            "Serves": role["serves"],
            "Ip": host,
            "Zone": zone,
            "Region": "region",
            "Zones": dict.fromkeys(self.zones, "region"),
            "Listen": listen,
            "InternalPortRange": [ports["inner"], ports["inner"] + 15],
            "Seeds": seeds,
            "Bootstrap": True,
            "CountLoss": False,
            "Limits": LIMITS[machine] | {"LinkMbps": 1000.0, "DiskMb": 0},
            "DataDir": None,
            "Discovery": "local",
            "Entry": "advertise",
            "HeartbeatMs": HEARTBEAT_MS,
            "Bounds": BOUNDS,
            "Hash": self._hash_kind,
            "DeploymentMode": "agent",
            "platform": {
                "Address": f"{store_host}:{ports['store']}",
                "DeploymentMode": "objects",
                "WritesPerS": 400,
                "ReadsPerS": 2000,
                "HistoryS": 20,
                "ValueBytes": 1048576,
                "MinTtlMs": 1000,
            },
        }
        if machine == "side":
            listen["outbound"] = f"{host}:{ports['outbound']}"
            document["app"] = f"{host}:{ports['app']}"
            document["Service"] = "feed"
        return document


def _find_ports(network: str) -> dict[str, int]:
    """Return ports that are free on an address of the network."""
    names = ("packets", "ready", "control", "outbound", "app", "store", "metrics")
    for _ in range(50):
        base = random.randrange(20_000, 30_000)
        ports = {name: base + number for number, name in enumerate(names)}
        ports["inner"] = base + len(names)
        try:
            for port in range(base, ports["inner"] + 16):
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as probe:
                        probe.bind((f"{network}.1.10", port))
        except OSError:
            continue
        return ports
    raise NotRun("no free ports")


def run_case(main, folder: Path) -> None:
    """Run a case; exit with 0 if the rule held, 1 if it was broken, 2 if not run.

    Parameters
    ----------
    main : callable
        Coroutine function of the folder and whether there is trouble; returns whether
        the rule was broken.
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    # The processes are ended, too, if the run is.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(EXIT_NOT_RUN))
    # Connections that are open at the end of a run are cancelled.
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)
    try:
        is_broken = asyncio.run(asyncio.wait_for(main(folder, has_trouble), 115))
    except Exception:
        # Whatever fails here says nothing about the rule.
        traceback.print_exc()
        print("not run")
        sys.exit(EXIT_NOT_RUN)
    sys.exit(EXIT_BROKEN if is_broken else EXIT_HELD)
