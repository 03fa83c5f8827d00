"""Deployments of the demonstration, and the settings of their processes."""

import os

import attrs

from bramleystair.tables import Member, Protocol, Table

# Concurrent demonstrations on one machine use different loopback addresses.
NETWORK = f"127.{20 + os.getpid() % 200}"
BALANCER_HOST = NETWORK + ".1.{}"
AGENT_HOST = NETWORK + ".2.{}"
BACKEND_HOST = NETWORK + ".3.{}"
PLATFORM_HOST = NETWORK + ".4.1"
FABRIC_HOST = NETWORK + ".5.1"
CALLER_HOST = NETWORK + ".6.1"
PLATFORM_PORT = 7900
FABRIC_CALLER_PORT = 6080
GENEVE_PORT = 6081
FABRIC_AGENT_PORT = 6082
CONTROL_PORT = 6090
MESSAGE_PORT = 7946
HTTP_PORT = 8080
METRICS_PORT = 9100
BACKEND_PORT = 9000
MAX_FLOWS = 2_000
# Three balancers run from the start; the fourth joins during the run.
BALANCERS = 4
# Backend servers differ in speed by up to a factor of four.
SERVICE_TIMES_S = (0.02, 0.04, 0.06, 0.08)
WARM_UP_S = 12.0
INITIAL_FRACTION = 0.1
REGION = "region-1"


@attrs.frozen
class Service:
    """A service of a deployment."""

    name: str
    address: str
    port: int
    servers: int
    slots: int


@attrs.frozen
class Server:
    """A backend server with its agent."""

    name: str
    service: Service
    zone: str
    number: int

    @property
    def agent_host(self) -> str:
        """IP address of the agent."""
        return AGENT_HOST.format(self.number)

    @property
    def backend_host(self) -> str:
        """IP address of the backend server."""
        return BACKEND_HOST.format(self.number)

    @property
    def service_time_s(self) -> float:
        """Processing time of a request."""
        return SERVICE_TIMES_S[self.number % len(SERVICE_TIMES_S)]


@attrs.frozen
class Deployment:
    """Availability zones and services of one deployment."""

    name: str
    zones: tuple[str, ...]
    services: tuple[Service, ...]

    def list_servers(self) -> list[Server]:
        """Return all backend servers, distributed over the availability zones."""
        servers = []
        for service in self.services:
            for index in range(service.servers):
                number = len(servers) + 1
                zone = self.zones[index % len(self.zones)]
                servers.append(
                    Server(f"{service.name}-{index + 1}", service, zone, number)
                )
        return servers

    def build_table(
        self, service: Service, weights: dict[str, float] | None = None
    ) -> Table:
        """Return the table of `service`; servers missing in `weights` have weight 1."""
        members = tuple(
            Member(
                server.name,
                server.zone,
                (weights or {}).get(server.name, 1.0),
                MAX_FLOWS,
                service.slots,
            )
            for server in self.list_servers()
            if server.service == service
        )
        return Table(service.name, service.address, service.port, Protocol.UDP, members)

    def build_balancer(self, number: int, platform: str) -> dict:
        """Return the settings of balancer `number`; numbers start at 1."""
        return {
            "node": f"balancer-{number}",
            "zone": self.zones[(number - 1) % len(self.zones)],
            "region": REGION,
            "host": BALANCER_HOST.format(number),
            "platform": platform,
            "seeds": build_seeds(),
        }

    def build_agent(self, server: Server, platform: str) -> dict:
        """Return the settings of the agent of `server`."""
        return {
            "server": server.name,
            "zone": server.zone,
            "region": REGION,
            "services": [server.service.name],
            "host": server.agent_host,
            "message_port": MESSAGE_PORT,
            "metrics_port": METRICS_PORT,
            "platform": platform,
            "seeds": build_seeds(),
            "fabric": {"reply_endpoints": [f"{FABRIC_HOST}:{FABRIC_AGENT_PORT}"]},
            "backend": {
                "host": server.backend_host,
                "flow_port": BACKEND_PORT,
                "http_port": BACKEND_PORT,
            },
            "flows": {"warm_up_s": WARM_UP_S, "initial_fraction": INITIAL_FRACTION},
        }


def build_seeds() -> list[dict]:
    """Return the `seeds` setting: the balancers that run from the start."""
    return [
        {
            "name": f"balancer-{number}",
            "host": BALANCER_HOST.format(number),
            "port": MESSAGE_PORT,
        }
        for number in range(1, BALANCERS)
    ]


DEPLOYMENTS = {
    "tres-lunas": Deployment(
        "tres-lunas",
        ("lunas-a", "lunas-b", "lunas-c", "lunas-d"),
        (
            Service("almanac-feed", "10.1.0.1", 4433, 7, 3),
            Service("sheet-download", "10.1.0.2", 4433, 4, 3),
        ),
    ),
    "mia-duong": Deployment(
        "mia-duong",
        ("duong-a", "duong-b", "duong-c"),
        (
            Service("rota-scheduling", "10.1.0.1", 4433, 7, 5),
            Service("sheet-rendering", "10.1.0.2", 4433, 3, 5),
        ),
    ),
}
