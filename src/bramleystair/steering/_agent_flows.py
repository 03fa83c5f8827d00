"""Flows tracked by an agent."""

import attrs

from bramleystair.steering._segments import (
    SEQUENCE_MODULUS,
    Segment,
    are_of_one_flow,
    compute_sequence_distance,
)
from bramleystair.steering._types import Address

# The acknowledgement in a handshake may or may not count the SYN.
MAX_HANDSHAKE_DISTANCE = 1


@attrs.define(eq=False)
class AgentFlow:
    """State of a flow that the server holds or that was delivered to it.

    Parameters
    ----------
    last_balancer : tuple of str and int
        Balancer that forwarded the last packet of the caller.
    token : int or None
        Token of the open request, with which the flow is refused if the server returns
        its first packet.
    first_sequence : int or None
        Sequence number of the caller's first packet, if it was seen.
    server_sequence : int or None
        Sequence number of the server's reply to it, if it was seen.
    is_certain : bool
        Whether it is certain that the server holds the flow: it has sent a packet of it
        other than the reply to the first one. Cleared when the server is replaced.
    request_started_s : float or None
        Start of the request in progress, if any.
    request_delivered_s : float
        Time at which it was delivered to the server, if it is not held.
    queued : int
        Requests in progress at the server at its delivery, including it.
    highest_sequence : int or None
        Highest sequence number of a packet with payload, by which retransmissions are
        recognised.
    acknowledgement : int
        Sequence number that the caller acknowledged last; it accepts a reset near it.
    last_server_packet_s : float or None
        Time of the server's last packet.
    caller_position, server_position : int or None
        Highest sequence number seen of each end. They tell the flow from earlier and
        later ones of the same addresses and ports.
    has_caller_ended, has_server_ended : bool
        Whether the end has sent a FIN; a reset of either end sets both.
    is_probe_only : bool
        Whether nothing but probes was delivered, so that the server may know no more
        than an earlier flow of the same port that has ended.
    is_former : bool
        Whether the server held it before another one reported in its place.
    is_opened_here : bool
        Whether the first packet went through this process.
    waited_s : float
        Time that the caller waited before the flow was admitted.
    """

    last_balancer: Address | None
    last_seen_s: float
    token: int | None = None
    first_sequence: int | None = None
    opened_s: float = 0.0
    server_sequence: int | None = None
    is_established: bool = False
    is_certain: bool = False
    request_started_s: float | None = None
    request_delivered_s: float = 0.0
    queued: int = 0
    highest_sequence: int | None = None
    acknowledgement: int = 0
    last_server_packet_s: float | None = None
    caller_position: int | None = None
    server_position: int | None = None
    has_caller_ended: bool = False
    has_server_ended: bool = False
    is_probe_only: bool = False
    is_former: bool = False
    is_opened_here: bool = False
    waited_s: float = 0.0

    @property
    def has_ended(self) -> bool:
        """Whether the flow was closed or reset."""
        return self.has_caller_ended and self.has_server_ended

    @property
    def is_closing(self) -> bool:
        """Whether an end has closed or reset the flow."""
        return self.has_caller_ended or self.has_server_ended

    def record_caller_packet(self, segment: Segment) -> None:
        """Record how far the caller has come."""
        if segment.is_reset:
            self.has_caller_ended = self.has_server_ended = True
            return
        self.has_caller_ended |= segment.is_fin
        self.caller_position = _advance(self.caller_position, segment.sequence)

    def record_server_packet(self, segment: Segment) -> None:
        """Record how far the server has come."""
        if segment.is_reset:
            self.has_caller_ended = self.has_server_ended = True
            return
        self.has_server_ended |= segment.is_fin
        self.server_position = _advance(self.server_position, segment.sequence)

    def includes(self, acknowledgement: int, sequence: int) -> bool:
        """Return whether a caller's packet with these numbers can be of this flow.

        One of them may be far off: a packet may have been delayed while the other end
        sent much. Both ends of another flow start at unrelated numbers.
        """
        return _is_near(self.server_position, acknowledgement) or _is_near(
            self.caller_position, sequence
        )

    def may_acknowledge(self, acknowledgement: int) -> bool:
        """Return whether the caller of this flow acknowledges such a number at present.

        If not, its packet is late, or of another flow.
        """
        return _is_near(self.server_position, acknowledgement)

    def includes_of_server(self, segment: Segment) -> bool:
        """Return whether a packet of the server can be of this flow."""
        return segment.is_reset or _is_near(self.server_position, segment.sequence)


def _is_near(position: int | None, number: int) -> bool:
    return position is None or are_of_one_flow(position, number)


def _advance(position: int | None, sequence: int) -> int:
    if position is None:
        return sequence
    distance = compute_sequence_distance(position, sequence)
    return sequence if distance < SEQUENCE_MODULUS // 2 else position


def starts_request(flow: AgentFlow, segment: Segment) -> bool:
    """Return whether a packet starts a request.

    A retransmission of an answered request does not.
    """
    return flow.request_started_s is None and carries_new_data(flow, segment)


def carries_new_data(flow: AgentFlow, segment: Segment) -> bool:
    """Return whether a packet carries payload that was not seen before."""
    if not segment.has_payload:
        return False
    if flow.highest_sequence is None:
        return True
    distance = compute_sequence_distance(flow.highest_sequence, segment.sequence)
    return 0 < distance < SEQUENCE_MODULUS // 2


def acknowledges_other_server(flow: AgentFlow, acknowledgement: int) -> bool:
    """Return whether the caller of a half-open flow acknowledged another server."""
    if flow.is_established or flow.server_sequence is None:
        return False
    distance = compute_sequence_distance(flow.server_sequence, acknowledgement)
    return distance > MAX_HANDSHAKE_DISTANCE
