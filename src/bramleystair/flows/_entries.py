"""Flow entries of an owner and pending flows of a home."""

import attrs

from bramleystair.flows._services import Home


@attrs.define(eq=False)
class FlowEntry:
    """State of a flow that the agent owns.

    Parameters
    ----------
    home : tuple of (str, int) or None
        Server and incarnation at which the owner is registered; None as well for a
        flow that is not established and whose home has changed.
    last_seen_s : float
        Time of the last packet in either direction.
    is_established : bool
        Whether the caller sent more than the opening segment or, for datagrams, the
        backend server answered.
    unanswered, unanswered_s : int, float
        Outbound packets since the last inbound one or repair, and time of the first.
    repairs : int
        Repairs of the registration since the last inbound packet.
    caller_next, caller_ack, server_next : int
        TCP numbers: the next one of the caller, its last acknowledgement and the next
        one of the backend server.
    ended_s : float or None
        Time at which the flow ended; the entry is kept for late segments.
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
        Whether the flow is placed when no member knows it.
    started_s, deadline_s, retry_s : float
        Start and end of the present step, and time of the next repetition.
    asked, members : set of str
        Members that were queried, and those whose answer is outstanding.
    claims : list of str
        Members that hold or place the flow, of which none is established yet.
    hints : list of str
        Owners that other members named; each is queried once more.
    former_owner : str
        Owner in the redirect held here, when it is reported down.
    is_view_old : bool
        Whether a member reported down has answered since the last change of the view,
        which may then leave out other members as well.
    targets : list of str
        Members to try during a placement; the first one has been asked.
    """

    service_id: int
    is_opening: bool
    started_s: float
    deadline_s: float = 0.0
    retry_s: float = 0.0
    packets: list[bytes] = attrs.field(factory=list)
    asked: set[str] = attrs.field(factory=set)
    members: set[str] = attrs.field(factory=set)
    claims: list[str] = attrs.field(factory=list)
    hints: list[str] = attrs.field(factory=list)
    former_owner: str = ""
    is_view_old: bool = False
    targets: list[str] = attrs.field(factory=list)

    @property
    def is_placing(self) -> bool:
        """Whether the flow is being placed; otherwise it is being looked up."""
        return bool(self.targets)
