"""Run a whole deployment as processes through planned changes and a failure.

``scripts/demo`` calls it. Figures are measured; the exit status tells whether a promise
of the design page broke.
"""

import json
import sys
import tempfile
import time
from pathlib import Path

import attrs
import defopt

from bramleystair.standins import _deployments as place
from bramleystair.standins._demo_report import (
    Events,
    Report,
    build_report,
    find_broken_promises,
    print_table,
)
from bramleystair.standins._demo_watch import Watch
from bramleystair.standins._deployments import DEPLOYMENTS, Deployment, Server, Service
from bramleystair.standins._fleet import Fleet, call, try_call, wait_until
from bramleystair.standins._operator import Operator

START_LIMIT_S = 30.0
CHANGE_LIMIT_S = 20.0
FLOWS_PER_SERVICE = 300
FLOW_BATCHES = 20
FLOW_PERIOD_S = 0.5
WRITERS = 6
DOWNLOADERS = 4
REQUEST_PAUSE_S = 0.15
DEFAULT_SECONDS = 42
SHARES = {"settle": 0.25, "balancer": 0.12, "drain": 0.13, "cold": 0.2, "zone": 0.2}
FABRIC = f"http://{place.FABRIC_HOST}:{place.CONTROL_PORT}"
CALLER = f"http://{place.CALLER_HOST}:{place.CONTROL_PORT}"
PLATFORM = f"http://{place.PLATFORM_HOST}:{place.PLATFORM_PORT}"


class Demo:
    """Steps of the demonstration.

    Parameters
    ----------
    deployment : Deployment
        What is run.
    seconds : int
        Length of the main job.
    directory : Path
        Where settings and logs are written.
    """

    def __init__(self, deployment: Deployment, seconds: int, directory: Path) -> None:
        self.deployment = deployment
        self.servers = deployment.list_servers()
        # The last server of the first service starts cold during the job.
        first = [s for s in self.servers if s.service == deployment.services[0]]
        self.cold_server = first[-1]
        self.drained_server = first[1]
        self.zone = first[2].zone
        self.fleet = Fleet(directory)
        self._directory = directory
        self.operator = Operator(PLATFORM)
        self.events = Events(self.zone, self.drained_server.name, self.cold_server.name)
        self.watch = Watch(self.servers, self.cold_server)
        self._seconds = seconds
        self._start_s = time.monotonic()
        self._balancers: list[int] = []
        self._flows_opened = 0

    def run(self) -> Report:
        """Run all steps and return the report."""
        self._start_processes()
        self._start_work()
        self._replace_balancer()
        self._drain_server()
        self._start_cold_server()
        self._change_table()
        self._take_zone_out_and_in()
        return self._finish()

    def say(self, text: str) -> None:
        """Print a progress line."""
        elapsed_s = time.monotonic() - self._start_s
        print(f"[{elapsed_s:5.1f} s] {text}", flush=True)

    # Start

    def _start_processes(self) -> None:
        self.say(f"starting {self.deployment.name}")
        self.fleet.start(
            "platform",
            "standin",
            "platform",
            *("--host", place.PLATFORM_HOST, "--port", str(place.PLATFORM_PORT)),
        )
        self.fleet.start(
            "fabric",
            "standin",
            "fabric",
            *("--host", place.FABRIC_HOST),
            *("--caller-port", str(place.FABRIC_CALLER_PORT)),
            *("--agent-port", str(place.FABRIC_AGENT_PORT)),
            *("--control-port", str(place.CONTROL_PORT)),
        )
        self.fleet.start(
            "caller",
            "standin",
            "caller",
            *("--host", place.CALLER_HOST),
            *("--fabric", f"{place.FABRIC_HOST}:{place.FABRIC_CALLER_PORT}"),
            *("--control-port", str(place.CONTROL_PORT)),
        )
        for server in self.servers:
            if server != self.cold_server:
                self._start_server(server)
        for number in range(1, place.BALANCERS):
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
            *("--host", server.backend_host, "--port", str(place.BACKEND_PORT)),
            *("--slots", str(server.service.slots)),
            *("--service-time-s", str(server.service_time_s)),
        )
        settings = self.deployment.build_agent(server, PLATFORM)
        self.fleet.start_daemon(f"agent-{server.name}", "agent", settings)

    def _start_balancer(self, number: int) -> None:
        settings = self.deployment.build_balancer(number, PLATFORM)
        self.fleet.start_daemon(f"balancer-{number}", "balancer", settings)
        self._balancers.append(number)

    def _wait_for_endpoints(self) -> None:
        def is_up() -> bool:
            urls = (f"{FABRIC}/counts", f"{CALLER}/requests")
            return all(try_call("GET", url) is not None for url in urls)

        wait_until(is_up, START_LIMIT_S, "start of the stand-ins")
        wait_until(self.operator.is_up, START_LIMIT_S, "start of the platform")

    def _wait_for_views(self) -> None:
        wait_until(
            lambda: all(self._is_ready(number) for number in self._balancers),
            START_LIMIT_S,
            "knowledge of tables and agents at every balancer",
        )
        self._set_fabric()
        took_s = time.monotonic() - self._start_s
        self.say(f"{len(self.servers) - 1} backend servers ready after {took_s:.1f} s")

    def _is_ready(self, number: int) -> bool:
        health = self.get_health(number)
        return (
            bool(health)
            and health["ready"]
            and len(health["versions"]) == len(self.deployment.services)
            and health["agents"] >= len(self.servers) - 1
        )

    def get_health(self, number: int) -> dict:
        """Return what balancer `number` says of itself; empty if it is gone."""
        host = place.BALANCER_HOST.format(number)
        return try_call("GET", f"http://{host}:{place.METRICS_PORT}/healthz") or {}

    def _set_fabric(self) -> None:
        hosts = [place.BALANCER_HOST.format(number) for number in self._balancers]
        links = [
            {
                "endpoint": f"{host}:{place.GENEVE_PORT}",
                "health": f"http://{host}:{place.METRICS_PORT}/healthz",
            }
            for host in hosts
        ]
        call("PUT", f"{FABRIC}/state", {"balancers": links})
        endpoints = [f"{host}:{place.HTTP_PORT}" for host in hosts]
        call("PUT", f"{CALLER}/balancers", endpoints)

    # Work

    def _start_work(self) -> None:
        self.watch.start()
        for service in self.deployment.services:
            self._start_requests(service, WRITERS, False)
            self._start_requests(service, DOWNLOADERS, True)
        self._fill(FLOWS_PER_SERVICE * 2 // 3, 0.35)
        # A slower arrival than the spread of load reports, as in a steady state.
        self._fill(FLOWS_PER_SERVICE // 3, 0.5)
        self._rest("settle", 0.15)
        self.events.steady_flows = call("GET", f"{CALLER}/flows")["flows"]
        self.say(f"{self._flows_opened} flows open, requests running")

    def _fill(self, count: int, part: float) -> None:
        """Open `count` flows per service, spread over a part of the first step."""
        for _ in range(FLOW_BATCHES):
            for service in self.deployment.services:
                self._open_flows(service, count // FLOW_BATCHES)
            self._rest("settle", part / FLOW_BATCHES)

    def _start_requests(
        self, service: Service, threads: int, is_idempotent: bool
    ) -> None:
        order = {
            "service": service.name,
            "threads": threads,
            "pause_s": REQUEST_PAUSE_S,
            "is_idempotent": is_idempotent,
        }
        call("POST", f"{CALLER}/requests", order)

    def _open_flows(self, service: Service, count: int) -> None:
        order = {
            "service": service.name,
            "address": service.address,
            "port": service.port,
            "count": count,
            "period_s": FLOW_PERIOD_S,
        }
        call("POST", f"{CALLER}/flows", order)
        self._flows_opened += count

    def _rest(self, step: str, part: float = 1.0) -> None:
        time.sleep(SHARES[step] * self._seconds * part)

    # Changes

    def _replace_balancer(self) -> None:
        self.say("killing balancer-1")
        self.fleet.kill("balancer-1")
        self._balancers.remove(1)
        self._rest("balancer", 0.5)
        self._start_balancer(place.BALANCERS)
        wait_until(
            lambda: self._is_ready(place.BALANCERS), START_LIMIT_S, "a balancer's join"
        )
        self._set_fabric()
        self.say(f"balancer-{place.BALANCERS} joined")
        self._rest("balancer", 0.5)

    def _drain_server(self) -> None:
        name = self.drained_server.name
        self.events.drained_s = time.monotonic()
        self.fleet.terminate(f"agent-{name}")
        self.say(f"draining {name}")
        self._rest("drain", 0.5)
        self._open_flows(self.drained_server.service, FLOWS_PER_SERVICE // 10)
        self._rest("drain", 0.5)

    def _start_cold_server(self) -> None:
        self.say(f"starting {self.cold_server.name} cold")
        self.watch.cold_started_s = time.monotonic()
        self._start_server(self.cold_server)
        for _ in range(FLOW_BATCHES):
            self._open_flows(
                self.cold_server.service, FLOWS_PER_SERVICE // 2 // FLOW_BATCHES
            )
            self._rest("cold", 1 / FLOW_BATCHES)

    def _change_table(self) -> None:
        service = self.deployment.services[1]
        names = [s.name for s in self.servers if s.service == service]
        table = self.deployment.build_table(service, {names[0]: 2.0})
        version = self.operator.put_table(table)
        members = [s for s in self.servers if s.service == service]
        self.events.in_force_s.append(
            wait_until(
                lambda: self._is_table_in_force(service, members, version),
                CHANGE_LIMIT_S,
                "a table change at every node",
            )
        )
        self.say(f"table change in force after {self.events.in_force_s[-1]:.1f} s")

    def _is_table_in_force(
        self, service: Service, members: list[Server], version: int
    ) -> bool:
        return all(
            health.get("versions", {}).get(service.name, 0) >= version
            for health in self._list_health(members)
        )

    def _list_health(self, servers: list[Server]) -> list[dict]:
        balancers = [self.get_health(number) for number in self._balancers]
        agents = [self.watch.get_health(server) for server in servers]
        return [*balancers, *agents]

    def _take_zone_out_and_in(self) -> None:
        self.say(f"taking {self.zone} out of service")
        self.watch.read_before_mark()
        version = self.operator.put_zone(self.zone, False)
        self.events.zone_out_s = time.monotonic()
        self._wait_for_zone(version)
        self.say(f"mark in force after {self.events.in_force_s[-1]:.1f} s")
        self._rest("zone", 0.8)
        self.events.zone_quiet_s = self.watch.measure_quiet(
            self.zone, self.events.zone_out_s, self._list_zone_balancers()
        )
        self.events.zone_given_up = self.watch.count_given_up(self.zone)
        version = self.operator.put_zone(self.zone, True)
        self.events.zone_in_s = time.monotonic()
        self._wait_for_zone(version)
        self.say(f"{self.zone} is back in service")
        self._rest("zone", 0.2)

    def _wait_for_zone(self, version: int) -> None:
        running = [s for s in self.servers if s != self.drained_server]
        self.events.in_force_s.append(
            wait_until(
                lambda: all(
                    health.get("zones", {}).get(self.zone, 0) >= version
                    for health in self._list_health(running)
                ),
                CHANGE_LIMIT_S,
                "a zone mark at every node",
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
        self.say("finishing requests in hand")
        call("DELETE", f"{CALLER}/requests")
        self.watch.stop()
        self.events.ended = self.fleet.find_ended()
        flows = call("GET", f"{CALLER}/flows")
        records = call("GET", f"{CALLER}/requests")
        runs = self.watch.read_runs()
        evidence = {
            "events": attrs.asdict(self.events),
            "flows": flows,
            "requests": records,
            "runs": runs,
        }
        path = self._directory / "evidence.json"
        path.write_text(json.dumps(evidence), encoding="utf-8")
        return build_report(
            self.events, self.watch, flows, records, runs, self.deployment
        )


def run_demo(
    *, deployment: str = "tres-lunas", seconds: int = DEFAULT_SECONDS, logs: str = ""
) -> None:
    """Run a deployment through planned changes and a failure of a balancer.

    Parameters
    ----------
    deployment : str
        tres-lunas or mia-duong.
    seconds : int
        Length of the main job, without start and stop; at least 20.
    logs : str
        Directory for settings and logs; a temporary one by default.
    """
    if deployment not in DEPLOYMENTS or seconds < 20:
        known = ", ".join(DEPLOYMENTS)
        sys.exit(f"--deployment is one of {known}, and --seconds at least 20")
    with tempfile.TemporaryDirectory(prefix="bramleystair-") as temporary:
        directory = Path(logs or temporary)
        directory.mkdir(parents=True, exist_ok=True)
        demo = Demo(DEPLOYMENTS[deployment], seconds, directory)
        try:
            report = demo.run()
        finally:
            killed = demo.fleet.stop()
    broken = find_broken_promises(report)
    if killed:
        broken.append(f"processes that did not stop: {', '.join(killed)}")
    print_table(attrs.asdict(report), broken)
    print(json.dumps(attrs.asdict(report)))
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    defopt.run(run_demo)
