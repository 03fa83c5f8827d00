"""The fields of a packet on which steering decisions depend."""

import attrs

SEQUENCE_MODULUS = 2**32
# Numbers of one flow that are this far apart differ by more than the packets in flight:
# 16 of 1,200 bytes, and as many again for packets that are late.
MAX_FLOW_DISTANCE = 4 * 16 * 1200
# Caller address, service address, caller port, service port.
FLOW_BYTES = 12


# Not frozen: a frozen class takes twice as long to create, once per packet.
@attrs.define
class Segment:
    """One packet of a flow.

    Parameters
    ----------
    flow : bytes
        Addresses of caller and service, then their ports; the same in both directions.
    data : bytes
        The whole packet, forwarded unchanged.
    is_syn : bool
        Whether it is the first packet of a handshake in its direction: the caller's SYN
        or the server's reply to it.
    is_returned : bool
        Whether the backend server returned this packet of a caller because it does not
        hold the flow or cannot accept it.
    has_payload : bool
        Whether it carries payload.
    sequence, acknowledgement : int
        Sequence number of the sender and acknowledged sequence number of the receiver.
    age_s : float
        Minimum time since the caller first sent this packet; greater than 0 only for a
        retransmitted first packet.
    """

    flow: bytes
    data: bytes
    is_syn: bool
    is_returned: bool
    is_reset: bool
    is_fin: bool
    has_payload: bool
    sequence: int
    acknowledgement: int
    age_s: float = 0.0


def get_service_endpoint(flow: bytes) -> bytes:
    """Return address and port of the service."""
    return flow[4:8] + flow[10:12]


def compute_sequence_distance(start: int, end: int) -> int:
    """Return how far the sequence number `end` is after `start`."""
    return (end - start) % SEQUENCE_MODULUS


def are_of_one_flow(first: int, second: int) -> bool:
    """Return whether two sequence numbers of one end are near enough for one flow.

    A later flow between the same addresses and ports starts at an unrelated number.
    """
    distance = compute_sequence_distance(first, second)
    return min(distance, SEQUENCE_MODULUS - distance) <= MAX_FLOW_DISTANCE
