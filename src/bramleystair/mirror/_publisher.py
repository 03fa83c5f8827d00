"""The node's own object in the store."""

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


class Publisher:
    """Bring one object to a desired content, with one call at a time.

    Each write names the revision that it replaces, so that a write that is executed
    late cannot undo a newer one. After a lost answer the object is written again; the
    conflict tells its revision.

    Parameters
    ----------
    store : ObjectStore
        Store to write to.
    kind, name : str
        The object.
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
        self._present: StoredItem | None = None
        self._is_known = False
        self._is_busy = False
        self._has_called = False

    @property
    def is_settled(self) -> bool:
        """Whether the store is known to hold the desired content."""
        return self._is_known and self._get_value() == self._desired

    def publish(self, value: Any) -> None:
        """Set the desired content; None deletes the object."""
        self._desired = value
        self._proceed()

    def remove(self) -> None:
        """Delete the object, also one that a former process has written."""
        self._has_called = True
        self.publish(None)

    def _proceed(self) -> None:
        if self._is_busy or self.is_settled:
            return
        if self._desired is None and not self._has_called:
            return
        self._is_busy = True
        self._has_called = True
        self._call().add_done_callback(self._take_result)

    def _call(self) -> Future:
        if self._present is None:
            # Deleting starts here, too: the conflict tells the revision to delete.
            value = {} if self._desired is None else self._desired
            return self._store.create(self._kind, self._name, value)
        revision = self._present.revision
        if self._desired is None:
            return self._store.delete(self._kind, self._name, revision)
        return self._store.replace(self._kind, self._name, self._desired, revision)

    def _take_result(self, future: Future) -> None:
        self._is_busy = False
        match future.result():
            case StoreFailure(kind=FailureKind.CONFLICT, present=StoredItem() as item):
                self._record(item)
            case StoreFailure(kind=FailureKind.NOT_FOUND):
                self._record(None)
            case StoreFailure() as failure:
                if not self._backoff.failures:
                    log.warning("%s is not published: %s", self._name, failure)
                self._is_busy = True
                self._timers.subscribe_once(self._backoff.compute_delay(), self._retry)
                return
            case StoredItem() as item:
                self._record(item)
            case None:
                self._record(None)
        self._proceed()

    def _retry(self, _: float) -> None:
        self._is_busy = False
        self._proceed()

    def _record(self, item: StoredItem | None) -> None:
        if self._backoff.failures:
            log.info("%s: store is reachable", self._name)
        self._backoff.reset()
        self._is_known = True
        self._present = item

    def _get_value(self) -> Any:
        return None if self._present is None else self._present.value
