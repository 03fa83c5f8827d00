"""Parser of the IPv4, IPv6, TCP and UDP headers of inner packets."""

import ipaddress
import struct

import attrs
from result import Err, Ok, Result

from bramleystair.errors import StepError

TCP = 6
UDP = 17
FIN, SYN, RST, ACK = 0x01, 0x02, 0x04, 0x10
IPV4_MIN_BYTES = 20
IPV6_BYTES = 40
TCP_MIN_BYTES = 20
UDP_BYTES = 8
# The more-fragments flag and the fragment offset; a fragment may lack the ports.
IPV4_FRAGMENT_MASK = 0x3FFF
# Extension headers that are skipped: hop-by-hop options, routing, destination options.
# Fragment headers are refused.
IPV6_EXTENSIONS = frozenset((0, 43, 60))
IPV6_FRAGMENT = 44
# Hop-by-hop, routing and two destination options headers: the most extension headers of
# these kinds that RFC 8200 recommends.
MAX_IPV6_EXTENSIONS = 4

_TCP_FIELDS = struct.Struct("!IIBB").unpack_from
_PORT = struct.Struct("!H")


# Not frozen, because instances of a frozen class take twice as long to create, and one
# is created per packet.
@attrs.define
class PacketHeaders:
    """Header fields of a packet that routing and flow tracking use.

    Parameters
    ----------
    flow : bytes
        Flow key: protocol, addresses and ports, source before destination.
    protocol : int
        IP protocol number.
    is_initial_syn : bool
        Whether it is a TCP segment with SYN and without ACK, which opens a flow.
    has_payload : bool
        Whether the packet has a payload after the transport header.
    sequence, acknowledgement : int
        TCP sequence and acknowledgement numbers; 0 for UDP, and the latter also
        without the ACK flag.
    next_sequence : int
        Sequence number that follows this TCP segment.
    """

    flow: bytes
    protocol: int
    is_initial_syn: bool
    has_payload: bool
    is_reset: bool
    is_fin: bool
    has_acknowledgement: bool = False
    sequence: int = 0
    acknowledgement: int = 0
    next_sequence: int = 0


def read_headers(packet: bytes) -> Result[PacketHeaders, StepError]:
    """Return the header fields of a complete IPv4 or IPv6 packet.

    Returns
    -------
    Result of PacketHeaders or StepError
        The error covers truncated and malformed packets, fragments, and protocols
        other than TCP and UDP.
    """
    if not packet:
        return _refuse("empty packet")
    version = packet[0] >> 4
    if version == 4:
        return _read_ipv4(packet)
    if version == 6:
        return _read_ipv6(packet)
    return _refuse(f"IP version {version}, allowed are 4 and 6")


def reverse_flow(flow: bytes) -> bytes:
    """Return the flow key of the opposite direction."""
    size = (len(flow) - 5) // 2
    return (
        flow[:1]
        + flow[1 + size : 1 + 2 * size]
        + flow[1 : 1 + size]
        + flow[-2:]
        + flow[-4:-2]
    )


def is_before(first: int, second: int) -> bool:
    """Return whether the TCP sequence number `first` precedes `second`."""
    return 0 < (second - first) & 0xFFFFFFFF < 0x80000000


def get_endpoint(flow: bytes) -> bytes:
    """Return the destination of `flow`: protocol, address and port."""
    size = (len(flow) - 5) // 2
    return flow[:1] + flow[1 + size : 1 + 2 * size] + flow[-2:]


def pack_endpoint(protocol: int, address: str, port: int) -> bytes:
    """Return an endpoint in the format of `get_endpoint`."""
    packed = ipaddress.ip_address(address).packed
    return bytes((protocol,)) + packed + _PORT.pack(port)


def _read_ipv4(packet: bytes) -> Result[PacketHeaders, StepError]:
    if len(packet) < IPV4_MIN_BYTES:
        return _refuse("truncated IPv4 header")
    start = (packet[0] & 0x0F) * 4
    if start < IPV4_MIN_BYTES:
        return _refuse("IPv4 header length below 20 bytes")
    if (packet[6] << 8 | packet[7]) & IPV4_FRAGMENT_MASK:
        return _refuse("fragment")
    end = packet[2] << 8 | packet[3]
    return _read_transport(packet, packet[9], packet[12:20], start, end)


def _read_ipv6(packet: bytes) -> Result[PacketHeaders, StepError]:
    if len(packet) < IPV6_BYTES:
        return _refuse("truncated IPv6 header")
    end = IPV6_BYTES + (packet[4] << 8 | packet[5])
    protocol = packet[6]
    start = IPV6_BYTES
    for _ in range(MAX_IPV6_EXTENSIONS):
        if protocol not in IPV6_EXTENSIONS:
            break
        if start + 2 > len(packet):
            return _refuse("truncated IPv6 extension header")
        protocol = packet[start]
        start += (packet[start + 1] + 1) * 8
    if protocol == IPV6_FRAGMENT:
        return _refuse("fragment")
    return _read_transport(packet, protocol, packet[8:40], start, end)


def _read_transport(
    packet: bytes, protocol: int, addresses: bytes, start: int, end: int
) -> Result[PacketHeaders, StepError]:
    if end > len(packet):
        return _refuse("packet shorter than its IP length")
    if protocol == UDP:
        if start + UDP_BYTES > end:
            return _refuse("truncated UDP header")
        flow = b"\x11" + addresses + packet[start : start + 4]
        has_payload = end > start + UDP_BYTES
        return Ok(PacketHeaders(flow, UDP, False, has_payload, False, False))
    if protocol != TCP:
        return _refuse(f"protocol {protocol}, allowed are 6 and 17")
    if start + TCP_MIN_BYTES > end:
        return _refuse("truncated TCP header")
    sequence, acknowledgement, offset, flags = _TCP_FIELDS(packet, start + 4)
    payload = end - start - (offset >> 4) * 4
    if payload < 0 or offset >> 4 < TCP_MIN_BYTES // 4:
        return _refuse("TCP header length out of range")
    length = payload + bool(flags & SYN) + bool(flags & FIN)
    return Ok(
        PacketHeaders(
            b"\x06" + addresses + packet[start : start + 4],
            TCP,
            flags & (SYN | ACK) == SYN,
            payload > 0,
            bool(flags & RST),
            bool(flags & FIN),
            bool(flags & ACK),
            sequence,
            acknowledgement if flags & ACK else 0,
            (sequence + length) & 0xFFFFFFFF,
        )
    )


def _refuse(detail: str) -> Err[StepError]:
    return Err(StepError("read packet", "", detail))
