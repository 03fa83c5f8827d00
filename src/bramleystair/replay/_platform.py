"""Model of the platform: versions, watches that lag, leases and outages."""

import random
from collections.abc import Callable

from bramleystair.replay._carrier import Carrier
from bramleystair.tables import build_key, encode_object
from bramleystair.wire import StoredObject

WATCH_DELAY_S = 0.05
# A renewal that failed is tried again, as the platform's client does.
RENEW_RETRY_S = 5.0


class PlatformModel:
    """Store objects and report them to watchers while it is up.

    Parameters
    ----------
    carrier : Carrier
        Time and delays.
    source : random.Random
        Source of delays.
    report : callable
        Called with the name of a watcher and a tuple of objects.
    """

    def __init__(
        self,
        carrier: Carrier,
        source: random.Random,
        report: Callable[[str, tuple[StoredObject, ...]], None],
    ) -> None:
        self.is_up = True
        self.lost_answers = 0
        self.objects: dict[str, StoredObject] = {}
        self.watchers: dict[str, None] = {}
        self._carrier = carrier
        self._source = source
        self._report = report
        self._leases: dict[str, float] = {}
        self._version = 0

    def set_up(self, is_up: bool) -> None:
        """Begin or end an outage; after one, every watcher lists again."""
        self.is_up = is_up
        if is_up:
            self._expire_leases()
            for watcher in list(self.watchers):
                self._tell(watcher, tuple(self.objects.values()))

    def set_watch(self, name: str, is_wanted: bool) -> None:
        """Begin or end the watch of a balancer."""
        self.watchers.pop(name, None)
        if is_wanted:
            self.watchers[name] = None
            self._tell(name, tuple(self.objects.values()))

    def write(self, key: str, body: bytes) -> StoredObject:
        """Accept a write and report it to the watchers."""
        self._version += 1
        item = StoredObject(key, self._version, "", body)
        self.objects[key] = item
        for watcher in list(self.watchers):
            self._tell(watcher, (item,))
        return item

    def renew(self, announcement, lease_s: float, is_alive: Callable) -> None:
        """Write an announcement or renew its lease, again later during an outage."""
        if not is_alive():
            return
        if not self.is_up:
            retry = (announcement, lease_s, is_alive)
            self._carrier.schedule(RENEW_RETRY_S, self.renew, *retry)
            return
        key, body = build_key(announcement), encode_object(announcement)
        self._leases[key] = self._carrier.now + lease_s
        if key not in self.objects or self.objects[key].body != body:
            self.write(key, body)
        if self.lost_answers > 0:
            # The write took effect; its owner does not know and repeats it.
            self.lost_answers -= 1
            retry = (announcement, lease_s, is_alive)
            self._carrier.schedule(RENEW_RETRY_S, self.renew, *retry)

    def run_leases(self) -> None:
        """Delete the announcements whose lease has ended."""
        if self.is_up:
            self._expire_leases()

    def _expire_leases(self) -> None:
        for key, due_s in list(self._leases.items()):
            if due_s <= self._carrier.now:
                del self._leases[key]
                self.write(key, b"")

    def _tell(self, watcher: str, objects: tuple[StoredObject, ...]) -> None:
        delay_s = self._source.random() * WATCH_DELAY_S
        self._carrier.schedule(delay_s, self._deliver, watcher, objects)

    def _deliver(self, watcher: str, objects: tuple[StoredObject, ...]) -> None:
        # An outage that begins before the watch answers loses the answer.
        if self.is_up and watcher in self.watchers:
            self._report(watcher, objects)
