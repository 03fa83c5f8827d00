"""Replication of object versions, membership and leases between the nodes.

Balancers hold every object and exchange versions by gossip and digests; agents hold
only the objects of their own services and fetch them from the balancers.
"""

from bramleystair.replicas._agent import AgentReplica
from bramleystair.replicas._assignment import (
    choose_balancers,
    choose_watchers,
    group_by_zone,
    rank_names,
)
from bramleystair.replicas._balancer import BalancerReplica
from bramleystair.replicas._events import (
    LIST_PERIOD_S,
    LISTED_PREFIXES,
    WATCHED_PREFIXES,
    DrainRequested,
    IncarnationRaised,
    LoadsChanged,
    MessageArrived,
    Peer,
    PlatformListed,
    PlatformObjects,
    ProcessReplaced,
    RenewLease,
    ReplicaAction,
    ReplicaEvent,
    ReplicaSettings,
    Tick,
    ViewUpdated,
    WatcherRoleChanged,
)
from bramleystair.replicas._store import ObjectStore

__all__ = [
    "LISTED_PREFIXES",
    "LIST_PERIOD_S",
    "WATCHED_PREFIXES",
    "AgentReplica",
    "BalancerReplica",
    "DrainRequested",
    "IncarnationRaised",
    "LoadsChanged",
    "MessageArrived",
    "ObjectStore",
    "Peer",
    "PlatformListed",
    "PlatformObjects",
    "RenewLease",
    "ProcessReplaced",
    "ReplicaAction",
    "ReplicaEvent",
    "ReplicaSettings",
    "Tick",
    "ViewUpdated",
    "WatcherRoleChanged",
    "choose_balancers",
    "choose_watchers",
    "group_by_zone",
    "rank_names",
]
