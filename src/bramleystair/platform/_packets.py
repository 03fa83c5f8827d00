"""Codec of the platform's packet format."""

import struct

from bramleystair.steering import Segment

# Checksum, sequence number, acknowledgement number, source address, destination port,
# source port, destination address, payload length, echo, flags, padding.
_HEADER = struct.Struct("!III4s2s2s4sHIBB")
_FLAGS_OFFSET = 30
SYN, ACK, FIN, RST, BOUNCED = 32, 8, 64, 4, 1
MAX_PAYLOAD_BYTES = 1200
# Age of the first packet of a flow by its number of retransmissions, which the caller
# counts in the acknowledgement number.
_SYN_AGES_S = (0.0, 0.2, 0.6)


class Codec:
    """Decode and build packets; the keyed checksum is neither checked nor computed."""

    def decode_inbound(self, data: bytes) -> Segment | None:
        """Decode a packet of a caller; return None if it is malformed."""
        fields = _unpack(data)
        if fields is None:
            return None
        _, sequence, ack, src, dport, sport, dst, length, _, flags, _ = fields
        segment = _build_segment(
            src + dst + sport + dport, data, sequence, ack, length, flags
        )
        if segment.is_syn:
            segment.age_s = _SYN_AGES_S[min(ack, len(_SYN_AGES_S) - 1)]
        return segment

    def decode_outbound(self, data: bytes) -> Segment | None:
        """Decode a packet that a server sent or returned; None if malformed."""
        fields = _unpack(data)
        if fields is None:
            return None
        _, sequence, ack, src, dport, sport, dst, length, _, flags, _ = fields
        if flags & BOUNCED:
            # The mark is cleared, so that another server gets the packet as the caller
            # sent it.
            clean = data[:_FLAGS_OFFSET] + bytes((flags & ~BOUNCED, 0))
            clean += data[_FLAGS_OFFSET + 2 :]
            flow = src + dst + sport + dport
            segment = _build_segment(flow, clean, sequence, ack, length, flags)
            segment.is_returned = True
            return segment
        return _build_segment(
            dst + src + dport + sport, data, sequence, ack, length, flags
        )

    def build_reset(self, flow: bytes, sequence: int) -> bytes:
        """Return a reset packet from the service to the caller of `flow`."""
        caller, service = flow[:4], flow[4:8]
        caller_port, service_port = flow[8:10], flow[10:12]
        return _HEADER.pack(
            0, sequence, 0, service, caller_port, service_port, caller, 0, 0, RST, 0
        )


def _unpack(data: bytes) -> tuple | None:
    if not _HEADER.size <= len(data) <= _HEADER.size + MAX_PAYLOAD_BYTES:
        return None
    fields = _HEADER.unpack_from(data)
    return fields if fields[7] == len(data) - _HEADER.size else None


def _build_segment(
    flow: bytes, data: bytes, sequence: int, ack: int, length: int, flags: int
) -> Segment:
    # A server's reply with SYN and ACK also counts as SYN, because it carries the
    # initial sequence number of the server.
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
