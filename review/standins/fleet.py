"""A small deployment: the project's programs, and the stand-ins around them."""

import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback
from pathlib import Path

from standins.client import Clients, Router
from standins.reactor import Reactor
from standins.server import Server
from standins.store import Store

ROOT = Path(__file__).resolve().parents[2]
PORTS = ("packets", "outbound", "ready", "control", "app", "internal", "store")
INTERNAL_PORTS = 15
STOP_TIMEOUT_S = 8.0
# Bounds of the small deployments.
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
HEARTBEAT_MS = 1200


class Record:
    """Events in memory and in a file, one JSON object a line."""

    def __init__(self, path):
        self._file = path.open("w", encoding="utf-8")
        self._lock = threading.Lock()
        self.started_s = time.monotonic()
        self.events = []

    def __call__(self, event, **fields):
        """Write an event with the time in seconds since the start."""
        with self._lock:
            entry = {"t": round(time.monotonic() - self.started_s, 4), "event": event}
            entry |= fields
            self.events.append(entry)
            if not self._file.closed:
                self._file.write(json.dumps(entry) + "\n")
        return entry["t"]

    def select(self, event):
        """Return the events of a kind."""
        return [entry for entry in self.events if entry["event"] == event]

    def close(self):
        """Close the file."""
        with self._lock:
            self._file.close()


class NodeProcess:
    """One of the project's programs; it is restarted after each end.

    Parameters
    ----------
    name, role : str
        Name of the node and its role in the deploy file.
    restart_delay_s : float
        Time between the end of the process and its next start.
    """

    def __init__(self, name, role, settings_path, log_path, record, restart_delay_s):
        self.name = name
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self._role = deploy["roles"][role]
        self._settings_path = settings_path
        self._log = log_path.open("ab")
        self._record = record
        self._restart_delay_s = restart_delay_s
        self._is_closed = False
        self._lock = threading.Lock()
        self.process = None
        self._start()
        self._thread = threading.Thread(target=self._supervise, daemon=True)
        self._thread.start()

    def send(self, number):
        """Send a signal to the process."""
        self._record("signal", node=self.name, signal=signal.Signals(number).name)
        self.process.send_signal(number)

    def close(self):
        """End the process for good."""
        with self._lock:
            self._is_closed = True
            if self.process.poll() is None:
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
        self._thread.join(STOP_TIMEOUT_S)
        self._log.close()

    def _start(self):
        names = ("PATH", "HOME", "LANG")
        environment = {n: os.environ[n] for n in names if n in os.environ}
        environment |= self._role.get("env", {})
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["BRAMLEYSTAIR_CONFIG"] = str(self._settings_path)
        self.process = subprocess.Popen(
            self._role["run"].split(),
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=self._log,
            stderr=subprocess.STDOUT,
        )
        self._record("node_started", node=self.name)

    def _supervise(self):
        while True:
            status = self.process.wait()
            if self._is_closed:
                return
            self._record("node_ended", node=self.name, status=status)
            time.sleep(self._restart_delay_s)
            with self._lock:
                if self._is_closed:
                    return
                self._start()


class Fleet:
    """Store, nodes, servers, routers and clients on loopback addresses.

    Parameters
    ----------
    folder : Path
        Folder of `record.txt`.
    zones : list of str
        Zones, with one host of clients each.
    services : list of dict
        Services of the configuration.
    restart_delay_s : float
        See `NodeProcess`.
    """

    def __init__(self, folder, zones, services, restart_delay_s=0.5):
        self.record = Record(folder / "record.txt")
        self.zones = zones
        self._services = services
        self._restart_delay_s = restart_delay_s
        self._folder = Path(tempfile.mkdtemp(prefix="review-"))
        self._network, self._ports = _choose_network()
        self.route = (f"{self._network}.20.1", 443)
        self.store = Store(self.record)
        self.reactor = Reactor()
        self.nodes = {}
        self.servers = {}
        self.router = None
        self._balancers = []
        self._agents = {}
        self.clients = {}

    def add_balancers(self, zones):
        """Start one balancer for each entry of `zones`."""
        ips = [f"{self._network}.3.{n + 1}" for n in range(len(zones))]
        for number, (ip, zone) in enumerate(zip(ips, zones, strict=True)):
            name = f"edge-{zone}-{number + 1}"
            self._balancers.append(
                {
                    "name": name,
                    "zone": zone,
                    "packets": (ip, self._ports["packets"]),
                    "ready": (ip, self._ports["ready"]),
                }
            )
            self._start_node(name, "balancer", ip, zone, ips[:3], {})

    def add_agent(self, name, zone, service):
        """Start the agent of the machine `name`; its server is started separately."""
        ip = f"{self._network}.4.{len(self._agents) + 1}"
        self._agents[name] = (ip, zone, service)
        extra = {"Service": service, "app": f"{ip}:{self._ports['app']}"}
        seeds = [b["packets"][0] for b in self._balancers[:3]]
        self._start_node(name, "agent", ip, zone, seeds, extra)

    def add_server(self, machine, **options):
        """Start the server of a machine."""
        ip, zone, service = self._agents[machine]
        defaults = {
            "id": f"i-{random.randrange(2**32):08x}",
            "service": service,
            "zone": zone,
            "slots": 3,
            "app": (ip, self._ports["app"]),
            "outbound": (ip, self._ports["outbound"]),
            "control": (ip, self._ports["control"]),
            "heartbeat_s": HEARTBEAT_MS / 1000,
            "work_s": 0.03,
            "cold_s": 0.0,
        }
        server = Server(self.reactor, self.record, defaults | options)
        server.zone = zone
        self.servers[machine] = server
        return server

    def start_clients(self):
        """Start the routers and the hosts of clients."""
        self.router = Router(self._balancers)
        for number, zone in enumerate(self.zones):
            address = (f"{self._network}.9.{number + 1}", self._ports["packets"])
            self.clients[zone] = Clients(
                self.reactor, self.router, self.record, zone, address, self.route
            )

    def wait_until_ready(self, timeout_s=20.0):
        """Wait until all balancers are in rotation."""
        deadline_s = time.monotonic() + timeout_s
        while not all(self.router.is_in_rotation(b) for b in self._balancers):
            if time.monotonic() > deadline_s:
                raise CannotRunError("the balancers did not become ready")
            time.sleep(0.05)

    def write_configuration(self, version, service):
        """Write a configuration with one route, as the operator."""
        route = {
            "Name": "r-1",
            "Host": self.route[0],
            "PathPrefix": f"/{self.route[1]}/",
            "Type": "non_idempotent",
            "TimeoutMs": 3000,
            "GoalMs": 225,
            "Priority": 1,
            "Service": service,
            "MaxAttempts": 2,
        }
        spec = {
            "Version": version,
            "Routes": [route],
            "Services": self._services,
            "Limits": {
                "MaxHeaderBytes": 16384,
                "MaxBodyBytes": 262144,
                "HeaderTimeoutMs": 3000,
                "IdleTimeoutMs": 15000,
            },
        }
        self.store.put("config", "main", spec)
        self.record("configuration", version=version, service=service)

    def close(self):
        """End all processes and stand-ins."""
        for node in self.nodes.values():
            node.close()
        for server in self.servers.values():
            server.close()
        if self.router is not None:
            self.router.close()
        self.store.close()
        self.reactor.stop()
        for error in self.reactor.errors[:3]:
            self.record("standin_error", error=error)
        self.record.close()
        shutil.rmtree(self._folder, ignore_errors=True)
        if self.reactor.errors:
            raise CannotRunError(self.reactor.errors[0])

    def _start_node(self, name, role, ip, zone, seeds, extra):
        ports = self._ports
        store = (f"{self._network}.2.{len(self.nodes) + 1}", ports["store"])
        self.store.listen(store, name)
        listen = {
            "DatagramAddr": f"{ip}:{ports['packets']}",
            "Ready": f"{ip}:{ports['ready']}",
            "Control": f"{ip}:{ports['control']}",
        }
        if role == "agent":
            listen["outbound"] = f"{ip}:{ports['outbound']}"
        settings = {
            "Node": name,
            "Role": role,
            "MachineClass": "side" if role == "agent" else "edge",
            "Serves": ["side"] if role == "agent" else ["edge", "control"],
            "Ip": ip,
            "Zone": zone,
            "Region": "region",
            "Zones": {zone: "region" for zone in self.zones},
            "Listen": listen,
            "InternalPortRange": [
                ports["internal"],
                ports["internal"] + INTERNAL_PORTS,
            ],
            "Seeds": [f"{seed}:{ports['control']}" for seed in seeds],
            "Bootstrap": True,
            "CountLoss": False,
            "Limits": {
                "CpuShare": 0.645,
                "CpuCores": 1,
                "MemoryMb": 168,
                "MaxFds": 4096,
                "LinkMbps": 1000.0,
                "DiskMb": 0,
            },
            "DataDir": None,
            "Discovery": "local",
            "Entry": "advertise",
            "HeartbeatMs": HEARTBEAT_MS,
            "Bounds": BOUNDS,
            "Hash": "steady",
            "DeploymentMode": "agent",
            "platform": {
                "Address": f"{store[0]}:{store[1]}",
                "DeploymentMode": "objects",
                "WritesPerS": 400,
                "ReadsPerS": 2000,
                "HistoryS": 20,
                "ValueBytes": 1048576,
                "MinTtlMs": 1000,
            },
        } | extra
        path = self._folder / f"{name}.json"
        path.write_text(json.dumps(settings), encoding="utf-8")
        self.nodes[name] = NodeProcess(
            name,
            role,
            path,
            self._folder / f"{name}.log",
            self.record,
            self._restart_delay_s,
        )


class CannotRunError(Exception):
    """The case could not be played."""


def run_case(play):
    """Run `play(folder, has_trouble)` and return the exit status of the case.

    `play` returns a description of the broken rule, or None if the rule held.
    """
    folder = Path(os.environ["REVIEW_CASE"]).resolve()
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    # All processes are ended also if the case itself is stopped.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        broken = play(folder, has_trouble)
    except CannotRunError as error:
        print(f"the case could not run: {error}")
        return 2
    except Exception:
        traceback.print_exc()
        return 2
    print(f"broken: {broken}" if broken else "held")
    return 1 if broken else 0


def _choose_network():
    """Return a free loopback network and the ports to use in it."""
    for _ in range(50):
        network = f"127.{random.randrange(30, 240)}"
        base = random.randrange(20_000, 28_000)
        ports = {name: base + 20 * n for n, name in enumerate(PORTS)}
        hosts = [f"{network}.{n}.1" for n in (2, 3, 4, 9)]
        if all(_is_free(host, port) for host in hosts for port in ports.values()):
            return network, ports
    raise CannotRunError("no free loopback network")


def _is_free(host, port):
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind((host, port))
            except OSError:
                return False
    return True
