"""Watching the platform and renewing a lease, on threads that may wait."""

from collections.abc import Callable

from bramleystair.daemons._threads import Threads
from bramleystair.logs import get_log
from bramleystair.metrics import Metrics
from bramleystair.tables import Announcement, NodeAnnouncement
from bramleystair.wire import StoredObject

log = get_log("platform")


class PlatformLink:
    """Carry out what a replica wants of the platform."""

    def __init__(
        self,
        url: str,
        threads: Threads,
        metrics: Metrics,
        deliver: Callable[[tuple[StoredObject, ...]], None],
    ) -> None:
        self._url = url

    def set_watch(self, prefixes: tuple[str, ...]) -> None:
        """Watch the objects under `prefixes`; none ends the watch."""

    def renew(self, announcement: Announcement | NodeAnnouncement, lease_s: float):
        """Write `announcement` with a lease."""

    def close(self) -> None:
        """End the watch."""
