"""Epoch of the store, which rises each time that the store returns from a copy."""

from collections.abc import Callable

from bramleystair.logs import get_logger

log = get_logger("store")

# Epoch of a store that was never restored.
FIRST_EPOCH = 1
# Time after which an object that a restored store lacks, and that nobody has written
# again, counts as gone. Writers are back within 2 s of the store's return, and a node
# notices the return up to 0.8 s late (see `Backoff`).
REWRITE_TIMEOUT_S = 3.0


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
        """Call `callback` whenever a response shows that the store was restored.

        The first response shows it as well if that was before this process started, as
        it may have been just before.
        """
        self._callbacks.append(callback)

    def forget(self) -> None:
        """Forget the epoch, since another store counts its own."""
        self.current = None

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
        if previous is None and epoch <= FIRST_EPOCH:
            return True
        log.warning(
            "store was restored from an older copy",
            extra={"epoch": epoch, "previous_epoch": previous},
        )
        for callback in self._callbacks:
            callback()
        return True
