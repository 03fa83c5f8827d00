"""Who may say that a flow has no owner, so that its caller is reset.

A caller that was reset has lost its flow for good, and one that is not reset waits for
its deadline. A lookup that finds no owner resets the caller if one of these holds, and
only then:

1. A former owner has lost the flow: this balancer knows that a member held it, that
   member's server has returned a packet of it, all other members that are not lost deny
   it, and the list of members was confirmed.
2. Every possible owner has itself denied the flow, and all possible owners are known:

   - Each member has answered in this lookup that it denies the flow on evidence
     (`Ownership.is_evidence`; `steering._untracked_flows` and `steering._agent_lookups`
     say what an agent takes for evidence). A member that is lost, restarting or silent
     has not answered, and silence is never evidence.
   - The rosters in the store show that the list of members is complete
     (`Members.is_roster_complete`), although any entry may have been replaced or
     removed by another writer.
   - The store was not restored from an older copy just before.
   - The list was confirmed as current by a call that was made after the lookup started.
     A flow was opened before a packet of it arrives, and its member had an entry then.

An answer holds for the flow for good: a server that does not hold a flow can only get
it by an opening, and an opening ends the lookup. A later answer in the same lookup
replaces an earlier one, unless the server itself has returned the packet.

One message that is forged or missing:

- A reply that is lost, or that this version cannot read, leaves its member without an
  answer: no reset.
- A forged reply needs the token of the lookup and the address of a member, and counts
  for that member alone. If it is the owner's, its flow is reset.
- A forged report at an agent counts for its member, see `steering._untracked_flows`.
- An entry that is replaced, removed or added counts for nothing: a member that the
  rosters name is queried, and one that is added only has to answer as well.
- A confirmation that is lost leaves the lookup waiting, and then without a reset.
"""

import enum
from collections.abc import Mapping

import attrs

from bramleystair.steering._members import Members
from bramleystair.steering._messages import Ownership
from bramleystair.steering._segments import Segment, are_of_one_flow
from bramleystair.steering._types import Address


class Gap(enum.StrEnum):
    """What the evidence lacks after a lookup that has found no owner."""

    NO_MEMBERS = "no_members"
    MEMBER_SILENT = "member_silent"
    STORE_RESTORED = "store_restored"
    ROSTER_INCOMPLETE = "roster_incomplete"
    ESTIMATE_ONLY = "estimate_only"
    UNCONFIRMED = "unconfirmed"


def find_gap(
    answers: Mapping[Address, Ownership],
    members: Members,
    started_s: float,
    confirmed_s: float,
    now: float,
) -> Gap | None:
    """Return what is missing for a reset by rule 2, or None if it holds.

    The last two kinds are returned only if nothing else is missing.

    Parameters
    ----------
    answers : mapping of address to Ownership
        Last answer of each member in this lookup.
    started_s : float
        Start of the lookup.
    confirmed_s : float
        Time up to which the list of members contains all changes in the store.
    """
    addresses = [member.entry.address for member in members]
    if not addresses:
        return Gap.NO_MEMBERS
    if any(address not in answers for address in addresses):
        return Gap.MEMBER_SILENT
    if members.may_be_incomplete(now):
        return Gap.STORE_RESTORED
    if not members.is_roster_complete(now):
        return Gap.ROSTER_INCOMPLETE
    if list_estimates(answers, members):
        return Gap.ESTIMATE_ONLY
    if confirmed_s < started_s:
        return Gap.UNCONFIRMED
    return None


def list_estimates(
    answers: Mapping[Address, Ownership], members: Members
) -> set[Address]:
    """Return the members whose answer is no evidence."""
    addresses = {member.entry.address for member in members}
    return {
        address
        for address, ownership in answers.items()
        if address in addresses and not ownership.is_evidence
    }


@attrs.frozen
class FormerOwner:
    """Member whose server held a flow and has returned a packet of it since.

    Parameters
    ----------
    acknowledgement : int
        Acknowledgement number of that packet, which tells the flow from a later one of
        the same addresses and ports.
    """

    address: Address
    acknowledgement: int
    returned_s: float


class FormerOwners:
    """Members that this balancer knows to have lost a flow, for rule 1."""

    def __init__(self) -> None:
        self._owners: dict[bytes, FormerOwner] = {}

    def record(self, segment: Segment, address: Address, now: float) -> None:
        """Record that the server of a member returned a packet of a flow it held."""
        self._owners[segment.flow] = FormerOwner(address, segment.acknowledgement, now)

    def get(self, segment: Segment) -> FormerOwner | None:
        """Return the member that has lost the flow of a caller's packet, or None."""
        former = self._owners.get(segment.flow)
        if former is None or not are_of_one_flow(
            former.acknowledgement, segment.acknowledgement
        ):
            return None
        return former

    def forget(self, flow: bytes) -> None:
        """Forget the former owner of a flow."""
        self._owners.pop(flow, None)

    def purge(self, oldest_s: float) -> None:
        """Forget the flows that were lost before `oldest_s`."""
        self._owners = {
            flow: former
            for flow, former in self._owners.items()
            if former.returned_s >= oldest_s
        }
