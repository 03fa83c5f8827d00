"""UDP sockets and the sender of packets to the fabric."""

import ipaddress
import random
import socket

from bramleystair.fabric._geneve import encapsulate


def parse_endpoint(endpoint: str) -> tuple[str, int]:
    """Return the host and port of an endpoint such as ``"127.0.0.1:7946"``."""
    host, _, port = endpoint.rpartition(":")
    return host, int(port)


def format_endpoint(address: tuple) -> str:
    """Return a socket address in the form ``"127.0.0.1:7946"``."""
    return f"{address[0]}:{address[1]}"


def open_udp_socket(host: str, port: int, buffer_bytes: int = 0) -> socket.socket:
    """Return a UDP socket bound to `host` and `port`.

    Parameters
    ----------
    host : str
        Numeric IP address.
    port : int
        UDP port; 0 selects a free port.
    buffer_bytes : int
        Requested size of the receive and send buffers; 0 keeps the system's default.
    """
    is_ipv6 = ipaddress.ip_address(host).version == 6
    family = socket.AF_INET6 if is_ipv6 else socket.AF_INET
    udp = socket.socket(family, socket.SOCK_DGRAM)
    if buffer_bytes:
        udp.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
        udp.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, buffer_bytes)
    udp.bind((host, port))
    return udp


class FabricSender:
    """Send inner packets to the fabric.

    Parameters
    ----------
    host : str
        IP address to send from.
    endpoints : tuple of str
        Endpoints of the fabric; each packet is sent to a random one.
    network_id : int
        Virtual network identifier of the packets.
    source : random.Random
        Random number generator of the choice.
    """

    def __init__(
        self,
        host: str,
        endpoints: tuple[str, ...],
        network_id: int,
        source: random.Random,
    ) -> None:
        self._endpoints = [parse_endpoint(endpoint) for endpoint in endpoints]
        self._network_id = network_id
        self._random = source
        self._socket = open_udp_socket(host, 0)

    def send(self, packet: bytes) -> bool:
        """Send `packet`; return whether it was sent."""
        if not self._endpoints or packet[:1] == b"":
            return False
        data = encapsulate(packet, self._network_id)
        try:
            self._socket.sendto(data, self._random.choice(self._endpoints))
        except OSError:
            return False
        return True

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()
