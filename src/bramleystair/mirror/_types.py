"""What mirrors and publishers need of the platform's object store."""

import enum
from concurrent.futures import Future
from typing import Any, Protocol

import attrs

from bramleystair.errors import StepError


class FailureKind(enum.StrEnum):
    """What is known of a failed call."""

    UNREACHABLE = "unreachable"
    BUSY = "busy"
    HISTORY_LOST = "history_lost"
    CONFLICT = "conflict"
    NOT_FOUND = "not_found"
    MALFORMED = "malformed"


@attrs.frozen
class StoredItem:
    """One object of the store.

    Parameters
    ----------
    revision : int
        Revision of its last change.
    value : object
        Its content as parsed.
    """

    name: str
    revision: int
    value: Any = None


@attrs.frozen
class Listing:
    """A page of the objects of one kind.

    Parameters
    ----------
    revision : int
        Revision of the store at which the page was read.
    has_more : bool
        Whether further objects follow the last one.
    """

    items: tuple[StoredItem, ...]
    revision: int
    has_more: bool = False


@attrs.frozen
class Changes:
    """Changes since a watched revision.

    Parameters
    ----------
    events : tuple of (StoredItem, bool)
        Objects in the order of their changes, and whether each was deleted.
    """

    events: tuple[tuple[StoredItem, bool], ...]
    revision: int


@attrs.frozen
class StoreFailure(StepError):
    """A call that failed; a write may have taken effect all the same.

    Parameters
    ----------
    present : StoredItem or None
        The object as it is, after a conflict.
    """

    kind: FailureKind = FailureKind.UNREACHABLE
    present: StoredItem | None = None


class ObjectStore(Protocol):
    """Calls of the store; each future is completed on the loop's thread."""

    def set_address(self, address: tuple[str, int]) -> None:
        """Make further calls at another address."""

    def list_items(self, kind: str, after: str) -> Future:
        """Return a page, as Listing or StoreFailure, after the name `after`."""

    def watch(
        self, kind: str, revision: int, wait_s: float | None, allow_stale: bool
    ) -> Future:
        """Return Changes or StoreFailure once there is a change, or after a while.

        Parameters
        ----------
        wait_s : float or None
            Longest wait for a change; the store's own limit by default.
        allow_stale : bool
            Whether the answer may lack the changes of the last seconds, which costs the
            store less.
        """

    def create(self, kind: str, name: str, value: Any) -> Future:
        """Create an object; StoredItem or StoreFailure."""

    def replace(self, kind: str, name: str, value: Any, revision: int) -> Future:
        """Replace an object of the given revision; StoredItem or StoreFailure."""

    def delete(self, kind: str, name: str, revision: int) -> Future:
        """Delete an object of the given revision; StoredItem or StoreFailure."""
