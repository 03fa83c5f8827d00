"""Types shared by the decisions of balancers and agents."""

import enum
from collections.abc import Mapping

import attrs
import xxhash

Address = tuple[str, int]


class ServerState(enum.StrEnum):
    """What a backend server reports of itself."""

    READY = "ready"
    DRAINING = "draining"


@attrs.frozen
class ServerReport:
    """A backend server's report on itself, sent to the agent beside it.

    Parameters
    ----------
    server : str
        Identity of this server; a restarted server may keep it.
    started_ms : int
        Wall-clock time of its start in Unix milliseconds.
    sequence : int
        Number of the report since the start.
    slots : int
        Requests that it processes at once.
    cold_left_s : float
        Time for which it remains cold.
    """

    server: str
    service: str
    zone: str
    state: ServerState
    slots: int
    cold_left_s: float = 0.0
    sequence: int = 0
    started_ms: int = 0


@attrs.frozen
class MemberEntry:
    """What an agent publishes of itself and its backend server.

    Parameters
    ----------
    address : tuple of str and int
        Where the agent receives messages; it identifies the member.
    server : str
        Identity of the backend server.
    """

    address: Address
    zone: str
    service: str
    state: ServerState
    slots: int
    server: str = ""
    started_ms: int = 0


@attrs.frozen
class Load:
    """Load of a backend server as its agent sees it.

    Parameters
    ----------
    running : int
        Requests in progress, with those expected of flows just admitted.
    mean_running : float
        Requests in progress, averaged over about a second.
    flows : int
        Open flows.
    service_s : float
        Average time from a request to the first byte of its response in seconds; 0
        when not known.
    is_stopping : bool
        Whether the agent ends, and its server goes on.
    """

    state: ServerState = ServerState.READY
    slots: int = 1
    running: int = 0
    mean_running: float = 0.0
    flows: int = 0
    service_s: float = 0.0
    is_cold: bool = False
    is_accepting: bool = True
    is_stopping: bool = False


@attrs.frozen
class Target:
    """One of the services that share the new flows of a route."""

    service: str
    weight: float


@attrs.frozen
class ServiceLevel:
    """What the callers of a route expect.

    Parameters
    ----------
    priority : int
        Class of the route; 0 is served first.
    objective_s : float
        Time from a request to its response up to which it is in time.
    deadline_s : float
        Time after which its caller does not wait for the response any more.
    """

    priority: int = 0
    objective_s: float = 1.0
    deadline_s: float = 10.0


@attrs.frozen(order=True)
class Urgency:
    """How soon a waiting flow is served, compared with others; the lowest one is first.

    Flows that still meet their objective precede late ones: a late response is worth
    less than one in time, and a late flow that went first would make others late as
    well. Within both, the priority of the route decides.
    """

    is_late: bool = False
    priority: int = 0


@attrs.frozen
class Route:
    """Where new flows to one service address go.

    Parameters
    ----------
    endpoint : bytes
        Packed address and port.
    """

    name: str
    endpoint: bytes
    targets: tuple[Target, ...]
    level: ServiceLevel = ServiceLevel()

    def choose_service(self, flow: bytes) -> str:
        """Return the service of `flow`; each balancer computes the same one."""
        total = sum(target.weight for target in self.targets)
        point = xxhash.xxh32_intdigest(flow) / 2**32 * total
        for target in self.targets:
            point -= target.weight
            if point < 0:
                return target.service
        return self.targets[-1].service


@attrs.frozen
class ServiceLimits:
    """Limits of one service.

    Parameters
    ----------
    cold_rate : float
        New flows per second that a cold server bears; 0 for no limit.
    """

    name: str
    cold_rate: float = 0.0


@attrs.frozen
class RoutingRules:
    """One version of the operator's configuration."""

    version: int = 0
    routes: Mapping[bytes, Route] = attrs.field(factory=dict)
    services: Mapping[str, ServiceLimits] = attrs.field(factory=dict)


def compute_service_id(service: str) -> int:
    """Return the 64-bit number that stands for `service` in messages."""
    return xxhash.xxh64_intdigest(service.encode())
