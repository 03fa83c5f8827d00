"""Copies of the platform's objects in a node, and the node's own object there."""

from bramleystair.mirror._mirror import Mirror
from bramleystair.mirror._publisher import Publisher
from bramleystair.mirror._retries import RetryQueue
from bramleystair.mirror._types import (
    Changes,
    FailureKind,
    Listing,
    ObjectStore,
    StoredItem,
    StoreFailure,
)

__all__ = [
    "Changes",
    "FailureKind",
    "Listing",
    "Mirror",
    "ObjectStore",
    "Publisher",
    "RetryQueue",
    "StoreFailure",
    "StoredItem",
]
