"""The platform's packet layout."""

import struct

from bramleystair.steering import Segment

# sum, seq, ack, src, dport, sport, dst, len, echo, flags, pad
_HEAD = struct.Struct("!III4s2s2s4sHIBB")
_FLAGS_OFFSET = 30
SYN, ACK, FIN, RST, BOUNCED = 32, 8, 64, 4, 1
MAX_DATA_BYTES = 1200
# A caller counts the copies of its first packet in `ack`, and sends them so long after
# the first one.
_COPY_AGES_S = (0.0, 0.2, 0.6)


class Codec:
    """Read and build packets; the keyed sum is neither checked nor computed."""

    def decode_inbound(self, data: bytes) -> Segment | None:
        """Return a caller's packet, or None when it is malformed."""
        fields = _read(data)
        if fields is None:
            return None
        _, sequence, ack, src, dport, sport, dst, length, _, flags, _ = fields
        segment = _build(src + dst + sport + dport, data, sequence, ack, length, flags)
        if segment.is_syn:
            segment.age_s = _COPY_AGES_S[min(ack, len(_COPY_AGES_S) - 1)]
        return segment

    def decode_outbound(self, data: bytes) -> Segment | None:
        """Return a server's packet, or a caller's that the server returned."""
        fields = _read(data)
        if fields is None:
            return None
        _, sequence, ack, src, dport, sport, dst, length, _, flags, _ = fields
        if flags & BOUNCED:
            # The mark is taken off, so that the packet is as its sender wrote it.
            clean = data[:_FLAGS_OFFSET] + bytes((flags & ~BOUNCED, 0))
            clean += data[_FLAGS_OFFSET + 2 :]
            flow = src + dst + sport + dport
            segment = _build(flow, clean, sequence, ack, length, flags)
            segment.is_returned = True
            return segment
        return _build(dst + src + dport + sport, data, sequence, ack, length, flags)

    def build_reset(self, flow: bytes, sequence: int) -> bytes:
        """Return a reset from the service to the caller of `flow`."""
        caller, service = flow[:4], flow[4:8]
        caller_port, service_port = flow[8:10], flow[10:12]
        return _HEAD.pack(
            0, sequence, 0, service, caller_port, service_port, caller, 0, 0, RST, 0
        )


def _read(data: bytes) -> tuple | None:
    if not _HEAD.size <= len(data) <= _HEAD.size + MAX_DATA_BYTES:
        return None
    fields = _HEAD.unpack_from(data)
    return fields if fields[7] == len(data) - _HEAD.size else None


def _build(
    flow: bytes, data: bytes, sequence: int, ack: int, length: int, flags: int
) -> Segment:
    # A server's reply to a first packet carries SYN and ACK; it is marked as first,
    # too, because it carries the server's first number.
    return Segment(
        flow,
        data,
        bool(flags & SYN),
        False,
        bool(flags & RST),
        bool(flags & FIN),
        length > 0,
        sequence,
        ack,
    )
