"""What an agent knows of a flow of its backend server."""

import attrs

from bramleystair.steering._segments import (
    SEQUENCE_MODULUS,
    Segment,
    compute_distance,
)
from bramleystair.steering._types import Address

# The acknowledgement of a handshake may count the opening packet or not.
HANDSHAKE_DISTANCE = 1


@attrs.define(eq=False)
class AgentFlow:
    """A flow that the server holds or was offered.

    Parameters
    ----------
    balancer : tuple of str and int
        Balancer that sent its last packet.
    token : int or None
        Attempt that a returned first packet refuses.
    first_sequence : int or None
        Number of the caller's first packet, where it was seen.
    server_sequence : int or None
        Number of the server's reply to it, where it was seen.
    is_certain : bool
        Whether the server has shown that it holds the flow.
    request_s : float or None
        Start of the request in progress.
    newest_sequence : int or None
        Number of the newest packet of a request, by which copies are recognised.
    acknowledgement : int
        What the caller acknowledged last, near which it accepts a reset.
    server_s : float or None
        Time of the server's last packet.
    """

    balancer: Address | None
    seen_s: float
    token: int | None = None
    first_sequence: int | None = None
    first_s: float = 0.0
    server_sequence: int | None = None
    is_open: bool = False
    is_certain: bool = False
    request_s: float | None = None
    newest_sequence: int | None = None
    acknowledgement: int = 0
    server_s: float | None = None


def starts_request(flow: AgentFlow, segment: Segment) -> bool:
    """Return whether a packet begins a request; a copy of an answered one does not."""
    return flow.request_s is None and is_newest(flow, segment)


def is_newest(flow: AgentFlow, segment: Segment) -> bool:
    """Return whether a packet carries payload beyond all that came before."""
    if not segment.has_payload:
        return False
    if flow.newest_sequence is None:
        return True
    distance = compute_distance(flow.newest_sequence, segment.sequence)
    return 0 < distance < SEQUENCE_MODULUS // 2


def is_other_number(flow: AgentFlow, acknowledgement: int) -> bool:
    """Return whether a half-open flow's caller acknowledged another server's number."""
    if flow.is_open or flow.server_sequence is None:
        return False
    distance = compute_distance(flow.server_sequence, acknowledgement)
    return distance > HANDSHAKE_DISTANCE
