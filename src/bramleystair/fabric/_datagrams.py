"""Flow keys, checksums and UDP datagrams of inner IP packets."""

import ipaddress
import struct

from bramleystair.packets import read_headers
from bramleystair.tables import Protocol

IPV4_HEADER_BYTES = 20
IPV6_HEADER_BYTES = 40
UDP_HEADER_BYTES = 8
IPV4_KEY_BYTES = 13
IPV6_KEY_BYTES = 37
DEFAULT_TTL = 64
IPV4_VERSION_IHL = 0x45
DO_NOT_FRAGMENT = 0x4000
MAX_CHECKSUM = 0xFFFF
_IPV4 = struct.Struct("!BBHHHBBH4s4s")
_IPV6 = struct.Struct("!IHBB16s16s")
_UDP = struct.Struct("!HHHH")
_PORTS = struct.Struct("!HH")


def compute_checksum(data: bytes) -> int:
    """Return the Internet checksum of `data` (RFC 1071).

    The result is never 0, which in UDP marks a datagram without a checksum.
    """
    if len(data) % 2:
        data += b"\0"
    # The ones' complement sum of 16-bit words is congruent to the whole number modulo
    # 65,535.
    return MAX_CHECKSUM - int.from_bytes(data, "big") % MAX_CHECKSUM


def build_flow_key(
    protocol: int, source: str, source_port: int, destination: str, port: int
) -> bytes:
    """Return the key of the flow from `source` to `destination`."""
    return b"".join(
        (
            bytes((protocol,)),
            ipaddress.ip_address(source).packed,
            ipaddress.ip_address(destination).packed,
            _PORTS.pack(source_port, port),
        )
    )


def read_flow_key(packet: bytes) -> bytes | None:
    """Return the flow key of a complete TCP or UDP packet, or None."""
    headers = read_headers(packet).ok()
    return None if headers is None else headers.flow


def read_payload(packet: bytes) -> bytes | None:
    """Return the payload of an inner UDP packet, or None if it is malformed."""
    headers = read_headers(packet).ok()
    if headers is None or headers.protocol != Protocol.UDP:
        return None
    is_ipv4 = packet[0] >> 4 == 4
    start = (packet[0] & 0x0F) * 4 if is_ipv4 else IPV6_HEADER_BYTES
    if not is_ipv4 and packet[6] != Protocol.UDP:
        return None
    length = int.from_bytes(packet[start + 4 : start + 6], "big")
    if not UDP_HEADER_BYTES <= length <= len(packet) - start:
        return None
    return packet[start + UDP_HEADER_BYTES : start + length]


def build_datagram(flow: bytes, payload: bytes) -> bytes:
    """Return an inner UDP packet of `flow` with `payload`."""
    size = (len(flow) - 5) // 2
    source, destination = flow[1 : 1 + size], flow[1 + size : 1 + 2 * size]
    ports = _PORTS.unpack(flow[1 + 2 * size :])
    length = UDP_HEADER_BYTES + len(payload)
    pseudo_header = source + destination + struct.pack("!HH", Protocol.UDP, length)
    unchecked = _UDP.pack(*ports, length, 0) + payload
    checksum = compute_checksum(pseudo_header + unchecked)
    udp = _UDP.pack(*ports, length, checksum) + payload
    if len(flow) == IPV6_KEY_BYTES:
        header = _IPV6.pack(
            6 << 28, length, Protocol.UDP, DEFAULT_TTL, source, destination
        )
        return header + udp
    return _build_ipv4_header(source, destination, length) + udp


def _build_ipv4_header(source: bytes, destination: bytes, length: int) -> bytes:
    fields = [
        IPV4_VERSION_IHL,
        0,
        IPV4_HEADER_BYTES + length,
        0,
        DO_NOT_FRAGMENT,
        DEFAULT_TTL,
        Protocol.UDP,
        0,
        source,
        destination,
    ]
    fields[7] = compute_checksum(_IPV4.pack(*fields))
    return _IPV4.pack(*fields)
