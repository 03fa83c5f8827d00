"""Spread of versions, membership and leases among the nodes."""

from bramleystair.replicas._agent import AgentReplica
from bramleystair.replicas._assignment import (
    choose_balancers,
    choose_watchers,
    group_by_zone,
    rank_names,
)
from bramleystair.replicas._balancer import BalancerReplica
from bramleystair.replicas._events import (
    DrainRequested,
    IncarnationRaised,
    LoadsChanged,
    MessageArrived,
    Peer,
    PlatformObjects,
    RenewLease,
    ReplicaAction,
    ReplicaEvent,
    ReplicaSettings,
    Tick,
    ViewUpdated,
    WatchWanted,
)
from bramleystair.replicas._store import ObjectStore

__all__ = [
    "AgentReplica",
    "BalancerReplica",
    "DrainRequested",
    "IncarnationRaised",
    "LoadsChanged",
    "MessageArrived",
    "ObjectStore",
    "Peer",
    "PlatformObjects",
    "RenewLease",
    "ReplicaAction",
    "ReplicaEvent",
    "ReplicaSettings",
    "Tick",
    "ViewUpdated",
    "WatchWanted",
    "choose_balancers",
    "choose_watchers",
    "group_by_zone",
    "rank_names",
]
