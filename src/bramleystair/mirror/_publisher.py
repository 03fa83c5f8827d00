"""Publishing of a node's own object in the store."""

import random as random_module
from concurrent.futures import Future
from typing import Any

from bramleystair.logs import get_logger
from bramleystair.mirror._backoff import Backoff
from bramleystair.mirror._types import (
    FailureKind,
    ObjectStore,
    StoredItem,
    StoreFailure,
)
from bramleystair.timers import TimerService

log = get_logger("publisher")

# A write that got no response may still be executed within this time if its condition
# holds, and a restored store may make the condition of an earlier one hold again.
LATE_WRITE_S = 8.0


class Publisher:
    """Reconcile one object with its desired content, with one call at a time.

    Each write is conditional on the revision that it replaces, so that a delayed write
    cannot overwrite a newer one. If a response is lost, the write is repeated, and the
    resulting conflict contains the stored revision. A write is also repeated after the
    store was restored from an older copy.

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
    """

    def __init__(
        self,
        store: ObjectStore,
        kind: str,
        name: str,
        timers: TimerService,
        random: random_module.Random,
    ) -> None:
        self._store = store
        self._kind = kind
        self._name = name
        self._timers = timers
        self._backoff = Backoff(random)
        self._desired: Any = None
        self._stored: StoredItem | None = None
        # Revision of the object when it was last stored, also after its deletion.
        self._last_revision: int | None = None
        self._is_stored_known = False
        self._is_call_pending = False
        self._has_called = False
        store.epoch.subscribe(self._handle_restoration)

    @property
    def is_settled(self) -> bool:
        """Whether the store is known to contain the desired content."""
        return self._is_stored_known and self._get_stored_value() == self._desired

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
        """
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
                self._record_stored(item)
            case StoreFailure(kind=FailureKind.NOT_FOUND):
                self._record_stored(None)
            case StoreFailure() as failure:
                if not self._backoff.failures:
                    log.warning(
                        "%s: publishing failed, retrying: %s", self._name, failure
                    )
                self._is_call_pending = True
                self._timers.subscribe_once(self._backoff.compute_delay(), self._retry)
                return
            case StoredItem() as item:
                self._record_stored(item)
            case None:
                self._record_stored(None)
        self._reconcile()

    def _retry(self, _: float) -> None:
        self._is_call_pending = False
        self._reconcile()

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
                "is_current": (item.value if item else None) == self._desired,
            },
        )
        self._is_stored_known = True
        self._stored = item
        if item is not None:
            self._last_revision = item.revision

    def _get_stored_value(self) -> Any:
        return None if self._stored is None else self._stored.value
