"""Types shared by the decisions of balancers and agents."""

import enum
from collections.abc import Mapping

import attrs
import xxhash

Address = tuple[str, int]

# More requests than any backend server processes at a time.
MAX_SLOTS = 65_535


class ServerState(enum.StrEnum):
    """State that a backend server reports."""

    READY = "ready"
    DRAINING = "draining"


@attrs.frozen
class ServerReport:
    """Status report of a backend server to the agent on its VM.

    Parameters
    ----------
    server : str
        Identifier of the server; a restarted server may keep it.
    started_ms : int
        Wall-clock time of its start in Unix milliseconds.
    sequence : int
        Number of the report since the server started.
    slots : int
        Requests that it processes concurrently.
    cold_left_s : float
        Time for which it remains cold.
    address : tuple of str and int or None
        Address at which it receives packets, if known.
    """

    server: str
    service: str
    zone: str
    state: ServerState
    slots: int
    cold_left_s: float = 0.0
    sequence: int = 0
    started_ms: int = 0
    address: Address | None = None


@attrs.frozen
class ServerShutdown:
    """Report of a backend server that it exits.

    Parameters
    ----------
    started_ms : int or None
        As in `ServerReport`; None if the report does not contain it.
    """

    server: str
    started_ms: int | None = None


@attrs.frozen
class MemberEntry:
    """Entry that an agent publishes on itself and its backend server.

    Parameters
    ----------
    address : tuple of str and int
        Address at which the agent receives messages; it identifies the member.
    server : str
        Identifier of the backend server.
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
    """Load of a backend server as measured by its agent.

    Parameters
    ----------
    running : int
        Requests in progress, and those expected from flows just admitted.
    mean_running : float
        Requests in progress, averaged over about a second.
    flows : int
        Open flows.
    service_s : float
        Average time from a request to the first byte of its response in seconds; 0
        if unknown.
    is_stopping : bool
        Whether the agent stops while its server keeps running.
    is_failing : bool
        Whether new flows are refused because the server fails its callers, is silent or
        has left.
    pace : float
        Share of the requests in progress of a server at full pace that this one can
        take, above 0 and up to 1; 0 if it is not learnt.
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
    is_failing: bool = False
    pace: float = 0.0


@attrs.frozen
class Target:
    """Weighted target service of a route."""

    service: str
    weight: float


@attrs.frozen
class ServiceLevel:
    """Service level objective of a route.

    Parameters
    ----------
    priority : int
        Priority class of the route; 0 is served first.
    objective_s : float
        Response time up to which a response is in time.
    deadline_s : float
        Time after which the caller stops waiting for the response.
    """

    priority: int = 0
    objective_s: float = 1.0
    deadline_s: float = 10.0


@attrs.frozen(order=True)
class Urgency:
    """Scheduling order of waiting flows; the lowest urgency is served first.

    Flows that can still meet their objective precede late ones: a late response is
    worth less than one in time, and serving a late flow first would make others late as
    well. Among flows of the same kind, the priority of the route decides.
    """

    is_late: bool = False
    priority: int = 0


@attrs.frozen
class Route:
    """Destination of new flows to one service address.

    Parameters
    ----------
    endpoint : bytes
        Packed address and port of the service.
    """

    name: str
    endpoint: bytes
    targets: tuple[Target, ...]
    level: ServiceLevel = ServiceLevel()

    def choose_service(self, flow: bytes) -> str:
        """Return the service of `flow`; balancers agree since its hash decides."""
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
        New flows per second that a cold server can take; 0 for no limit.
    """

    name: str
    cold_rate: float = 0.0


@attrs.frozen
class RoutingRules:
    """One version of the operator's routing configuration."""

    version: int = 0
    routes: Mapping[bytes, Route] = attrs.field(factory=dict)
    services: Mapping[str, ServiceLimits] = attrs.field(factory=dict)


def compute_service_id(service: str) -> int:
    """Return the 64-bit hash that identifies `service` in messages."""
    return xxhash.xxh64_intdigest(service.encode())
