"""Announcement, lease and liveness of the replica's own process."""

from random import Random

import attrs

from bramleystair.replicas._events import (
    IncarnationRaised,
    ProcessReplaced,
    RenewLease,
    ReplicaAction,
    ReplicaSettings,
)
from bramleystair.replicas._store import ObjectStore
from bramleystair.replicas._versions import (
    LIVENESS_PREFIX,
    build_report,
    compute_owner_version,
    get_incarnation,
    is_down_version,
    refute_version,
)
from bramleystair.tables import (
    Announcement,
    NodeAnnouncement,
    build_key,
    encode_object,
    replace_version,
)
from bramleystair.wire import StoredObject

# Renewals of a fleet that started at once spread out over this share of the interval.
RENEW_JITTER = 0.2
# A process that learns of a later lifetime of its name within this time started with a
# wrong clock and takes a later one; an older process has been replaced.
START_S = 10.0


class Owner:
    """Keep the objects that only this process may write.

    Parameters
    ----------
    announcement : Announcement or NodeAnnouncement
        First announcement; its version is replaced.
    name : str
        Name of the node or backend server.
    store : ObjectStore
        Store of the replica, in which own objects are kept too.
    settings : ReplicaSettings
        Intervals of the lease.
    random : Random
        Source of the jitter between renewals.
    """

    def __init__(
        self,
        announcement: Announcement | NodeAnnouncement,
        name: str,
        store: ObjectStore,
        settings: ReplicaSettings,
        random: Random,
    ) -> None:
        self.announcement = announcement
        self.key = build_key(announcement)
        self.liveness_key = LIVENESS_PREFIX + name
        self._store = store
        self._settings = settings
        self._random = random
        self._revision = 0
        self._is_changed = True
        self._renew_at = 0.0
        self._began_at: float | None = None
        self._seen_at: float | None = None
        self._publish()

    @property
    def incarnation(self) -> int:
        """Return the number of this lifetime."""
        return self.announcement.incarnation

    def change(self, **values) -> None:
        """Announce changed values under the next revision."""
        self._revision += 1
        self.announcement = attrs.evolve(self.announcement, **values)
        self._publish()

    def notice_time(self, now: float) -> tuple[float, list[ReplicaAction]]:
        """Return the time since the last event, and end a lifetime paused too long."""
        if self._began_at is None:
            self._began_at = now
        pause = 0.0 if self._seen_at is None else now - self._seen_at
        self._seen_at = now
        if pause <= self._settings.lease_s:
            return pause, []
        return pause, [self._raise_incarnation(self.incarnation + 1)]

    def renew(self, now: float) -> list[ReplicaAction]:
        """Write the announcement when it changed, and renew its lease when due."""
        if not self._is_changed and now < self._renew_at:
            return []
        action = RenewLease(self.announcement, self._is_changed)
        jitter = 1 + RENEW_JITTER * (self._random.random() - 0.5)
        self._renew_at = now + self._settings.lease_renew_s * jitter
        self._is_changed = False
        return [action]

    def owns(self, key: str) -> bool:
        """Return whether only this process may write `key`."""
        return key in (self.key, self.liveness_key)

    def answer_version(
        self, key: str, version: int
    ) -> tuple[list[StoredObject], list[ReplicaAction]]:
        """Respond to a version of an own object that another node holds.

        Returns
        -------
        list of StoredObject
            Objects that the other node lacks.
        list of ReplicaAction
            `IncarnationRaised` when another lifetime was announced at the same time.
        """
        actions: list[ReplicaAction] = []
        if key == self.key:
            actions = self._supersede(version)
        elif self._is_report(version):
            self._refute(version)
        held = self._store.get(key)
        if held is None or held.version <= version:
            return [], actions
        return [held], actions

    def _is_report(self, version: int) -> bool:
        if get_incarnation(version) < self.incarnation:
            return False
        is_newer = version > self._store.get_version(self.liveness_key)
        return is_newer and is_down_version(version)

    def _refute(self, version: int) -> None:
        higher = refute_version(version)
        self._store.put(build_report(self.liveness_key, higher))

    def _supersede(self, version: int) -> list[ReplicaAction]:
        if version <= self.announcement.version:
            return []
        later = get_incarnation(version)
        if later > self.incarnation and self._is_starting():
            return [self._raise_incarnation(later + 1)]
        if later > self.incarnation:
            return [ProcessReplaced(later)]
        # A tombstone of this lifetime: the lease lapsed while the process lived.
        self._revision = (version - compute_owner_version(self.incarnation, 0)) // 2
        self.change()
        return []

    def _is_starting(self) -> bool:
        """Return whether this process began so late that the other is the earlier."""
        if self._began_at is None or self._seen_at is None:
            return True
        return self._seen_at - self._began_at < START_S

    def _raise_incarnation(self, incarnation: int) -> IncarnationRaised:
        self._revision = 0
        self.announcement = attrs.evolve(self.announcement, incarnation=incarnation)
        self._publish()
        return IncarnationRaised(incarnation)

    def _publish(self) -> None:
        version = compute_owner_version(self.incarnation, self._revision)
        self.announcement = replace_version(self.announcement, version)
        body = encode_object(self.announcement)
        self._store.put(StoredObject(self.key, version, "", body))
        self._is_changed = True
