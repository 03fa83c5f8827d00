"""Protocol of the network fabric: inner IP packets in Geneve over UDP."""

from bramleystair.fabric._datagrams import (
    build_datagram,
    build_flow_key,
    compute_checksum,
    read_flow_key,
    read_payload,
)
from bramleystair.fabric._geneve import build_header, decapsulate, encapsulate
from bramleystair.fabric._sockets import (
    FabricSender,
    format_endpoint,
    open_udp_socket,
    parse_endpoint,
)

__all__ = [
    "FabricSender",
    "build_datagram",
    "build_flow_key",
    "build_header",
    "compute_checksum",
    "decapsulate",
    "encapsulate",
    "format_endpoint",
    "open_udp_socket",
    "parse_endpoint",
    "read_flow_key",
    "read_payload",
]
