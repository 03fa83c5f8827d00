"""Client of the platform, the operator's versioned object store."""

from bramleystair.store._client import PlatformClient, RetryPolicy
from bramleystair.store._types import (
    Accepted,
    Changes,
    ErrorKind,
    Listing,
    PlatformError,
    PlatformObject,
    WriteNote,
    WriteRecord,
)

__all__ = [
    "Accepted",
    "Changes",
    "ErrorKind",
    "Listing",
    "PlatformClient",
    "PlatformError",
    "PlatformObject",
    "RetryPolicy",
    "WriteNote",
    "WriteRecord",
]
