"""State that a node reports to operators."""

import attrs

REFUSAL_NAME_PARTS = ("refus", "drop", "broken")


@attrs.frozen
class ServiceStatus:
    """Load and limits of a service at one agent."""

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
        Availability zone of the node.
    versions : dict of str to int
        Versions of the objects that the node holds, by key.
    state : str
        ``"ready"``, ``"draining"`` or ``"stopping"``.
    loads : tuple of ServiceStatus
        Loads and limits by service.
    counters : dict of str to float
        Counters by ``name{reason}``; added by the metrics server.
    """

    node: str
    kind: str
    zone: str
    versions: dict[str, int] = attrs.Factory(dict)
    state: str = ""
    loads: tuple[ServiceStatus, ...] = ()
    counters: dict[str, float] = attrs.Factory(dict)

    def list_refusals(self) -> dict[str, float]:
        """Return the non-zero counters of refused, dropped and broken work."""
        return {
            name: value
            for name, value in self.counters.items()
            if value and any(part in name for part in REFUSAL_NAME_PARTS)
        }
