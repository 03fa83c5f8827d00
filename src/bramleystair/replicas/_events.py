"""Input events, resulting actions and settings of replicas."""

import attrs

from bramleystair.actions import Count, Send
from bramleystair.tables import (
    AGENT_PREFIX,
    BALANCER_PREFIX,
    TABLE_PREFIX,
    ZONE_PREFIX,
    AgentAnnouncement,
    BalancerAnnouncement,
)
from bramleystair.views import View
from bramleystair.wire import Message, ServiceLoad, StoredObject

# Prefixes that the watching balancers watch. Announcements are not watched, because
# every renewed lease would trigger the watch and peers exchange them without the
# platform. They are only listed periodically, to find expired leases.
WATCHED_PREFIXES = (TABLE_PREFIX, ZONE_PREFIX)
LISTED_PREFIXES = (AGENT_PREFIX, BALANCER_PREFIX)
LIST_PERIOD_S = 3600.0


@attrs.frozen
class Peer:
    """Name and numeric address of a node."""

    name: str
    host: str
    port: int


@attrs.frozen
class ReplicaSettings:
    """Address, periods and size limits of a replica.

    Parameters
    ----------
    host, port, http_port : str, int, int
        Address that the replica announces; `http_port` is used by balancers only.
    seeds : tuple of Peer
        Balancers that an agent contacts until it knows others.
    fanout : int
        Number of peers to which a new version is announced.
    heartbeat_period_s, digest_period_s : float
        Intervals in seconds.
    down_after_s : float
        Time without a message after which a member is reported down.
    lease_renew_s : float
        Interval between lease renewals; a lease lasts three times as long.
    watchers_per_zone : int
        Number of balancers in each availability zone that watch the platform.
    datagram_bytes : int
        Size to which messages are filled; a larger object is sent on its own.
    """

    host: str = "127.0.0.1"
    port: int = 0
    http_port: int = 0
    seeds: tuple[Peer, ...] = ()
    fanout: int = 4
    heartbeat_period_s: float = 1.0
    digest_period_s: float = 1.0
    down_after_s: float = 3.0
    lease_renew_s: float = 120.0
    watchers_per_zone: int = 2
    datagram_bytes: int = 1200

    @property
    def lease_s(self) -> float:
        """Return the duration of a lease in seconds."""
        return 3 * self.lease_renew_s


@attrs.frozen
class MessageArrived:
    """A message was received from the node or agent named `sender`."""

    sender: str
    message: Message


@attrs.frozen
class PlatformObjects:
    """The platform returned `objects` from a listing or a watch."""

    objects: tuple[StoredObject, ...]


@attrs.frozen
class PlatformListed:
    """The platform returned all `objects` under `prefix`; any others have expired."""

    prefix: str
    objects: tuple[StoredObject, ...]


@attrs.frozen
class LoadsChanged:
    """The current loads of the agent changed to `loads`."""

    loads: tuple[ServiceLoad, ...]


@attrs.frozen
class DrainRequested:
    """The backend server of the agent is to be drained."""


@attrs.frozen
class Tick:
    """Periodic call by the timer service, every `TICK_PERIOD_S`."""


@attrs.frozen
class ViewUpdated:
    """The view of the replica changed to `view`."""

    view: View


@attrs.frozen
class WatcherRoleChanged:
    """The balancer was selected to watch the platform, or no longer is."""

    is_watcher: bool


@attrs.frozen
class RenewLease:
    """Write the announcement of the process to the platform, or renew its lease.

    Parameters
    ----------
    announcement : AgentAnnouncement or BalancerAnnouncement
        Announcement to write.
    is_changed : bool
        Whether the body differs from the one last written. A renewal with the same body
        need not raise the platform's version and is not propagated to peers.
    """

    announcement: AgentAnnouncement | BalancerAnnouncement
    is_changed: bool


@attrs.frozen
class IncarnationRaised:
    """The process starts a new incarnation.

    The cause is a pause longer than the lease, or a later incarnation that was
    announced under the same name while this process started.

    Tickets of the old incarnation must no longer be issued or run.
    """

    incarnation: int


@attrs.frozen
class ProcessReplaced:
    """A later process of the same name was announced; this one has to stop."""

    incarnation: int


ReplicaEvent = (
    MessageArrived
    | PlatformObjects
    | PlatformListed
    | LoadsChanged
    | DrainRequested
    | Tick
)
ReplicaAction = (
    Send
    | Count
    | ViewUpdated
    | WatcherRoleChanged
    | RenewLease
    | IncarnationRaised
    | ProcessReplaced
)
