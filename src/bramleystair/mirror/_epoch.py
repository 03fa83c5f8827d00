"""Epoch of the store, which rises each time that the store returns from a copy."""

from collections.abc import Callable

from bramleystair.logs import get_logger

log = get_logger("store")


class StoreEpoch:
    """Track the epoch that the store sends with its responses.

    The store may be restored from a copy that lacks what it acknowledged before. Each
    restoration starts an epoch, in which revisions are assigned again from that of the
    copy. Revisions of different epochs must not be compared.
    """

    def __init__(self) -> None:
        # None until the first response.
        self.current: int | None = None
        self._callbacks: list[Callable[[], None]] = []

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call `callback` whenever a response shows that the store was restored."""
        self._callbacks.append(callback)

    def record(self, epoch: int) -> bool:
        """Record the epoch of a response before the response is used.

        Returns
        -------
        bool
            False if the response is from an earlier epoch and must not be used.
        """
        previous = self.current
        if previous is not None and epoch <= previous:
            return epoch == previous
        self.current = epoch
        if previous is None:
            return True
        log.warning(
            "store was restored from an older copy",
            extra={"epoch": epoch, "previous_epoch": previous},
        )
        for callback in self._callbacks:
            callback()
        return True
