"""Run a complete deployment through planned changes and the failure of a balancer.

It is called by ``scripts/demo``. The exit status is 1 if a guarantee of the design page
was violated.
"""

import json
import sys
import tempfile
import time
from pathlib import Path

import attrs
import defopt

from bramleystair.standins import _deployments as deployments
from bramleystair.standins._demo_report import (
    Events,
    Report,
    build_report,
    list_violations,
    print_table,
)
from bramleystair.standins._demo_sampler import AgentSampler
from bramleystair.standins._deployments import DEPLOYMENTS, Deployment, Server, Service
from bramleystair.standins._operator import Operator
from bramleystair.standins._processes import ProcessGroup, call, try_call, wait_until

START_TIMEOUT_S = 30.0
CHANGE_TIMEOUT_S = 20.0
FLOWS_PER_SERVICE = 300
FLOW_BATCHES = 20
FLOW_PERIOD_S = 0.5
WRITER_THREADS = 6
DOWNLOADER_THREADS = 4
REQUEST_PAUSE_S = 0.15
DEFAULT_SECONDS = 42
STEP_SHARES = {
    "settle": 0.25,
    "balancer": 0.12,
    "drain": 0.13,
    "cold": 0.2,
    "zone": 0.2,
}
FABRIC_URL = f"http://{deployments.FABRIC_HOST}:{deployments.CONTROL_PORT}"
CALLER_URL = f"http://{deployments.CALLER_HOST}:{deployments.CONTROL_PORT}"
PLATFORM_URL = f"http://{deployments.PLATFORM_HOST}:{deployments.PLATFORM_PORT}"


class Demo:
    """Demonstration of a deployment.

    Parameters
    ----------
    deployment : Deployment
        Deployment to run.
    seconds : int
        Duration of all steps after the start.
    directory : Path
        Directory for settings and logs.
    """

    def __init__(self, deployment: Deployment, seconds: int, directory: Path) -> None:
        self.deployment = deployment
        self.servers = deployment.list_servers()
        # The last server of the first service starts cold during the run.
        first = [s for s in self.servers if s.service == deployment.services[0]]
        self.cold_server = first[-1]
        self.drained_server = first[1]
        self.zone = first[2].zone
        self.fleet = ProcessGroup(directory)
        self._directory = directory
        self.operator = Operator(PLATFORM_URL)
        self.events = Events(self.zone, self.drained_server.name, self.cold_server.name)
        self.sampler = AgentSampler(self.servers, self.cold_server)
        self._seconds = seconds
        self._start_s = time.monotonic()
        self._balancers: list[int] = []
        self._flows_opened = 0

    def run(self) -> Report:
        """Run all steps and return the report."""
        self._start_processes()
        self._start_load()
        self._replace_balancer()
        self._drain_server()
        self._start_cold_server()
        self._change_table()
        self._take_zone_out_and_in()
        return self._finish()

    def print_progress(self, text: str) -> None:
        """Print a progress line with the elapsed time."""
        elapsed_s = time.monotonic() - self._start_s
        print(f"[{elapsed_s:5.1f} s] {text}", flush=True)

    # Start

    def _start_processes(self) -> None:
        self.print_progress(f"starting {self.deployment.name}")
        self.fleet.start(
            "platform",
            "standin",
            "platform",
            *(
                "--host",
                deployments.PLATFORM_HOST,
                "--port",
                str(deployments.PLATFORM_PORT),
            ),
        )
        self.fleet.start(
            "fabric",
            "standin",
            "fabric",
            *("--host", deployments.FABRIC_HOST),
            *("--caller-port", str(deployments.FABRIC_CALLER_PORT)),
            *("--agent-port", str(deployments.FABRIC_AGENT_PORT)),
            *("--control-port", str(deployments.CONTROL_PORT)),
        )
        self.fleet.start(
            "caller",
            "standin",
            "caller",
            *("--host", deployments.CALLER_HOST),
            *(
                "--fabric",
                f"{deployments.FABRIC_HOST}:{deployments.FABRIC_CALLER_PORT}",
            ),
            *("--control-port", str(deployments.CONTROL_PORT)),
        )
        for server in self.servers:
            if server != self.cold_server:
                self._start_server(server)
        for number in range(1, deployments.BALANCERS):
            self._start_balancer(number)
        self._wait_for_endpoints()
        for service in self.deployment.services:
            self.operator.put_table(self.deployment.build_table(service))
        self._wait_for_views()

    def _start_server(self, server: Server) -> None:
        self.fleet.start(
            f"backend-{server.name}",
            "standin",
            "backend",
            *("--name", server.name, "--services", server.service.name),
            *("--host", server.backend_host, "--port", str(deployments.BACKEND_PORT)),
            *("--slots", str(server.service.slots)),
            *("--service-time-s", str(server.service_time_s)),
        )
        settings = self.deployment.build_agent(server, PLATFORM_URL)
        self.fleet.start_daemon(f"agent-{server.name}", "agent", settings)

    def _start_balancer(self, number: int) -> None:
        settings = self.deployment.build_balancer(number, PLATFORM_URL)
        self.fleet.start_daemon(f"balancer-{number}", "balancer", settings)
        self._balancers.append(number)

    def _wait_for_endpoints(self) -> None:
        def is_up() -> bool:
            urls = (f"{FABRIC_URL}/counts", f"{CALLER_URL}/requests")
            return all(try_call("GET", url) is not None for url in urls)

        wait_until(is_up, START_TIMEOUT_S, "start of the stand-ins")
        wait_until(self.operator.is_up, START_TIMEOUT_S, "start of the platform")

    def _wait_for_views(self) -> None:
        wait_until(
            lambda: all(self._is_balancer_ready(number) for number in self._balancers),
            START_TIMEOUT_S,
            "tables and agents at every balancer",
        )
        self._set_fabric()
        elapsed_s = time.monotonic() - self._start_s
        self.print_progress(
            f"{len(self.servers) - 1} backend servers ready after {elapsed_s:.1f} s"
        )

    def _is_balancer_ready(self, number: int) -> bool:
        health = self.get_health(number)
        return (
            bool(health)
            and health["ready"]
            and len(health["versions"]) == len(self.deployment.services)
            and health["agents"] >= len(self.servers) - 1
        )

    def get_health(self, number: int) -> dict:
        """Return the health document of balancer `number`; empty if unreachable."""
        host = deployments.BALANCER_HOST.format(number)
        return (
            try_call("GET", f"http://{host}:{deployments.METRICS_PORT}/healthz") or {}
        )

    def _set_fabric(self) -> None:
        hosts = [deployments.BALANCER_HOST.format(number) for number in self._balancers]
        links = [
            {
                "endpoint": f"{host}:{deployments.GENEVE_PORT}",
                "health": f"http://{host}:{deployments.METRICS_PORT}/healthz",
            }
            for host in hosts
        ]
        call("PUT", f"{FABRIC_URL}/state", {"balancers": links})
        endpoints = [f"{host}:{deployments.HTTP_PORT}" for host in hosts]
        call("PUT", f"{CALLER_URL}/balancers", endpoints)

    # Load

    def _start_load(self) -> None:
        self.sampler.start()
        for service in self.deployment.services:
            self._start_requests(service, WRITER_THREADS, False)
            self._start_requests(service, DOWNLOADER_THREADS, True)
        self._open_flows_gradually(FLOWS_PER_SERVICE * 2 // 3, 0.35)
        # These flows arrive more slowly than load reports spread, as in a steady state.
        self._open_flows_gradually(FLOWS_PER_SERVICE // 3, 0.5)
        self._wait_step("settle", 0.15)
        self.events.steady_flows = call("GET", f"{CALLER_URL}/flows")["flows"]
        self.print_progress(f"{self._flows_opened} flows open, requests running")

    def _open_flows_gradually(self, count: int, fraction: float) -> None:
        """Open `count` flows per service during `fraction` of the first step."""
        for _ in range(FLOW_BATCHES):
            for service in self.deployment.services:
                self._open_flows(service, count // FLOW_BATCHES)
            self._wait_step("settle", fraction / FLOW_BATCHES)

    def _start_requests(
        self, service: Service, threads: int, is_idempotent: bool
    ) -> None:
        spec = {
            "service": service.name,
            "threads": threads,
            "pause_s": REQUEST_PAUSE_S,
            "is_idempotent": is_idempotent,
        }
        call("POST", f"{CALLER_URL}/requests", spec)

    def _open_flows(self, service: Service, count: int) -> None:
        spec = {
            "service": service.name,
            "address": service.address,
            "port": service.port,
            "count": count,
            "period_s": FLOW_PERIOD_S,
        }
        call("POST", f"{CALLER_URL}/flows", spec)
        self._flows_opened += count

    def _wait_step(self, step: str, fraction: float = 1.0) -> None:
        time.sleep(STEP_SHARES[step] * self._seconds * fraction)

    # Changes

    def _replace_balancer(self) -> None:
        self.print_progress("killing balancer-1")
        self.fleet.kill("balancer-1")
        self._balancers.remove(1)
        self._wait_step("balancer", 0.5)
        self._start_balancer(deployments.BALANCERS)
        wait_until(
            lambda: self._is_balancer_ready(deployments.BALANCERS),
            START_TIMEOUT_S,
            "join of a balancer",
        )
        self._set_fabric()
        self.print_progress(f"balancer-{deployments.BALANCERS} joined")
        self._wait_step("balancer", 0.5)

    def _drain_server(self) -> None:
        name = self.drained_server.name
        self.events.drained_s = time.monotonic()
        self.fleet.terminate(f"agent-{name}")
        self.print_progress(f"draining {name}")
        self._wait_step("drain", 0.5)
        self._open_flows(self.drained_server.service, FLOWS_PER_SERVICE // 10)
        self._wait_step("drain", 0.5)

    def _start_cold_server(self) -> None:
        self.print_progress(f"starting {self.cold_server.name} cold")
        self.sampler.cold_started_s = time.monotonic()
        self._start_server(self.cold_server)
        for _ in range(FLOW_BATCHES):
            self._open_flows(
                self.cold_server.service, FLOWS_PER_SERVICE // 2 // FLOW_BATCHES
            )
            self._wait_step("cold", 1 / FLOW_BATCHES)

    def _change_table(self) -> None:
        service = self.deployment.services[1]
        names = [s.name for s in self.servers if s.service == service]
        table = self.deployment.build_table(service, {names[0]: 2.0})
        version = self.operator.put_table(table)
        members = [s for s in self.servers if s.service == service]
        self.events.in_force_s.append(
            wait_until(
                lambda: self._is_table_in_force(service, members, version),
                CHANGE_TIMEOUT_S,
                "table change at every node",
            )
        )
        self.print_progress(
            f"table change in force after {self.events.in_force_s[-1]:.1f} s"
        )

    def _is_table_in_force(
        self, service: Service, members: list[Server], version: int
    ) -> bool:
        return all(
            health.get("versions", {}).get(service.name, 0) >= version
            for health in self._list_health(members)
        )

    def _list_health(self, servers: list[Server]) -> list[dict]:
        balancers = [self.get_health(number) for number in self._balancers]
        agents = [self.sampler.get_health(server) for server in servers]
        return [*balancers, *agents]

    def _take_zone_out_and_in(self) -> None:
        self.print_progress(f"taking {self.zone} out of service")
        self.sampler.record_given_up_baseline()
        version = self.operator.put_zone(self.zone, False)
        self.events.zone_out_s = time.monotonic()
        self._wait_for_zone(version)
        self.print_progress(
            f"zone mark in force after {self.events.in_force_s[-1]:.1f} s"
        )
        self._wait_step("zone", 0.8)
        self.events.zone_quiet_s = self.sampler.measure_last_packet_delay(
            self.zone, self.events.zone_out_s, self._list_zone_balancers()
        )
        self.events.zone_given_up = self.sampler.count_given_up_flows(self.zone)
        version = self.operator.put_zone(self.zone, True)
        self.events.zone_in_s = time.monotonic()
        self._wait_for_zone(version)
        self.print_progress(f"{self.zone} is back in service")
        self._wait_step("zone", 0.2)

    def _wait_for_zone(self, version: int) -> None:
        running = [s for s in self.servers if s != self.drained_server]
        self.events.in_force_s.append(
            wait_until(
                lambda: all(
                    health.get("zones", {}).get(self.zone, 0) >= version
                    for health in self._list_health(running)
                ),
                CHANGE_TIMEOUT_S,
                "zone mark at every node",
            )
        )

    def _list_zone_balancers(self) -> list[int]:
        return [
            number
            for number in self._balancers
            if self.deployment.build_balancer(number, "")["zone"] == self.zone
        ]

    # End

    def _finish(self) -> Report:
        self.print_progress("finishing requests in progress")
        call("DELETE", f"{CALLER_URL}/requests")
        self.sampler.stop()
        self.events.ended = self.fleet.list_exited()
        flows = call("GET", f"{CALLER_URL}/flows")
        records = call("GET", f"{CALLER_URL}/requests")
        runs = self.sampler.read_runs()
        evidence = {
            "events": attrs.asdict(self.events),
            "flows": flows,
            "requests": records,
            "runs": runs,
        }
        path = self._directory / "evidence.json"
        path.write_text(json.dumps(evidence), encoding="utf-8")
        return build_report(
            self.events, self.sampler, flows, records, runs, self.deployment
        )


def run_demo(
    *, deployment: str = "tres-lunas", seconds: int = DEFAULT_SECONDS, logs: str = ""
) -> None:
    """Run a deployment through planned changes and the failure of a balancer.

    Parameters
    ----------
    deployment : str
        tres-lunas or mia-duong.
    seconds : int
        Duration of the run without start and stop, at least 20.
    logs : str
        Directory for settings and logs; by default a temporary one.
    """
    if deployment not in DEPLOYMENTS or seconds < 20:
        known = ", ".join(DEPLOYMENTS)
        sys.exit(f"--deployment must be one of {known}, and --seconds at least 20")
    with tempfile.TemporaryDirectory(prefix="bramleystair-") as temporary:
        directory = Path(logs or temporary)
        directory.mkdir(parents=True, exist_ok=True)
        demo = Demo(DEPLOYMENTS[deployment], seconds, directory)
        try:
            report = demo.run()
        finally:
            killed = demo.fleet.stop()
    violations = list_violations(report)
    if killed:
        violations.append(
            f"processes killed because they did not stop: {', '.join(killed)}"
        )
    print_table(attrs.asdict(report), violations)
    print(json.dumps(attrs.asdict(report)))
    sys.exit(1 if violations else 0)


if __name__ == "__main__":
    defopt.run(run_demo)
