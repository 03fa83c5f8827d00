"""Events that replicas take, actions that they return, and their settings."""

import attrs

from bramleystair.actions import Count, Send
from bramleystair.tables import (
    AGENT_PREFIX,
    BALANCER_PREFIX,
    TABLE_PREFIX,
    ZONE_PREFIX,
    Announcement,
    NodeAnnouncement,
)
from bramleystair.views import View
from bramleystair.wire import Message, ServiceLoad, StoredObject

# What watchers watch. Each renewed lease would wake a watch of the announcements, and
# they spread without the platform; so they are only listed, for lapsed leases.
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
    """Address of a replica and the periods of its work.

    Parameters
    ----------
    host, port, http_port : str, int, int
        Own address, as announced; `http_port` is used by balancers only.
    seeds : tuple of Peer
        Balancers that an agent contacts before it knows others.
    fanout : int
        Peers to which a new version is announced.
    heartbeat_period_s, digest_period_s : float
        Intervals in seconds.
    down_after_s : float
        Silence after which a member is reported down.
    lease_renew_s : float
        Interval between lease renewals; a lease lasts three times as long.
    watchers_per_zone : int
        Balancers that watch the platform in each availability zone.
    datagram_bytes : int
        Size to which messages are filled; a larger object travels alone.
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
        """Return the time in seconds for which a lease lasts."""
        return 3 * self.lease_renew_s


@attrs.frozen
class MessageArrived:
    """A message from the node or agent named `sender` arrived."""

    sender: str
    message: Message


@attrs.frozen
class PlatformObjects:
    """The platform listed or reported `objects`."""

    objects: tuple[StoredObject, ...]


@attrs.frozen
class PlatformListed:
    """The platform listed all `objects` under `prefix`; others have lapsed."""

    prefix: str
    objects: tuple[StoredObject, ...]


@attrs.frozen
class LoadsChanged:
    """The agent's loads are now `loads`."""

    loads: tuple[ServiceLoad, ...]


@attrs.frozen
class DrainRequested:
    """The agent's backend server is leaving."""


@attrs.frozen
class Tick:
    """The timer service's periodic call, every `TICK_PERIOD_S`."""


@attrs.frozen
class ViewUpdated:
    """The replica holds a new view."""

    view: View


@attrs.frozen
class WatcherRoleChanged:
    """Whether this balancer is one that watches the platform has changed."""

    is_watcher: bool


@attrs.frozen
class RenewLease:
    """Write the owner's announcement to the platform, or renew its lease.

    Parameters
    ----------
    announcement : Announcement or NodeAnnouncement
        Written under its key with its body.
    is_changed : bool
        Whether the body differs from the one written before. A renewal of the same
        body need not raise the platform's version, and peers do not spread it.
    """

    announcement: Announcement | NodeAnnouncement
    is_changed: bool


@attrs.frozen
class IncarnationRaised:
    """The owner was paused past its lease: the old lifetime is over.

    Tickets of the old incarnation may not be issued or run from now on.
    """

    incarnation: int


@attrs.frozen
class ProcessReplaced:
    """Another process has taken the name of this one, which has to stop."""

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
