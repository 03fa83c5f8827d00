"""Announcement, lease and liveness of the local process."""

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
    build_liveness_report,
    compute_owner_version,
    compute_refutation_version,
    get_incarnation,
    is_down_version,
)
from bramleystair.tables import (
    AgentAnnouncement,
    BalancerAnnouncement,
    build_key,
    encode_object,
    replace_version,
)
from bramleystair.wire import StoredObject

# Fraction of the renewal interval over which renewals are jittered, so that processes
# that started together do not renew their leases at the same time.
RENEW_JITTER = 0.2
# A process that learns within this time of its start that a later incarnation of its
# name was announced is assumed to have started with a wrong clock, and takes a later
# incarnation. After this time it is assumed to have been replaced.
STARTUP_S = 10.0


class Owner:
    """Maintain the objects that only this process may write.

    Parameters
    ----------
    announcement : AgentAnnouncement or BalancerAnnouncement
        Initial announcement; its version is overwritten.
    name : str
        Name of the node or backend server.
    store : ObjectStore
        Store of the replica, which also holds the own objects.
    settings : ReplicaSettings
        Lease duration and renewal interval.
    random : Random
        Source of the renewal jitter.
    """

    def __init__(
        self,
        announcement: AgentAnnouncement | BalancerAnnouncement,
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
        self._started_at: float | None = None
        self._last_event_at: float | None = None
        self._publish()

    @property
    def incarnation(self) -> int:
        """Return the incarnation of this process."""
        return self.announcement.incarnation

    def update(self, **values) -> None:
        """Announce changed values with the next revision."""
        self._revision += 1
        self.announcement = attrs.evolve(self.announcement, **values)
        self._publish()

    def check_pause(self, now: float) -> tuple[float, list[ReplicaAction]]:
        """Return the seconds since the last event and the resulting actions.

        After a pause longer than the lease, a new incarnation is started.
        """
        if self._started_at is None:
            self._started_at = now
        pause = 0.0 if self._last_event_at is None else now - self._last_event_at
        self._last_event_at = now
        if pause <= self._settings.lease_s:
            return pause, []
        return pause, [self._raise_incarnation(self.incarnation + 1)]

    def renew_lease(self, now: float) -> list[ReplicaAction]:
        """Return a lease renewal if the announcement changed or the renewal is due."""
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

    def handle_peer_version(
        self, key: str, version: int
    ) -> tuple[list[StoredObject], list[ReplicaAction]]:
        """Compare the version of an own object at another node with the current one.

        Returns
        -------
        list of StoredObject
            Objects of which the other node has an older version.
        list of ReplicaAction
            `IncarnationRaised` or `ProcessReplaced` if the other node knows a later
            incarnation of this name.
        """
        actions: list[ReplicaAction] = []
        if key == self.key:
            actions = self._handle_newer_version(version)
        elif self._is_down_report(version):
            self._refute(version)
        held = self._store.get(key)
        if held is None or held.version <= version:
            return [], actions
        return [held], actions

    def _is_down_report(self, version: int) -> bool:
        if get_incarnation(version) < self.incarnation:
            return False
        is_newer = version > self._store.get_version(self.liveness_key)
        return is_newer and is_down_version(version)

    def _refute(self, version: int) -> None:
        higher = compute_refutation_version(version)
        self._store.put(build_liveness_report(self.liveness_key, higher))

    def _handle_newer_version(self, version: int) -> list[ReplicaAction]:
        if version <= self.announcement.version:
            return []
        later = get_incarnation(version)
        if later > self.incarnation and self._is_starting():
            return [self._raise_incarnation(later + 1)]
        if later > self.incarnation:
            return [ProcessReplaced(later)]
        # A tombstone of this incarnation: the lease expired while the process ran.
        self._revision = (version - compute_owner_version(self.incarnation, 0)) // 2
        self.update()
        return []

    def _is_starting(self) -> bool:
        """Return whether this process started less than `STARTUP_S` ago."""
        if self._started_at is None or self._last_event_at is None:
            return True
        return self._last_event_at - self._started_at < STARTUP_S

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
