"""Packets: a header of 32 bytes and up to 1,200 bytes of data."""

import hashlib
import socket
import struct
from typing import NamedTuple

_HEADER = struct.Struct("!III4s2s2s4sHIBB")
HEADER_BYTES = _HEADER.size
BOUNCED, RST, ACK, SYN, FIN = 1, 4, 8, 32, 64
MODULUS = 2**32
_KEY = b"key of the clients and servers"
_FLAGS_OFFSET = 30


class Packet(NamedTuple):
    """Decoded packet; `src` and `dst` are pairs of address and port."""

    src: tuple[str, int]
    dst: tuple[str, int]
    flags: int
    seq: int
    ack: int
    data: bytes
    is_authentic: bool


def encode(src, dst, flags, seq, ack, data=b""):
    """Return the bytes of a packet with a valid sum."""
    fields = _pack_fields(src, dst, flags, seq % MODULUS, ack % MODULUS, data)
    return _pack(_compute_sum(fields, data), *fields) + data


def decode(datagram):
    """Return the packet in a datagram, or None if it is malformed."""
    if len(datagram) < HEADER_BYTES:
        return None
    total, seq, ack, src, dport, sport, dst, length, _, flags, _ = _HEADER.unpack_from(
        datagram
    )
    data = datagram[HEADER_BYTES:]
    if length != len(data):
        return None
    fields = (seq, ack, src, dport, sport, dst, length, flags & ~BOUNCED)
    return Packet(
        (socket.inet_ntoa(src), int.from_bytes(sport, "big")),
        (socket.inet_ntoa(dst), int.from_bytes(dport, "big")),
        flags,
        seq,
        ack,
        data,
        total == _compute_sum(fields, data),
    )


def mark_bounced(datagram):
    """Return a packet as a server returns it: BOUNCED is set, `pad` is 0."""
    flags = datagram[_FLAGS_OFFSET] | BOUNCED
    head, data = datagram[:_FLAGS_OFFSET], datagram[_FLAGS_OFFSET + 2 :]
    return head + bytes((flags, 0)) + data


def _pack_fields(src, dst, flags, seq, ack, data):
    return (
        seq,
        ack,
        socket.inet_aton(src[0]),
        dst[1].to_bytes(2, "big"),
        src[1].to_bytes(2, "big"),
        socket.inet_aton(dst[0]),
        len(data),
        flags,
    )


def _pack(total, seq, ack, src, dport, sport, dst, length, flags):
    return _HEADER.pack(total, seq, ack, src, dport, sport, dst, length, 0, flags, 0)


def _compute_sum(fields, data):
    content = _pack(0, *fields) + data
    digest = hashlib.blake2b(content, digest_size=4, key=_KEY).digest()
    return int.from_bytes(digest, "big") or 1
