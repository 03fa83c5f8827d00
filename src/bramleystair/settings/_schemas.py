"""Declared options of the daemons."""

import attrs

from bramleystair.caller._settings import CallerSettings
from bramleystair.flows import FlowSettings
from bramleystair.replicas import Peer, ReplicaSettings
from bramleystair.requests import DispatcherSettings, LedgerSettings
from bramleystair.settings._loader import option

MAX_PORT = 65_535
MAX_NETWORK_ID = 2**24 - 1


@attrs.frozen
class FabricSettings:
    """Options of the connection with the network fabric.

    Parameters
    ----------
    port : int
        UDP port on which a balancer receives Geneve packets.
    reply_endpoints : tuple of str
        Addresses to which an agent sends replies as Geneve packets.
    network_id : int
        Virtual network identifier of every Geneve packet; others are refused.
    receive_buffer_bytes : int
        Size of the socket's receive buffer.
    """

    port: int = option(6081, minimum=0, maximum=MAX_PORT)
    reply_endpoints: tuple[str, ...] = option((), is_endpoint=True)
    network_id: int = option(0, minimum=0, maximum=MAX_NETWORK_ID)
    receive_buffer_bytes: int = option(4_194_304, minimum=65_536)


@attrs.frozen
class BackendSettings:
    """Options of the connection with the backend server.

    Parameters
    ----------
    host : str
        IP address of the backend server.
    flow_port : int
        UDP port for the packets of flows; 0 keeps the port of the service.
    http_port : int
        TCP port of its HTTP endpoint for requests.
    delivery : str
        How packets reach it: a UDP socket per flow, or a TUN device.
    tun_device : str
        Name of the TUN device, which the operator has created.
    keep_destination : bool
        Whether packets on the TUN device keep the service's address as destination
        instead of `host`.
    """

    host: str = option("127.0.0.1", is_ip_address=True)
    flow_port: int = option(0, minimum=0, maximum=MAX_PORT)
    http_port: int = option(8000, minimum=1, maximum=MAX_PORT)
    delivery: str = option("udp", choices=("udp", "tun"))
    tun_device: str = option("bramley0")
    keep_destination: bool = option(False)


@attrs.frozen
class SeedSettings:
    """A balancer that is known before any announcement.

    Parameters
    ----------
    name : str
        Name of the balancer.
    host : str
        Its IP address.
    port : int
        Its UDP port for messages.
    """

    name: str = option()
    host: str = option(is_ip_address=True)
    port: int = option(minimum=1, maximum=MAX_PORT)


@attrs.frozen
class ReplicationSettings:
    """Options of the spread of versions, of membership and of leases.

    Parameters
    ----------
    fanout : int
        Peers to which a new version is announced.
    heartbeat_period_s : float
        Interval between heartbeats.
    digest_period_s : float
        Interval between digests.
    down_after_s : float
        Silence after which a member is reported down.
    lease_renew_s : float
        Interval between lease renewals; a lease lasts three times as long.
    watchers_per_zone : int
        Balancers that watch the platform in each availability zone.
    datagram_bytes : int
        Size to which messages are filled; a larger object travels alone.
    """

    fanout: int = option(4, minimum=1)
    heartbeat_period_s: float = option(1.0, minimum=0.1)
    digest_period_s: float = option(1.0, minimum=0.1)
    down_after_s: float = option(3.0, minimum=0.5)
    lease_renew_s: float = option(120.0, minimum=1)
    watchers_per_zone: int = option(2, minimum=1)
    datagram_bytes: int = option(1_200, minimum=512, maximum=60_000)

    @property
    def lease_s(self) -> float:
        """Return the time in seconds for which a lease lasts."""
        return 3 * self.lease_renew_s

    def build_replica_settings(
        self, host: str, port: int, seeds: tuple[SeedSettings, ...], http_port: int = 0
    ) -> ReplicaSettings:
        """Return the settings of a replica at an address."""
        return ReplicaSettings(
            host=host,
            port=port,
            http_port=http_port,
            seeds=build_peers(seeds),
            **attrs.asdict(self),
        )


def build_peers(seeds: tuple[SeedSettings, ...]) -> tuple[Peer, ...]:
    """Return the seeds as the replicas name them."""
    return tuple(Peer(seed.name, seed.host, seed.port) for seed in seeds)


@attrs.frozen
class BalancerSettings:
    """Options of `bramleystair-balancer`.

    Parameters
    ----------
    node : str
        Name of this balancer, unique in the system.
    zone : str
        Availability zone in which it runs.
    region : str
        Region of the availability zone.
    host : str
        IP address on which every port is opened.
    message_port : int
        UDP port for messages from agents and other balancers.
    http_port : int
        TCP port for requests of callers.
    metrics_port : int
        TCP port of `/metrics`, `/healthz` and `/status`.
    platform : str
        URL of the platform; empty to learn from peers only.
    seeds : tuple of SeedSettings
        Balancers from which a new node learns when the platform is down.
    withdraw_s : float
        Time for which packets are still forwarded after SIGTERM, so that the fabric
        notices the failing health check first.
    fabric : FabricSettings
        Connection with the network fabric.
    versions : ReplicationSettings
        Spread of versions, membership and leases.
    caller : CallerSettings
        Connection with callers over HTTP.
    requests : DispatcherSettings
        Times and budgets of requests.
    """

    node: str = option()
    zone: str = option()
    region: str = option()
    host: str = option("127.0.0.1", is_ip_address=True)
    message_port: int = option(7946, minimum=1, maximum=MAX_PORT)
    http_port: int = option(8080, minimum=1, maximum=MAX_PORT)
    metrics_port: int = option(9100, minimum=0, maximum=MAX_PORT)
    platform: str = option("")
    seeds: tuple[SeedSettings, ...] = option(())
    withdraw_s: float = option(3.0, minimum=0)
    fabric: FabricSettings = option(FabricSettings)
    versions: ReplicationSettings = option(ReplicationSettings)
    caller: CallerSettings = option(CallerSettings)
    requests: DispatcherSettings = option(DispatcherSettings)


@attrs.frozen
class AgentSettings:
    """Options of `bramleystair-agent`.

    Parameters
    ----------
    server : str
        Name of the backend server, as in the tables.
    zone : str
        Availability zone in which it runs.
    region : str
        Region of the availability zone.
    services : tuple of str
        Services that the backend server can serve.
    host : str
        IP address on which every port is opened, and which is announced.
    message_port : int
        UDP port for messages, and TCP port for requests.
    metrics_port : int
        TCP port of `/metrics`, `/healthz` and `/status`.
    platform : str
        URL of the platform; empty to learn from peers only.
    seeds : tuple of SeedSettings
        Balancers to which an agent turns first; without any, it asks the platform for
        them at its start.
    drain_limit_s : float
        Longest wait for flows and requests to end after SIGTERM.
    fabric : FabricSettings
        Connection with the network fabric.
    backend : BackendSettings
        Connection with the backend server.
    flows : FlowSettings
        Limits and intervals of the flow decisions.
    requests : LedgerSettings
        Lifetimes and limits of tickets and responses.
    versions : ReplicationSettings
        Spread of versions, membership and leases.
    """

    server: str = option()
    zone: str = option()
    region: str = option()
    services: tuple[str, ...] = option(())
    host: str = option("127.0.0.1", is_ip_address=True)
    message_port: int = option(7947, minimum=1, maximum=MAX_PORT)
    metrics_port: int = option(9100, minimum=0, maximum=MAX_PORT)
    platform: str = option("")
    seeds: tuple[SeedSettings, ...] = option(())
    drain_limit_s: float = option(3600.0, minimum=0)
    fabric: FabricSettings = option(FabricSettings)
    backend: BackendSettings = option(BackendSettings)
    flows: FlowSettings = option(FlowSettings)
    requests: LedgerSettings = option(LedgerSettings)
    versions: ReplicationSettings = option(ReplicationSettings)
