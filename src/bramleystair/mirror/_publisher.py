"""Publishing of a node's own object in the store."""

import random as random_module
from concurrent.futures import Future
from typing import Any

from bramleystair.logs import get_logger
from bramleystair.metrics import Metrics
from bramleystair.mirror._backoff import Backoff
from bramleystair.mirror._types import (
    FailureKind,
    ObjectStore,
    StoredItem,
    StoreFailure,
)
from bramleystair.timers import TimerService, TimerSubscription

log = get_logger("publisher")

# A write that got no response may still be executed within this time if its condition
# holds, and a restored store may make the condition of an earlier one hold again.
LATE_WRITE_S = 8.0
# Minimum interval between verifications, so that two writers of one object do not write
# at the rate at which the store answers.
VERIFICATION_INTERVAL_S = 0.5
# Conflicts in a row after which the next write waits for that interval: another writer
# writes faster than the store answers.
MAX_PROMPT_CONFLICTS = 2
# A stale read may lack a write of the last seconds.
STALE_READ_S = 10.0
# Characters of another writer's content in a log line.
MAX_LOGGED_CHARACTERS = 200


class Publisher:
    """Reconcile one object with its desired content, with one call at a time.

    Each write is conditional on the revision that it replaces, so that a delayed write
    cannot overwrite a newer one. If a response is lost, the write is repeated, and the
    resulting conflict contains the stored revision. A write is also repeated after the
    store was restored from an older copy, and after another writer has replaced or
    removed the object.

    Parameters
    ----------
    store : ObjectStore
        Store to write to.
    kind, name : str
        Kind and name of the object.
    timers : TimerService
        Runs the retries.
    random : random.Random
        Source of the jitter.
    metrics : Metrics
        Counts contradictions by other writers, and repeated writes after them.
    """

    def __init__(
        self,
        store: ObjectStore,
        kind: str,
        name: str,
        timers: TimerService,
        random: random_module.Random,
        metrics: Metrics,
    ) -> None:
        self._store = store
        self._kind = kind
        self._name = name
        self._timers = timers
        self._metrics = metrics
        self._backoff = Backoff(random)
        self._desired: Any = None
        self._stored: StoredItem | None = None
        # Revision of the object when it was last stored, also after its deletion.
        self._last_revision: int | None = None
        self._is_stored_known = False
        self._is_call_pending = False
        self._has_called = False
        # Number of writes in a row that met the write of another writer.
        self._conflicts = 0
        # Whether the desired content was stored in the store's present epoch, the time
        # at which that was last confirmed, and whether another writer has changed it.
        self._was_settled = False
        self._settled_s = float("-inf")
        self._is_contradicted = False
        # Latest revision at which the object is said to have changed, the same at the
        # start of the pending call, and the revision up to which its state is known.
        self._reported_revision = 0
        self._called_revision = 0
        self._known_revision = 0
        self._verification_timer: TimerSubscription | None = None
        self._next_verification_s = float("-inf")
        store.epoch.subscribe(self._handle_restoration)

    @property
    def is_settled(self) -> bool:
        """Whether the store is known to contain the desired content."""
        return self._is_stored_known and self._is_desired(self._stored)

    @property
    def is_withdrawn(self) -> bool:
        """Whether an object was published, or may have been, and is to be deleted."""
        return self._has_called and self._desired is None

    def publish(self, value: Any) -> None:
        """Set the desired content; None deletes the object."""
        self._desired = value
        self._reconcile()

    def remove(self) -> None:
        """Delete the object, even if it was written by an earlier process."""
        self._has_called = True
        self.publish(None)

    def verify(self) -> None:
        """Write the desired content again, since the store may have lost it.

        Has no effect before the first call of `publish` with content, or of `remove`.
        Revisions that were reported before are forgotten: the store assigns them again.
        """
        self._was_settled = False
        self._reported_revision = self._known_revision = 0
        self._write_again()

    def handle_change(self, revision: int, is_missing: bool = False) -> None:
        """Write the desired content again if another writer has changed the object.

        Parameters
        ----------
        revision : int
            Store revision, of the present epoch, at which the object was seen to have
            changed. It has no effect unless it is later than the last known state.
        is_missing : bool
            Whether the object was missing at that revision.
        """
        if is_missing and self._desired is None:
            return
        if self._has_called and revision > self._known_revision:
            self._reported_revision = max(self._reported_revision, revision)
            self._verify_reported()

    def check(self) -> None:
        """Read the object, at the price of a stale read, to find a change."""
        if self._has_called and not self._is_call_pending and self.is_settled:
            call = self._store.read(self._kind, self._name)
            call.add_done_callback(self._handle_read)

    def _handle_read(self, future: Future) -> None:
        match future.result():
            case StoredItem(revision=revision):
                # Reported revisions do not count here: the reports may be wrong.
                if revision > (self._last_revision or 0):
                    self._write_again()
            case StoreFailure(kind=FailureKind.NOT_FOUND):
                elapsed_s = self._timers.clock.now() - self._settled_s
                if self._desired is not None and elapsed_s > STALE_READ_S:
                    self._write_again()
            case failure:
                log.info("%s: object not checked: %s", self._name, failure)

    def _verify_reported(self) -> None:
        """Verify the object if a later change was reported, at a limited rate."""
        is_due = self._reported_revision > self._known_revision
        if not is_due or self._is_call_pending or self._verification_timer is not None:
            return
        now = self._timers.clock.now()
        if now < self._next_verification_s:
            self._verification_timer = self._timers.subscribe_once(
                self._next_verification_s - now, self._verify_later
            )
            return
        self._next_verification_s = now + VERIFICATION_INTERVAL_S
        self._write_again()

    def _verify_later(self, _: float) -> None:
        self._verification_timer = None
        self._verify_reported()

    def _write_again(self) -> None:
        if self._has_called:
            self._is_stored_known = False
            self._reconcile()

    def _handle_restoration(self) -> None:
        """Write again now, and once more after delayed writes have been executed."""
        self.verify()
        self._timers.subscribe_once(LATE_WRITE_S, lambda _: self.verify())

    def _reconcile(self) -> None:
        if self._is_call_pending or self.is_settled:
            return
        if self._desired is None and not self._has_called:
            return
        self._is_call_pending = True
        self._has_called = True
        self._called_revision = self._reported_revision
        self._send_write().add_done_callback(self._handle_result)

    def _send_write(self) -> Future:
        if self._desired is None and self._last_revision is not None:
            return self._store.delete(self._kind, self._name, self._last_revision)
        if self._stored is None:
            # A deletion without a known revision also starts with a creation attempt:
            # the conflict contains the revision to delete.
            value = {} if self._desired is None else self._desired
            return self._store.create(self._kind, self._name, value)
        revision = self._stored.revision
        return self._store.replace(self._kind, self._name, self._desired, revision)

    def _handle_result(self, future: Future) -> None:
        self._is_call_pending = False
        match future.result():
            case StoreFailure(kind=FailureKind.CONFLICT, present=StoredItem() as item):
                self._record_found(item)
            case StoreFailure(kind=FailureKind.NOT_FOUND):
                self._record_found(None)
            case StoreFailure() as failure:
                if not self._backoff.failures:
                    log.warning(
                        "%s: publishing failed, retrying: %s", self._name, failure
                    )
                self._is_call_pending = True
                self._timers.subscribe_once(self._backoff.compute_delay(), self._retry)
                return
            case StoredItem() as item:
                self._conflicts = 0
                self._record_stored(item)
            case None:
                self._conflicts = 0
                self._record_stored(None)
        if self._conflicts > MAX_PROMPT_CONFLICTS:
            self._is_call_pending = True
            self._timers.subscribe_once(VERIFICATION_INTERVAL_S, self._retry)
            return
        self._reconcile()
        self._verify_reported()

    def _retry(self, _: float) -> None:
        self._is_call_pending = False
        self._reconcile()

    def _record_found(self, item: StoredItem | None) -> None:
        """Record a stored state that differs from the condition of a write."""
        self._conflicts += 1
        if self._was_settled and not self._is_desired(item):
            self._record_contradiction(item)
        self._record_stored(item)

    def _record_contradiction(self, item: StoredItem | None) -> None:
        self._is_contradicted = True
        self._was_settled = False
        if item is None:
            reason = "missing"
        else:
            reason = "unreadable" if item.value is None else "other"
        self._metrics.count("entry_contradicted", reason)
        log.warning(
            "%s: object changed by another writer",
            self._name,
            extra={
                "reason": reason,
                "revision": item.revision if item else None,
                "found": str(item.value)[:MAX_LOGGED_CHARACTERS] if item else None,
            },
        )

    def _record_stored(self, item: StoredItem | None) -> None:
        if self._backoff.failures:
            log.info("%s: store is reachable", self._name)
        self._backoff.reset()
        log.info(
            "%s: object stored" if item else "%s: no object stored",
            self._name,
            extra={
                "revision": item.revision if item else None,
                "epoch": self._store.epoch.current,
                "is_current": self._is_desired(item),
            },
        )
        self._is_stored_known = True
        self._stored = item
        self._known_revision = max(self._known_revision, self._called_revision)
        if item is not None:
            self._last_revision = item.revision
            self._known_revision = max(self._known_revision, item.revision)
        if self._is_desired(item):
            self._record_settled()

    def _record_settled(self) -> None:
        self._was_settled = True
        self._settled_s = self._timers.clock.now()
        if self._is_contradicted:
            self._is_contradicted = False
            self._metrics.count("entry_written_again")
            log.info(
                "%s: object written again",
                self._name,
                extra={"revision": self._last_revision},
            )

    def _is_desired(self, item: StoredItem | None) -> bool:
        # Content that cannot be read is None as well.
        if item is None or self._desired is None:
            return item is None and self._desired is None
        return item.value == self._desired
