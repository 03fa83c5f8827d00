"""Configuration objects and announcements that the platform distributes."""

import enum

import attrs
import xxhash


class Protocol(enum.IntEnum):
    """IP protocol numbers of the supported transport protocols."""

    TCP = 6
    UDP = 17


class AgentState(enum.StrEnum):
    """State of a backend server, as announced by its agent."""

    READY = "ready"
    DRAINING = "draining"


@attrs.frozen
class Member:
    """One row of a service table.

    Parameters
    ----------
    server : str
        Name of the backend server.
    zone : str
        Its availability zone.
    weight : float
        Relative share of the service's load; 0 assigns no new work.
    max_flows : int
        Maximum number of connections to the backend server for this service.
    max_requests : int
        Maximum number of concurrent requests for this service.
    """

    server: str
    zone: str
    weight: float
    max_flows: int
    max_requests: int


@attrs.frozen
class Table:
    """Address, protocol and members of a service."""

    service: str
    address: str
    port: int
    protocol: Protocol
    members: tuple[Member, ...]
    version: int = 0

    @property
    def service_id(self) -> int:
        """Return the identifier of the service in messages."""
        return compute_service_id(self.service)

    def get_member(self, server: str) -> Member | None:
        """Return the row of `server`, or None."""
        for member in self.members:
            if member.server == server:
                return member
        return None


@attrs.frozen
class ZoneMark:
    """Operator's setting of whether an availability zone is in service."""

    zone: str
    is_in_service: bool
    version: int = 0


@attrs.frozen
class AgentAnnouncement:
    """Leased announcement of an agent and its backend server.

    Parameters
    ----------
    server : str
        Name of the backend server, which is also the address of its agent in messages.
    zone : str
        Its availability zone.
    host : str
        IP address of the agent.
    port : int
        UDP port for messages, and TCP port for requests.
    incarnation : int
        Number that increases with every start of the agent.
    state : AgentState
        Whether the backend server accepts new work.
    services : tuple of str
        Services that the backend server can serve.
    """

    server: str
    zone: str
    host: str
    port: int
    incarnation: int
    state: AgentState = AgentState.READY
    services: tuple[str, ...] = ()
    version: int = 0


@attrs.frozen
class BalancerAnnouncement:
    """Leased announcement of a balancer."""

    node: str
    zone: str
    region: str
    host: str
    port: int
    http_port: int
    incarnation: int
    version: int = 0


def compute_service_id(service: str) -> int:
    """Return the 64-bit identifier of `service` in messages."""
    return xxhash.xxh64_intdigest(service.encode())
