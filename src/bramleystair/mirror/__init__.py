"""Local copies of the platform's objects, and publishing of a node's own object."""

from bramleystair.mirror._backoff import Backoff
from bramleystair.mirror._collector import ObjectCollector, ObjectDecoder
from bramleystair.mirror._epoch import REWRITE_TIMEOUT_S, StoreEpoch
from bramleystair.mirror._mirror import Mirror
from bramleystair.mirror._publisher import Publisher
from bramleystair.mirror._retention import (
    ANY_OBJECT,
    ObjectClass,
    abbreviate_names,
)
from bramleystair.mirror._retries import RetryQueue
from bramleystair.mirror._types import (
    Changes,
    FailureKind,
    IgnoredObjects,
    Listing,
    ObjectStore,
    StoredItem,
    StoreFailure,
)

__all__ = [
    "ANY_OBJECT",
    "REWRITE_TIMEOUT_S",
    "Backoff",
    "Changes",
    "FailureKind",
    "IgnoredObjects",
    "Listing",
    "Mirror",
    "ObjectClass",
    "ObjectCollector",
    "ObjectDecoder",
    "ObjectStore",
    "Publisher",
    "RetryQueue",
    "StoreEpoch",
    "StoreFailure",
    "StoredItem",
    "abbreviate_names",
]
