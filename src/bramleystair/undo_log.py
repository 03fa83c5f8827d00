"""Log with which stand-ins and models of a store return to an earlier state."""

import collections
from typing import Any

import attrs


@attrs.frozen
class _Undo:
    """State of an object before a write at `time_s`."""

    time_s: float
    key: str
    item: Any
    lease_expiry_s: float | None


class UndoLog:
    """Earlier states of the objects and leases of a store.

    Parameters
    ----------
    length : int or None
        Number of writes that can be reverted; None for all of them.
    """

    def __init__(self, length: int | None = None) -> None:
        self._entries: collections.deque[_Undo] = collections.deque(maxlen=length)

    def record(
        self, now: float, key: str, items: dict[str, Any], leases: dict[str, float]
    ) -> None:
        """Record the state of object `key` before it is written or deleted."""
        self._entries.append(_Undo(now, key, items.get(key), leases.get(key)))

    def find_last_write(self, key: str) -> float | None:
        """Return the time of the last write of `key`, or None if it is not recorded."""
        times_s = (e.time_s for e in reversed(self._entries) if e.key == key)
        return next(times_s, None)

    def revert(
        self, cutoff_s: float, items: dict[str, Any], leases: dict[str, float]
    ) -> list[tuple[str, Any]]:
        """Revert the writes after `cutoff_s`, the newest first.

        Returns
        -------
        list of (str, object)
            Key of each reverted write and what it had stored, None for a deletion.
        """
        reverted = []
        while self._entries and self._entries[-1].time_s > cutoff_s:
            entry = self._entries.pop()
            reverted.append((entry.key, items.get(entry.key)))
            _set_or_remove(items, entry.key, entry.item)
            _set_or_remove(leases, entry.key, entry.lease_expiry_s)
        return reverted


def _set_or_remove(values: dict[str, Any], key: str, value: Any) -> None:
    if value is None:
        values.pop(key, None)
    else:
        values[key] = value
