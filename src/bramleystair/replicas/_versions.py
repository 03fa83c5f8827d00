"""Versions that owners give to their own objects.

Announcements and liveness reports spread while the platform is down, so their order
cannot come from the platform. It comes from the incarnation and a sequence below it.
"""

from bramleystair.wire import StoredObject

# An incarnation must be below 2**47, as milliseconds since 1970 are.
SEQUENCE_BITS = 16
LIVENESS_PREFIX = "liveness/"


def compute_owner_version(incarnation: int, revision: int) -> int:
    """Return the version of an announcement; always even, see `bury_version`."""
    return (incarnation << SEQUENCE_BITS) + 2 * revision


def bury_version(version: int) -> int:
    """Return the version of the tombstone that follows announcement `version`."""
    return version | 1


def get_incarnation(version: int) -> int:
    """Return the incarnation that an owner's version is about."""
    return version >> SEQUENCE_BITS


def is_down_version(version: int) -> bool:
    """Return whether a liveness version reports the holder down.

    Odd versions are reports, even versions refutations, so that two nodes which report
    the same failure write the same version. A header of it is the whole report.
    """
    return version & 1 == 1


def compute_down_version(incarnation: int, known: int) -> int:
    """Return the liveness version that reports `incarnation` down after `known`."""
    base = max(known, incarnation << SEQUENCE_BITS)
    return base if is_down_version(base) else base + 1


def refute_version(version: int) -> int:
    """Return the liveness version that refutes the report `version`."""
    return version + 1


def build_report(key: str, version: int) -> StoredObject:
    """Return the liveness report of `version`, which says everything by itself."""
    return StoredObject(key, version)
