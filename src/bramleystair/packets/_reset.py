"""TCP resets and other segments that bramleystair itself sends."""

import struct

from bramleystair.packets._headers import (
    ACK,
    RST,
    TCP,
    TCP_MIN_BYTES,
    read_headers,
    reverse_flow,
)

HOP_LIMIT = 64
IPV4_BYTES = 20

_IPV4 = struct.Struct("!BBHHHBBH")
_IPV6 = struct.Struct("!IHBB")
_TCP = struct.Struct("!IIBBHHH")


def build_reset(packet: bytes) -> bytes:
    """Return the reset with which the receiver of the segment `packet` answers it.

    The sequence numbers follow RFC 9293, section 3.10.7.1. The result is empty for
    UDP datagrams, resets and malformed packets, which get no reset.
    """
    headers = read_headers(packet).ok()
    if headers is None or headers.protocol != TCP or headers.is_reset:
        return b""
    flow = reverse_flow(headers.flow)
    if headers.has_acknowledgement:
        return build_segment(flow, headers.acknowledgement, 0, RST)
    return build_segment(flow, 0, headers.next_sequence, RST | ACK)


def build_segment(
    flow: bytes, sequence: int, acknowledgement: int, flags: int
) -> bytes:
    """Return a TCP segment of `flow` without options or payload."""
    addresses, ports = flow[1:-4], flow[-4:]
    offset = TCP_MIN_BYTES // 4 << 4
    body = _TCP.pack(sequence, acknowledgement, offset, flags, 0, 0, 0)
    pseudo = addresses + struct.pack("!II", TCP_MIN_BYTES, TCP)
    checksum = _compute_checksum(pseudo + ports + body)
    body = _TCP.pack(sequence, acknowledgement, offset, flags, 0, checksum, 0)
    return _build_ip_header(addresses) + ports + body


def _build_ip_header(addresses: bytes) -> bytes:
    if len(addresses) == 32:
        return _IPV6.pack(0x60000000, TCP_MIN_BYTES, TCP, HOP_LIMIT) + addresses
    length = IPV4_BYTES + TCP_MIN_BYTES
    header = _IPV4.pack(0x45, 0, length, 0, 0, HOP_LIMIT, TCP, 0)
    checksum = _compute_checksum(header + addresses)
    return _IPV4.pack(0x45, 0, length, 0, 0, HOP_LIMIT, TCP, checksum) + addresses


def _compute_checksum(data: bytes) -> int:
    # The sum of the 16-bit words is congruent to the whole number modulo 0xFFFF.
    total = int.from_bytes(data, "big") % 0xFFFF
    return 0xFFFF - total
