"""Settings of a node, and the interface of its packet codec."""

from typing import Protocol

import attrs

from bramleystair.steering import Segment, SteeringOptions

Address = tuple[str, int]

# Kind of the store's objects with which agents register as members.
MEMBER_KIND = "members"
# Kind without objects. Agents read nothing from the store; a watch of this kind shows
# them that it was restored, and no change of an object completes it.
EPOCH_KIND = "epochs"


@attrs.frozen
class NodeSettings:
    """Settings of one node.

    Parameters
    ----------
    packet_address : tuple of str and int
        Where a balancer receives packets of callers, and an agent messages of
        balancers. Callers receive packets at the same port number.
    message_address : tuple of str and int
        Where a balancer receives messages of agents.
    ready_address : tuple of str and int
        Where readiness is served over HTTP.
    peers : tuple of (str, int)
        Message addresses of other balancers; some may be outdated or down.
    metrics_address : tuple of str and int or None
        Where metrics are served; None disables them.
    report_address : tuple of str and int or None
        Where an agent receives the reports of its backend server over HTTP.
    server_address : tuple of str and int or None
        Where the backend server receives packets.
    outbound_address : tuple of str and int or None
        Where the backend server sends its packets.
    store_address : tuple of str and int
        Address of the platform's metadata store.
    health_path : str
        Path of the backend server's health check.
    heartbeat_s : float
        Interval between the reports of a backend server.
    grace_s : float
        Time between SIGTERM and SIGKILL.
    link_bytes_per_s : float
        Capacity of the VM's network link.
    flow_lifetime_s : float
        Time after which the state of an idle flow may be dropped.
    memory_bytes : int
        Memory above which the platform ends the process.
    max_object_bytes : int
        Longest object of the platform's metadata store.
    zones : tuple of str
        All availability zones.
    options : SteeringOptions
        Options of the steering parts.
    """

    name: str
    zone: str
    packet_address: Address
    message_address: Address
    ready_address: Address
    store_address: Address
    peers: tuple[Address, ...] = ()
    metrics_address: Address | None = None
    report_address: Address | None = None
    server_address: Address | None = None
    outbound_address: Address | None = None
    service: str = ""
    health_path: str = "/health"
    heartbeat_s: float = 1.0
    grace_s: float = 6.0
    link_bytes_per_s: float = 12_500_000.0
    flow_lifetime_s: float = 60.0
    memory_bytes: int = 268_435_456
    max_object_bytes: int = 1_048_576
    zones: tuple[str, ...] = ()
    options: SteeringOptions = SteeringOptions()


class PacketCodec(Protocol):
    """Decodes and builds packets in the platform's format."""

    def decode_inbound(self, data: bytes) -> Segment | None:
        """Decode a packet of a caller; return None if it is malformed."""

    def decode_outbound(self, data: bytes) -> Segment | None:
        """Decode a packet that a server sent or returned; None if malformed."""

    def build_reset(self, flow: bytes, sequence: int) -> bytes:
        """Return a reset packet from the service to the caller of `flow`."""
