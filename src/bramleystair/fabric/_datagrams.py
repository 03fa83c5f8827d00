"""Inner IP packets: flow keys, checksums and UDP datagrams."""

import ipaddress
import struct

from bramleystair.tables import Protocol

IPV4_HEADER_BYTES = 20
IPV6_HEADER_BYTES = 40
UDP_HEADER_BYTES = 8
IPV4_KEY_BYTES = 13
IPV6_KEY_BYTES = 37
TIME_TO_LIVE = 64
IPV4_FIRST_BYTE = 0x45
DO_NOT_FRAGMENT = 0x4000
MAX_CHECKSUM = 0xFFFF
_IPV4 = struct.Struct("!BBHHHBBH4s4s")
_IPV6 = struct.Struct("!IHBB16s16s")
_UDP = struct.Struct("!HHHH")
_PORTS = struct.Struct("!HH")


def compute_checksum(data: bytes) -> int:
    """Return the Internet checksum of `data` (RFC 1071).

    The result is never 0, which UDP reserves for datagrams without a checksum.
    """
    if len(data) % 2:
        data += b"\0"
    # A number in base 65,536 and the ones' complement sum of its digits are congruent.
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


def reverse_flow_key(flow: bytes) -> bytes:
    """Return the key of the opposite direction."""
    size = (len(flow) - 5) // 2
    source, destination = flow[1 : 1 + size], flow[1 + size : 1 + 2 * size]
    ports = flow[1 + 2 * size :]
    return flow[:1] + destination + source + ports[2:] + ports[:2]


def read_flow_key(packet: bytes) -> bytes | None:
    """Return the flow key of an unfragmented TCP or UDP packet, or None."""
    if not packet:
        return None
    if packet[0] >> 4 == 4:
        start = (packet[0] & 0x0F) * 4
        if start < IPV4_HEADER_BYTES or len(packet) < start + 4:
            return None
        if packet[6] & 0x3F or packet[7]:
            return None
        return packet[9:10] + packet[12:20] + packet[start : start + 4]
    if packet[0] >> 4 == 6 and len(packet) >= IPV6_HEADER_BYTES + 4:
        end = IPV6_HEADER_BYTES + 4
        return packet[6:7] + packet[8:40] + packet[IPV6_HEADER_BYTES:end]
    return None


def read_payload(packet: bytes) -> bytes | None:
    """Return the payload of an inner UDP packet, or None when it is malformed."""
    if read_flow_key(packet) is None:
        return None
    if packet[0] >> 4 == 4:
        protocol, start = packet[9], (packet[0] & 0x0F) * 4
    else:
        protocol, start = packet[6], IPV6_HEADER_BYTES
    if protocol != Protocol.UDP or len(packet) < start + UDP_HEADER_BYTES:
        return None
    length = int.from_bytes(packet[start + 4 : start + 6], "big")
    if not UDP_HEADER_BYTES <= length <= len(packet) - start:
        return None
    return packet[start + UDP_HEADER_BYTES : start + length]


def build_datagram(flow: bytes, payload: bytes) -> bytes:
    """Return the inner UDP packet with `payload` in the direction of `flow`."""
    size = (len(flow) - 5) // 2
    source, destination = flow[1 : 1 + size], flow[1 + size : 1 + 2 * size]
    ports = _PORTS.unpack(flow[1 + 2 * size :])
    length = UDP_HEADER_BYTES + len(payload)
    pseudo_header = source + destination + struct.pack("!HH", Protocol.UDP, length)
    bare = _UDP.pack(*ports, length, 0) + payload
    checksum = compute_checksum(pseudo_header + bare)
    udp = _UDP.pack(*ports, length, checksum) + payload
    if len(flow) == IPV6_KEY_BYTES:
        header = _IPV6.pack(
            6 << 28, length, Protocol.UDP, TIME_TO_LIVE, source, destination
        )
        return header + udp
    return _build_ipv4_header(source, destination, length) + udp


def _build_ipv4_header(source: bytes, destination: bytes, length: int) -> bytes:
    fields = [
        IPV4_FIRST_BYTE,
        0,
        IPV4_HEADER_BYTES + length,
        0,
        DO_NOT_FRAGMENT,
        TIME_TO_LIVE,
        Protocol.UDP,
        0,
        source,
        destination,
    ]
    fields[7] = compute_checksum(_IPV4.pack(*fields))
    return _IPV4.pack(*fields)
