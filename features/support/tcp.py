"""Segments of a TCP connection, and checks of their checksums."""

import struct

from bramleystair.fabric import build_flow_key, compute_checksum
from bramleystair.packets import reverse_flow

SERVICE = "10.1.0.1"
CALLER = "10.9.0.1"
FIN, SYN, RST, PSH, ACK = 0x01, 0x02, 0x04, 0x08, 0x10
# Flags and payloads of the segments in one direction: SYN, ACK, data and FIN.
TRACE = [(SYN, b""), (ACK, b""), (PSH | ACK, b"GET sheet"), (FIN | ACK, b"")]


def build_segments(reverse=False, port=4000):
    """Return the segments that the caller sends, or in reverse, the service."""
    flow = build_flow_key(6, CALLER, port, SERVICE, 443)
    flow = reverse_flow(flow) if reverse else flow
    sequence = 1000 if reverse else 5
    segments = []
    for flags, payload in TRACE:
        body = struct.pack("!IIBBHHH", sequence, 77, 0x50, flags, 500, 0, 0)
        segments.append(build_segment(flow, body + payload))
        sequence += len(payload) + bool(flags & (SYN | FIN))
    return segments


def build_segment(flow, body):
    """Return a segment with valid checksums; `body` follows the ports."""
    ports, addresses = flow[-4:], flow[1:9]
    tcp = ports + body[:12] + bytes(2) + body[14:]
    pseudo = addresses + struct.pack("!HH", 6, len(tcp))
    checksum = compute_checksum(pseudo + tcp)
    tcp = tcp[:16] + struct.pack("!H", checksum) + tcp[18:]
    head = struct.pack("!BBHHHBBH", 0x45, 0, 20 + len(tcp), 0, 0x4000, 64, 6, 0)
    checksum = compute_checksum(head + addresses)
    return head[:10] + struct.pack("!H", checksum) + addresses + tcp


def has_valid_checksums(packet):
    """Return whether the IPv4 and TCP or UDP checksums of a packet are valid."""
    pseudo = packet[12:20] + struct.pack("!HH", packet[9], len(packet) - 20)
    # compute_checksum returns 0xFFFF for data that includes a valid checksum.
    sums = compute_checksum(packet[:20]), compute_checksum(pseudo + packet[20:])
    return sums == (0xFFFF, 0xFFFF)


def get_flags(packet):
    """Return the TCP flags of an IPv4 segment without options."""
    return packet[33]
