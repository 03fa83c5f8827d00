"""Schemas of the daemons' settings."""

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
    """Options of the connection to the network fabric.

    Parameters
    ----------
    port : int
        UDP port on which a balancer receives Geneve packets.
    reply_endpoints : tuple of str
        Addresses to which an agent sends replies as Geneve packets.
    network_id : int
        Virtual network identifier of all Geneve packets; packets with another one are
        refused.
    receive_buffer_bytes : int
        Size of the socket's receive buffer.
    """

    port: int = option(6081, minimum=0, maximum=MAX_PORT)
    reply_endpoints: tuple[str, ...] = option((), is_endpoint=True)
    network_id: int = option(0, minimum=0, maximum=MAX_NETWORK_ID)
    receive_buffer_bytes: int = option(4_194_304, minimum=65_536)


@attrs.frozen
class BackendSettings:
    """Options of the connection to the backend server.

    Parameters
    ----------
    host : str
        IP address of the backend server.
    flow_port : int
        UDP port for the packets of flows; 0 selects the port of the service.
    http_port : int
        TCP port of the HTTP endpoint for requests.
    delivery : str
        Delivery of packets: through one UDP socket per flow, or a TUN device.
    tun_device : str
        Name of the TUN device, which the operator must create.
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
    """A balancer that is known from the settings, without an announcement.

    Parameters
    ----------
    name : str
        Name of the balancer.
    host : str
        IP address of the balancer.
    port : int
        UDP port of the balancer for messages.
    """

    name: str = option()
    host: str = option(is_ip_address=True)
    port: int = option(minimum=1, maximum=MAX_PORT)


@attrs.frozen
class ReplicationSettings:
    """Options of replication, membership and leases.

    Parameters
    ----------
    fanout : int
        Number of peers to which a new version is announced.
    heartbeat_period_s : float
        Interval between heartbeats.
    digest_period_s : float
        Interval between digests.
    down_after_s : float
        Duration of silence after which a member is reported as down.
    lease_renew_s : float
        Interval between lease renewals; a lease lasts for three intervals.
    watchers_per_zone : int
        Number of balancers in each availability zone that watch the platform.
    datagram_bytes : int
        Size up to which objects are combined in one message; a larger object is sent
        alone.
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
        """Return the duration of a lease in seconds."""
        return 3 * self.lease_renew_s

    def build_replica_settings(
        self, host: str, port: int, seeds: tuple[SeedSettings, ...], http_port: int = 0
    ) -> ReplicaSettings:
        """Return the settings of a replica with this address."""
        return ReplicaSettings(
            host=host,
            port=port,
            http_port=http_port,
            seeds=build_peers(seeds),
            **attrs.asdict(self),
        )


def build_peers(seeds: tuple[SeedSettings, ...]) -> tuple[Peer, ...]:
    """Return the seeds as peers of a replica."""
    return tuple(Peer(seed.name, seed.host, seed.port) for seed in seeds)


@attrs.frozen
class BalancerSettings:
    """Options of `bramleystair-balancer`.

    Parameters
    ----------
    node : str
        Unique name of the balancer.
    zone : str
        Availability zone in which it runs.
    region : str
        Region of the availability zone.
    host : str
        IP address on which all ports listen.
    message_port : int
        UDP port for messages from agents and other balancers.
    http_port : int
        TCP port for requests from callers.
    metrics_port : int
        TCP port of `/metrics`, `/healthz` and `/status`.
    platform : str
        URL of the platform; if empty, objects are received from peers only.
    seeds : tuple of SeedSettings
        Balancers from which a new node receives objects while the platform is
        unavailable.
    withdraw_s : float
        Time after SIGTERM for which packets are still forwarded, so that the fabric can
        detect the failing health check first.
    fabric : FabricSettings
        Connection to the network fabric.
    versions : ReplicationSettings
        Replication, membership and leases.
    caller : CallerSettings
        HTTP server for callers.
    requests : DispatcherSettings
        Time-outs and budgets of requests.
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
        IP address on which all ports listen, and which is announced.
    message_port : int
        UDP port for messages, and TCP port for requests.
    metrics_port : int
        TCP port of `/metrics`, `/healthz` and `/status`.
    platform : str
        URL of the platform; if empty, objects are received from peers only.
    seeds : tuple of SeedSettings
        Balancers that the agent contacts first; if empty, it obtains them from the
        platform at its start.
    drain_limit_s : float
        Time limit for flows and requests to end after SIGTERM.
    fabric : FabricSettings
        Connection to the network fabric.
    backend : BackendSettings
        Connection to the backend server.
    flows : FlowSettings
        Limits and intervals of flow handling.
    requests : LedgerSettings
        Lifetimes and limits of tickets and responses.
    versions : ReplicationSettings
        Replication, membership and leases.
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
