"""Interface of the platform's object store, as used by mirrors and publishers."""

import enum
from collections.abc import Mapping
from concurrent.futures import Future
from typing import Any, Protocol

import attrs

from bramleystair.errors import StepError
from bramleystair.mirror._epoch import StoreEpoch


class FailureKind(enum.StrEnum):
    """Reason of a failed call."""

    UNREACHABLE = "unreachable"
    BUSY = "busy"
    HISTORY_LOST = "history_lost"
    CONFLICT = "conflict"
    NOT_FOUND = "not_found"
    MALFORMED = "malformed"
    OUTDATED = "outdated"


@attrs.frozen
class StoredItem:
    """Object in the store.

    Parameters
    ----------
    revision : int
        Store revision of the last change of the object.
    value : object
        Parsed content; None if it cannot be used.
    problem : str
        Why the content cannot be used; empty if it can.
    memory_bytes : int
        Memory that the object takes while it is kept; 0 if unknown.
    """

    name: str
    revision: int
    value: Any = None
    problem: str = ""
    memory_bytes: int = attrs.field(default=0, eq=False)


@attrs.frozen
class IgnoredObjects:
    """Objects of a response that are not kept.

    Parameters
    ----------
    counts : mapping of str to int
        Their numbers by reason: `unreadable` without a name and revision that can be
        read, `other_name` with a name that the node does not use, `surplus` above the
        limits of their class.
    example : str
        Description of one of them.
    """

    counts: Mapping[str, int] = attrs.field(factory=dict)
    example: str = ""


@attrs.frozen
class Listing:
    """Page of the objects of one kind.

    Parameters
    ----------
    revision : int
        Store revision at which the page was read.
    has_more : bool
        Whether there are further objects after this page.
    last_name : str
        Name of the last object of the page that has one, also if it is not kept.
    ignored : IgnoredObjects
        Objects that are missing in `items`.
    """

    items: tuple[StoredItem, ...]
    revision: int
    has_more: bool = False
    last_name: str = attrs.field()
    ignored: IgnoredObjects = IgnoredObjects()

    @last_name.default
    def _find_last_name(self) -> str:
        return self.items[-1].name if self.items else ""


@attrs.frozen
class Changes:
    """Changes since the revision given in a watch call.

    Parameters
    ----------
    events : tuple of (StoredItem, bool)
        The last change of each changed object, with whether it was deleted.
    ignored : IgnoredObjects
        Objects whose changes are missing in `events`.
    """

    events: tuple[tuple[StoredItem, bool], ...]
    revision: int
    ignored: IgnoredObjects = IgnoredObjects()


@attrs.frozen
class StoreFailure(StepError):
    """Failure of a call; a failed write may nevertheless have taken effect.

    Parameters
    ----------
    present : StoredItem or None
        Stored object, if the call failed with a conflict.
    """

    kind: FailureKind = FailureKind.UNREACHABLE
    present: StoredItem | None = None


class ObjectStore(Protocol):
    """Asynchronous store calls; each future completes on the event loop's thread.

    Attributes
    ----------
    epoch : StoreEpoch
        Epoch of the latest response, recorded before the call's future completes.
    """

    epoch: StoreEpoch

    def set_address(self, address: tuple[str, int]) -> None:
        """Send all further calls to another address."""

    def list_items(self, kind: str, after: str) -> Future:
        """Return a Listing or StoreFailure for the objects after the name `after`."""

    def watch(
        self, kind: str, revision: int, wait_s: float | None, allow_stale: bool
    ) -> Future:
        """Return Changes or StoreFailure after a change or at the end of the wait.

        Parameters
        ----------
        wait_s : float or None
            Maximum wait for a change in seconds; None uses the limit of the store.
        allow_stale : bool
            Whether the response may lack the changes of the last seconds, which reduces
            the load on the store.
        """

    def read(self, kind: str, name: str) -> Future:
        """Return a StoredItem or StoreFailure; may lack the last seconds' changes."""

    def create(self, kind: str, name: str, value: Any) -> Future:
        """Create an object and return a StoredItem or StoreFailure."""

    def replace(self, kind: str, name: str, value: Any, revision: int) -> Future:
        """Replace the object at `revision`; return a StoredItem or StoreFailure."""

    def delete(self, kind: str, name: str, revision: int) -> Future:
        """Delete the object at `revision`; return None or a StoreFailure."""
