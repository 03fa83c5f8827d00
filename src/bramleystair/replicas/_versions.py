"""Versions that processes assign to their own objects.

Announcements and liveness reports must propagate while the platform is unavailable, so
their versions cannot be assigned by the platform. A version consists of the incarnation
in the high bits and a sequence number in the low 16 bits.
"""

from bramleystair.wire import StoredObject

# An incarnation must be below 2**47, which is enough for milliseconds since 1970.
SEQUENCE_BITS = 16
LIVENESS_PREFIX = "liveness/"


def compute_owner_version(incarnation: int, revision: int) -> int:
    """Return the version of an announcement, which is always even.

    The odd version above it is that of its tombstone.
    """
    return (incarnation << SEQUENCE_BITS) + 2 * revision


def compute_tombstone_version(version: int) -> int:
    """Return the version of the tombstone of the announcement `version`."""
    return version | 1


def get_incarnation(version: int) -> int:
    """Return the incarnation encoded in `version`."""
    return version >> SEQUENCE_BITS


def is_down_version(version: int) -> bool:
    """Return whether the liveness version `version` reports its member down.

    Odd versions are down reports and even versions are refutations, so that two nodes
    that report the same failure write the same version. The key and version are the
    whole report; it has no body.
    """
    return version & 1 == 1


def compute_down_version(incarnation: int, known: int) -> int:
    """Return the lowest liveness version from `known` on that reports a member down.

    It is also not below the first version of `incarnation`.
    """
    base = max(known, incarnation << SEQUENCE_BITS)
    return base if is_down_version(base) else base + 1


def compute_refutation_version(version: int) -> int:
    """Return the liveness version that refutes the report `version`."""
    return version + 1


def build_liveness_report(key: str, version: int) -> StoredObject:
    """Return the liveness object of `version`, which has no body."""
    return StoredObject(key, version)
