"""Packets as callers and backend servers build them."""

from bramleystair.platform._packets import _FLAGS_OFFSET, _HEADER, BOUNCED


def build_packet(
    source: bytes,
    destination: bytes,
    flags: int,
    sequence: int,
    acknowledgement: int,
    payload: bytes = b"",
) -> bytes:
    """Return a packet; source and destination are packed addresses and ports."""
    return (
        _HEADER.pack(
            1,
            sequence,
            acknowledgement,
            source[:4],
            destination[4:],
            source[4:],
            destination[:4],
            len(payload),
            0,
            flags,
            0,
        )
        + payload
    )


def get_payload(data: bytes) -> bytes:
    """Return the bytes after the header."""
    return data[_HEADER.size :]


def mark_bounced(data: bytes) -> bytes:
    """Return a packet as a server returns it, with the mark for unknown flows."""
    flags = data[_FLAGS_OFFSET] | BOUNCED
    return data[:_FLAGS_OFFSET] + bytes((flags, 0)) + data[_FLAGS_OFFSET + 2 :]
