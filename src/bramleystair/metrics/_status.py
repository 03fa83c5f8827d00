"""State of a node as it publishes it for operators."""

import attrs

REFUSAL_WORDS = ("refus", "drop", "broken")


@attrs.frozen
class ServiceStatus:
    """Load and limits of one service at one agent."""

    service: str
    flows: int = 0
    requests: int = 0
    flow_limit: int = 0
    request_limit: int = 0


@attrs.frozen
class NodeStatus:
    """State of a balancer or agent.

    Parameters
    ----------
    node : str
        Name of the balancer or backend server.
    kind : str
        ``"balancer"`` or ``"agent"``.
    zone : str
        Its availability zone.
    versions : dict of str to int
        Versions held, by object key.
    state : str
        ``"ready"``, ``"draining"`` or ``"stopping"``.
    loads : tuple of ServiceStatus
        Loads and limits by service.
    counters : dict of str to float
        Counters by ``name{reason}``; added where the state is published.
    """

    node: str
    kind: str
    zone: str
    versions: dict[str, int] = attrs.Factory(dict)
    state: str = ""
    loads: tuple[ServiceStatus, ...] = ()
    counters: dict[str, float] = attrs.Factory(dict)

    def list_refusals(self) -> dict[str, float]:
        """Return the counters of refusals that are not zero."""
        return {
            name: value
            for name, value in self.counters.items()
            if value and any(word in name for word in REFUSAL_WORDS)
        }
