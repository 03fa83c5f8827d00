"""Flow entries of an owner and waiting flows of a home."""

import attrs


@attrs.define(eq=False)
class FlowEntry:
    """State of a flow that the agent owns.

    Parameters
    ----------
    home : tuple of (str, int) or None
        Server and incarnation at which the owner is registered.
    last_seen_s : float
        Time of the last packet in either direction.
    unanswered : int
        Outbound packets since the last inbound one.
    """

    service_id: int
    home: tuple[str, int] | None
    last_seen_s: float
    is_established: bool = False
    has_caller_fin: bool = False
    has_server_fin: bool = False
    unanswered: int = 0


@attrs.define(eq=False)
class WaitingFlow:
    """Packets of a flow whose owner is being looked up or chosen.

    Parameters
    ----------
    members : set of str
        Members whose answer is outstanding during a query.
    targets : list of str
        Members to try next during a placement; the first one has been asked.
    """

    service_id: int
    is_first: bool
    deadline_s: float
    retry_s: float
    packets: list[bytes] = attrs.field(factory=list)
    members: set[str] = attrs.field(factory=set)
    targets: list[str] = attrs.field(factory=list)

    @property
    def is_placing(self) -> bool:
        """Whether the flow is being placed; otherwise it is being looked up."""
        return bool(self.targets)
