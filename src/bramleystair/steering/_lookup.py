"""State of one lookup of a flow's owner, and the pauses between lookups."""

import attrs

from bramleystair.steering._messages import Ownership
from bramleystair.steering._segments import Segment
from bramleystair.steering._types import Address


@attrs.define(eq=False)
class Lookup:
    """A flow whose owner is being looked up.

    Parameters
    ----------
    packets : list of bytes
        Buffered packets, relayed to the owner once it is found.
    token : int
        Identifier of the lookup, repeated in the replies.
    outstanding : set of address
        Members that were sent a query or probe and have not replied yet.
    remaining_stages : tuple of set of address
        Groups of members that have not been queried yet. The next group is queried once
        no reply is outstanding, and all groups at the first timeout.
    queried_or_excluded : set of address
        Members that were queried, and any member that was known from the start not to
        be the owner and is never queried.
    unsure_members : set of address
        Members whose agent cannot tell whether its server holds the flow; a packet of
        the flow is sent to the server to find out.
    probed_members : set of address
        Unsure members that were sent this packet in a lookup probe.
    is_member_silent : bool
        Whether a member that may be restarting has not replied; it may be the owner.
    unresponsive_count : int
        Number of members that had not replied after the last retry and do not count as
        lost.
    retries : int
        Number of times that the outstanding queries or probes were repeated.
    likely_owner : address or None
        Member that probably owns the flow.
    due_s : float
        Time of the next retry. While the lookup waits for the confirmation of the
        members, time at which it stops waiting.
    are_members_confirmed : bool
        Whether the list of members was confirmed since all queried members had denied
        the flow.
    answers : dict of address to Ownership
        Last answer of each member.
    """

    segment: Segment
    token: int
    started_s: float
    packets: list[bytes]
    outstanding: set[Address]
    remaining_stages: tuple[set[Address], ...] = ()
    queried_or_excluded: set[Address] = attrs.field(factory=set)
    unsure_members: set[Address] = attrs.field(factory=set)
    probed_members: set[Address] = attrs.field(factory=set)
    is_member_silent: bool = False
    unresponsive_count: int = 0
    retries: int = 0
    likely_owner: Address | None = None
    due_s: float = 0.0
    are_members_confirmed: bool = False
    answers: dict[Address, Ownership] = attrs.field(factory=dict)

    def record_answer(self, sender: Address, ownership: Ownership) -> None:
        """Record the answer of a member to a query or probe.

        A reply to an earlier query may arrive after that to a probe, of which the
        server has returned the packet.
        """
        if self.answers.get(sender) is not Ownership.RETURNED:
            self.answers[sender] = ownership
        match ownership:
            case Ownership.LIKELY:
                self.likely_owner = sender
            case Ownership.UNSURE:
                self.unsure_members.add(sender)

    def count_evidence(self) -> dict[str, int]:
        """Return how many members deny the flow on which evidence."""
        counts: dict[str, int] = {}
        for ownership in self.answers.values():
            if ownership.is_evidence:
                name = ownership.name.lower()
                counts[name] = counts.get(name, 0) + 1
        return counts


@attrs.frozen
class _Pause:
    """Time until which a flow is not looked up again, and its duration."""

    until_s: float
    duration_s: float


class LookupPauses:
    """Times in which flows are not looked up again.

    Parameters
    ----------
    max_s : float
        Maximum duration.
    """

    def __init__(self, max_s: float) -> None:
        self._max_s = max_s
        self._pauses: dict[bytes, _Pause] = {}

    def is_paused(self, flow: bytes, now: float) -> bool:
        """Return whether a flow is not looked up at present."""
        pause = self._pauses.get(flow)
        return pause is not None and pause.until_s > now

    def start(
        self, flow: bytes, now: float, duration_s: float, is_growing: bool
    ) -> None:
        """Start a pause, which takes at least twice as long as before if it grows."""
        previous = self._pauses.get(flow)
        if is_growing and previous is not None:
            duration_s = max(duration_s, 2 * previous.duration_s)
            duration_s = min(duration_s, self._max_s)
        self._pauses[flow] = _Pause(now + duration_s, duration_s)

    def end(self, flow: bytes) -> None:
        """End the pause of a flow, so that its next one is short again."""
        self._pauses.pop(flow, None)

    def purge(self, now: float) -> None:
        """Remove the pauses that have ended.

        A pause is kept for the maximum duration, so that the next one is longer.
        """
        self._pauses = {
            flow: pause
            for flow, pause in self._pauses.items()
            if pause.until_s + self._max_s > now
        }
