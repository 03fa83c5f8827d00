"""Packets of the platform: head, flags and keyed sum."""

import socket
import struct
import zlib

HEAD = struct.Struct("!III4s2s2s4sHIBB")
SYN, ACK, FIN, RST, BOUNCED = 32, 8, 64, 4, 1
MAX_DATA_BYTES = 1200
MODULUS = 2**32
_KEY = b"key of the stand-ins"


def pack_host(host: str) -> bytes:
    """Return the four bytes of an IPv4 address."""
    return socket.inet_aton(host)


def build(
    src: bytes,
    sport: int,
    dst: bytes,
    dport: int,
    flags: int,
    seq: int,
    ack: int,
    data: bytes = b"",
) -> bytes:
    """Return a packet with its keyed sum; `echo` and `pad` are 0."""
    fields = (
        seq % MODULUS,
        ack % MODULUS,
        src,
        dport.to_bytes(2, "big"),
        sport.to_bytes(2, "big"),
        dst,
        len(data),
        0,
        flags,
        0,
    )
    total = compute_sum(HEAD.pack(0, *fields) + data)
    return HEAD.pack(total, *fields) + data


def compute_sum(packet: bytes) -> int:
    """Return the keyed sum over all fields except `echo`, `pad` and BOUNCED."""
    flags = packet[30] & ~BOUNCED
    return zlib.crc32(_KEY + packet[4:26] + bytes((flags,)) + packet[32:])


class Packet:
    """Fields of a received packet."""

    def __init__(self, raw: bytes) -> None:
        (
            self.sum,
            self.seq,
            self.ack,
            self.src,
            dport,
            sport,
            self.dst,
            length,
            self.echo,
            self.flags,
            self.pad,
        ) = HEAD.unpack_from(raw)
        self.raw = raw
        self.sport = int.from_bytes(sport, "big")
        self.dport = int.from_bytes(dport, "big")
        self.data = raw[HEAD.size :]
        self.is_whole = length == len(self.data)

    @property
    def is_genuine(self) -> bool:
        """Whether the sum is that of an end of the flow."""
        return self.is_whole and self.sum == compute_sum(self.raw)


def mark_bounced(raw: bytes) -> bytes:
    """Return a packet as a server returns it."""
    return raw[:30] + bytes((raw[30] | BOUNCED, 0)) + raw[32:]
