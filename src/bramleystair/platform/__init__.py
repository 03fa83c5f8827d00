"""Client of the platform: the operator's versioned object store."""

from bramleystair.platform._client import PlatformClient, RetryPolicy
from bramleystair.platform._types import (
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
