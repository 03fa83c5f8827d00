"""Flow entries of an owner and pending flows of a home."""

import attrs

from bramleystair.flows._services import Home


@attrs.define(eq=False)
class FlowEntry:
    """State of a flow that the agent owns.

    Parameters
    ----------
    home : tuple of (str, int) or None
        Server and incarnation at which the owner is registered; None without a
        candidate, after an import, and after the home of a half-open flow has changed.
    last_seen_s : float
        Time of the last packet in either direction.
    is_established : bool
        Whether the caller sent more than the opening segment or, for datagrams, the
        backend server answered.
    unanswered, unanswered_s : int, float
        Number of outbound packets since the last inbound packet or repair, and the time
        of the first of them.
    repairs : int
        How often the registration was repeated since the last inbound packet.
    caller_next, caller_ack, server_next : int
        TCP state: next sequence number and last acknowledgement number of the caller,
        and next sequence number of the backend server.
    ended_s : float or None
        Time at which the flow ended; the entry stays for late segments.
    """

    service_id: int
    home: Home | None
    last_seen_s: float
    is_established: bool = False
    has_caller_fin: bool = False
    has_server_fin: bool = False
    unanswered: int = 0
    unanswered_s: float = 0.0
    repairs: int = 0
    caller_next: int = 0
    caller_ack: int = 0
    server_next: int = 0
    ended_s: float | None = None


@attrs.define(eq=False)
class PendingFlow:
    """Packets of a flow whose owner is being looked up or chosen.

    Parameters
    ----------
    is_opening : bool
        Whether the flow is placed as a new one when no member owns it.
    started_s, deadline_s, retry_s : float
        Start and deadline of the current lookup or placement, and time of the next
        retransmission.
    queried, unanswered : set of str
        Members that were queried, and those of them that have not replied.
    half_open_owners : list of str
        Members that replied that they hold the flow half-open or are placing it.
    named_owners : list of str
        Owners named in the replies of other members; each is queried again.
    former_owner : str
        Owner in this agent's redirect, which is reported down.
    is_view_outdated : bool
        Whether a member reported down has replied since the last change of the view.
        The view may then lack other members as well.
    targets : list of str
        Members to try during a placement; the first has been sent the request.
    """

    service_id: int
    is_opening: bool
    started_s: float
    deadline_s: float = 0.0
    retry_s: float = 0.0
    packets: list[bytes] = attrs.field(factory=list)
    queried: set[str] = attrs.field(factory=set)
    unanswered: set[str] = attrs.field(factory=set)
    half_open_owners: list[str] = attrs.field(factory=list)
    named_owners: list[str] = attrs.field(factory=list)
    former_owner: str = ""
    is_view_outdated: bool = False
    targets: list[str] = attrs.field(factory=list)

    @property
    def is_placing(self) -> bool:
        """Whether a member is being chosen; otherwise the owner is being looked up."""
        return bool(self.targets)
