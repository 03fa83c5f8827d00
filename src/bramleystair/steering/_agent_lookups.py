"""Answers of an agent to lookups, and the probes that wait for its server."""

from collections import deque

import attrs

from bramleystair.steering._agent_flows import AgentFlow, acknowledges_other_server
from bramleystair.steering._messages import LookupReply, LookupRequest, Ownership
from bramleystair.steering._outbox import Outbox
from bramleystair.steering._segments import Segment, are_of_one_flow
from bramleystair.steering._types import Address
from bramleystair.steering._untracked_flows import UntrackedFlows


@attrs.define(eq=False)
class _PendingProbe:
    """A probe that waits for the server to return its packet.

    A returned packet answers it with `Ownership.RETURNED`.
    """

    balancer: Address
    token: int
    acknowledgement: int
    due_s: float


class AgentLookups:
    """Answer lookups and probes of balancers.

    Parameters
    ----------
    untracked : UntrackedFlows
        What is known about flows that the agent does not track.
    outbox : Outbox
        Receives the answers.
    """

    def __init__(self, untracked: UntrackedFlows, outbox: Outbox) -> None:
        self._untracked = untracked
        self._outbox = outbox
        self._probes: dict[bytes, list[_PendingProbe]] = {}
        self._deadlines: deque[tuple[float, bytes]] = deque()

    @property
    def due_s(self) -> float:
        """Time at which `answer_due` has to be called next."""
        return self._deadlines[0][0] if self._deadlines else float("inf")

    def answer(
        self,
        sender: Address,
        message: LookupRequest,
        flow: AgentFlow | None,
        now: float,
    ) -> None:
        """Answer a lookup; `flow` is the tracked flow, if any."""
        ownership = self._determine_ownership(message, flow, now)
        self.reply(sender, message.token, ownership)

    def reply(self, balancer: Address, token: int, ownership: Ownership) -> None:
        """Answer a lookup or probe."""
        self._outbox.send(balancer, LookupReply(token, ownership))

    def add_probe(
        self, sender: Address, token: int, segment: Segment, due_s: float
    ) -> None:
        """Wait until `due_s` for the server to return the packet of a probe."""
        self._probes.setdefault(segment.flow, []).append(
            _PendingProbe(sender, token, segment.acknowledgement, due_s)
        )
        self._deadlines.append((due_s, segment.flow))

    def answer_probes(self, flow: bytes, ownership: Ownership) -> None:
        """Answer all probes of a flow."""
        for probe in self._probes.pop(flow, ()):
            self.reply(probe.balancer, probe.token, ownership)

    def answer_returned(self, segment: Segment) -> bool:
        """Answer the probes of a returned packet's flow; return whether there were any.

        A packet with other numbers is of another flow, and says less.
        """
        probes = self._probes.pop(segment.flow, ())
        for probe in probes:
            is_same = not segment.is_syn and are_of_one_flow(
                probe.acknowledgement, segment.acknowledgement
            )
            self.reply(
                probe.balancer,
                probe.token,
                Ownership.RETURNED if is_same else Ownership.NONE,
            )
        return bool(probes)

    def answer_due(self, now: float, is_server_silent: bool) -> None:
        """Answer the probes whose packets were not returned in time.

        The server probably holds the flow, unless it is silent; then the balancer is
        not answered.
        """
        while self._deadlines and self._deadlines[0][0] <= now:
            _, flow = self._deadlines.popleft()
            probes = self._probes.pop(flow, [])
            remaining = [probe for probe in probes if probe.due_s > now]
            if remaining:
                self._probes[flow] = remaining
            if is_server_silent:
                continue
            for probe in probes:
                if probe.due_s <= now:
                    self.reply(probe.balancer, probe.token, Ownership.LIKELY)

    def _determine_ownership(
        self, message: LookupRequest, flow: AgentFlow | None, now: float
    ) -> Ownership:
        if flow is None:
            return self._untracked.answer_lookup(
                message.flow, message.acknowledgement, now
            )
        if acknowledges_other_server(flow, message.acknowledgement):
            return get_handshake_denial(flow)
        if not flow.may_acknowledge(message.acknowledgement):
            # The numbers of a whole packet tell a late one from that of another flow.
            self._outbox.count("flow_mismatch", "lookup")
            return Ownership.UNSURE
        if not flow.is_certain and flow.server_sequence is None:
            return Ownership.UNSURE
        # The server still answers what the caller sends on a flow that has ended.
        return Ownership.LIKELY if flow.has_ended else Ownership.CERTAIN


def get_handshake_denial(flow: AgentFlow) -> Ownership:
    """Return the denial of a half-open flow whose caller acknowledged another server.

    It is evidence if the flow was opened here, so that the caller's acknowledgement
    would have passed.
    """
    return Ownership.OTHER_SERVER if flow.is_opened_here else Ownership.NONE
