"""Client of the platform, the operator's versioned object store."""

from bramleystair.store._client import EPOCH_HEADER, PlatformClient, RetryPolicy
from bramleystair.store._types import (
    Accepted,
    Changes,
    ErrorKind,
    Listing,
    PlatformError,
    PlatformObject,
    WriteNote,
    WriteRecord,
    combine_version,
    format_version,
)

__all__ = [
    "EPOCH_HEADER",
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
    "combine_version",
    "format_version",
]
