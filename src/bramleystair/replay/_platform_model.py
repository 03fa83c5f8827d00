"""Model of the platform's object store with watches, leases and outages."""

import random
from collections.abc import Callable

from bramleystair.replay._scheduler import EventScheduler
from bramleystair.store import combine_version
from bramleystair.tables import TABLE_PREFIX, ZONE_PREFIX, build_key, encode_object
from bramleystair.undo_log import UndoLog
from bramleystair.wire import StoredObject

WATCH_DELAY_S = 0.05
# Interval after which a failed renewal is retried, as the platform client does.
RENEW_RETRY_S = 5.0
# Time after which an operator writes again what a restored platform has lost.
REWRITE_DELAY_S = 1.0
OPERATOR_PREFIXES = (TABLE_PREFIX, ZONE_PREFIX)


class PlatformModel:
    """Versioned object store that reports changes to watchers while it is available.

    Parameters
    ----------
    scheduler : EventScheduler
        Clock and timers.
    rng : random.Random
        Random numbers for watch delays.
    report : callable
        Called with the name of a watcher and a tuple of objects.
    """

    def __init__(
        self,
        scheduler: EventScheduler,
        rng: random.Random,
        report: Callable[[str, tuple[StoredObject, ...]], None],
    ) -> None:
        self.is_available = True
        self.responses_to_lose = 0
        self.objects: dict[str, StoredObject] = {}
        self.watchers: dict[str, None] = {}
        self._scheduler = scheduler
        self._rng = rng
        self._report = report
        self._leases: dict[str, float] = {}
        self._version = 0
        self._epoch = 0
        self._undo_log = UndoLog()

    def restore(self, age_s: float) -> None:
        """Return to the state of `age_s` seconds ago, and assign versions again.

        The operator writes the lost objects again, unless they have changed since.
        """
        cutoff_s = self._scheduler.now - age_s
        reverted = self._undo_log.revert(cutoff_s, self.objects, self._leases)
        self._version -= len(reverted)
        # The newest write comes first, so that it is kept.
        lost: dict[str, StoredObject] = {}
        for key, item in reverted:
            lost.setdefault(key, item)
        self._epoch += 1
        for key, item in lost.items():
            if key.startswith(OPERATOR_PREFIXES):
                present = self.objects.get(key)
                self._scheduler.schedule(REWRITE_DELAY_S, self._rewrite, item, present)
        self._report_all()

    def _rewrite(self, lost: StoredObject, present: StoredObject | None) -> None:
        if self.objects.get(lost.key) is present:
            self.write(lost.key, lost.body)

    def set_available(self, is_available: bool) -> None:
        """Start or end an outage; at its end, every watcher receives all objects."""
        self.is_available = is_available
        if is_available:
            self._expire_leases()
            self._report_all()

    def set_watch(self, name: str, is_wanted: bool) -> None:
        """Start or stop the watch of a balancer; a new watch receives all objects."""
        self.watchers.pop(name, None)
        if is_wanted:
            self.watchers[name] = None
            self._notify(name, tuple(self.objects.values()))

    def write(self, key: str, body: bytes) -> StoredObject:
        """Store an object under a new version and report it to the watchers."""
        self._undo_log.record(self._scheduler.now, key, self.objects, self._leases)
        self._version += 1
        item = StoredObject(key, combine_version(self._epoch, self._version), "", body)
        self.objects[key] = item
        for watcher in list(self.watchers):
            self._notify(watcher, (item,))
        return item

    def renew(self, announcement, lease_s: float, is_alive: Callable) -> None:
        """Write an announcement and renew its lease; retry later during an outage."""
        if not is_alive():
            return
        if not self.is_available:
            retry = (announcement, lease_s, is_alive)
            self._scheduler.schedule(RENEW_RETRY_S, self.renew, *retry)
            return
        key, body = build_key(announcement), encode_object(announcement)
        self._leases[key] = self._scheduler.now + lease_s
        if key not in self.objects or self.objects[key].body != body:
            self.write(key, body)
        if self.responses_to_lose > 0:
            # The write took effect but its response is lost, so the owner retries it.
            self.responses_to_lose -= 1
            retry = (announcement, lease_s, is_alive)
            self._scheduler.schedule(RENEW_RETRY_S, self.renew, *retry)

    def check_leases(self) -> None:
        """Delete announcements with expired leases, unless there is an outage."""
        if self.is_available:
            self._expire_leases()

    def _expire_leases(self) -> None:
        for key, due_s in list(self._leases.items()):
            if due_s <= self._scheduler.now:
                del self._leases[key]
                self.write(key, b"")

    def _report_all(self) -> None:
        for watcher in list(self.watchers):
            self._notify(watcher, tuple(self.objects.values()))

    def _notify(self, watcher: str, objects: tuple[StoredObject, ...]) -> None:
        delay_s = self._rng.random() * WATCH_DELAY_S
        self._scheduler.schedule(delay_s, self._deliver, watcher, objects)

    def _deliver(self, watcher: str, objects: tuple[StoredObject, ...]) -> None:
        # A response in transit is lost when an outage begins.
        if self.is_available and watcher in self.watchers:
            self._report(watcher, objects)
