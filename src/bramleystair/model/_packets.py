"""Packet encoding of the model: the fields of a TCP segment in a fixed layout."""

import struct

from bramleystair.steering import Segment

# Flow, flags, sequence and acknowledgement numbers, payload size.
_HEADER = struct.Struct("!12sBIIH")
SYN, ACK, FIN, RST, RETURNED, REJECTED = 1, 2, 4, 8, 16, 32


def encode_packet(
    flow: bytes, flags: int, sequence: int, acknowledgement: int, size: int = 0
) -> bytes:
    """Return a packet that states `size` bytes of payload; it carries at most one."""
    header = _HEADER.pack(flow, flags, sequence, acknowledgement, size)
    return header + bytes(min(size, 1))


def decode_packet(data: bytes) -> Segment:
    """Return the decoded segment; its data does not have the `RETURNED` flag."""
    flow, flags, sequence, acknowledgement, size = _HEADER.unpack_from(data)
    is_returned = bool(flags & RETURNED)
    if is_returned:
        data = encode_packet(flow, flags & ~RETURNED, sequence, acknowledgement, size)
    return Segment(
        flow,
        data,
        bool(flags & SYN),
        is_returned,
        bool(flags & RST),
        bool(flags & FIN),
        size > 0,
        sequence,
        acknowledgement,
    )


def is_rejection(data: bytes) -> bool:
    """Return whether a response says that the server did not run the request."""
    _, flags, *_ = _HEADER.unpack_from(data)
    return bool(flags & REJECTED)


def mark_returned(data: bytes) -> bytes:
    """Return the packet with the flag of one that the server returned to its agent."""
    flow, flags, sequence, acknowledgement, size = _HEADER.unpack_from(data)
    return encode_packet(flow, flags | RETURNED, sequence, acknowledgement, size)
