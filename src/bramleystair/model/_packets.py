"""Packets of the model: the fields of a segment in a fixed layout."""

import struct

from bramleystair.steering import Segment

_HEAD = struct.Struct("!12sBIIH")
FIRST, ACKNOWLEDGES, END, RESET, RETURNED = 1, 2, 4, 8, 16


def encode_packet(
    flow: bytes, flags: int, sequence: int, acknowledgement: int, size: int = 0
) -> bytes:
    """Return a packet with `size` bytes of payload."""
    head = _HEAD.pack(flow, flags, sequence, acknowledgement, size)
    return head + bytes(min(size, 1))


def decode_packet(data: bytes) -> Segment:
    """Return the segment; the mark of a returned packet is taken off its data."""
    flow, flags, sequence, acknowledgement, size = _HEAD.unpack_from(data)
    is_returned = bool(flags & RETURNED)
    if is_returned:
        data = encode_packet(flow, flags & ~RETURNED, sequence, acknowledgement, size)
    return Segment(
        flow,
        data,
        bool(flags & FIRST),
        is_returned,
        bool(flags & RESET),
        bool(flags & END),
        size > 0,
        sequence,
        acknowledgement,
    )


def mark_returned(data: bytes) -> bytes:
    """Return a packet as a server sends it back."""
    flow, flags, sequence, acknowledgement, size = _HEAD.unpack_from(data)
    return encode_packet(flow, flags | RETURNED, sequence, acknowledgement, size)
