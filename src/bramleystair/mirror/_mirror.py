"""Copy of all objects of one kind, kept up to date by a watch."""

from collections.abc import Callable
from concurrent.futures import Future

from bramleystair.logs import get_logger
from bramleystair.mirror._retries import RetryQueue
from bramleystair.mirror._types import (
    Changes,
    FailureKind,
    Listing,
    ObjectStore,
    StoredItem,
    StoreFailure,
)
from bramleystair.timers import Subscription, TimerService

log = get_logger("mirror")

# An answer without changes that comes sooner than this is an old one; the next watch
# waits as long, so that a store that lags is not asked again and again.
MIN_WATCH_S = 1.0
# A call that only brings the copy up to date waits for no change.
CATCH_UP_WAIT_S = 0.001
# Confirmations within this time share a call, which callers wait for.
CATCH_UP_GAP_S = 0.15


class Mirror:
    """Keep a copy of the objects of one kind.

    The last copy is kept while the store is unreachable. After a gap in the history
    the objects are listed again.

    Parameters
    ----------
    store : ObjectStore
        Store to list and watch.
    kind : str
        Kind of the objects.
    timers : TimerService
        Runs the pauses.
    retries : RetryQueue
        Repeats calls that failed; shared by the mirrors of a node.
    on_change : callable
        Called with the copy, a dict of StoredItem by name, after each change.
    batch_delay_s : float
        Pause after a change before the next watch, which then brings all changes made
        meanwhile in one call.
    allow_stale : bool
        Whether the copy may be some seconds behind, which costs the store less.
    """

    def __init__(
        self,
        store: ObjectStore,
        kind: str,
        timers: TimerService,
        retries: RetryQueue,
        on_change: Callable[[dict[str, StoredItem]], None],
        batch_delay_s: float = 0.0,
        allow_stale: bool = False,
    ) -> None:
        self._store = store
        self._kind = kind
        self._timers = timers
        self._retries = retries
        self._is_loss_logged = False
        self._on_change = on_change
        self._batch_delay_s = batch_delay_s
        self._allow_stale = allow_stale
        self._is_catching_up = False
        self._caught_up_s = float("-inf")
        self._items: dict[str, StoredItem] = {}
        self._pages: dict[str, StoredItem] = {}
        self._page_revision = 0
        self._revision = 0
        self._generation = 0
        self._pause: Subscription | None = None
        # Callbacks with the time of their request.
        self._on_confirmed: list[tuple[float, Callable[[], None]]] = []
        self.is_complete = False
        self.is_connected = False

    @property
    def revision(self) -> int:
        """Revision of the store up to which the copy is known to be complete."""
        return self._revision

    def start(self) -> None:
        """Begin to list, then to watch."""
        self._generation += 1
        if self._pause is not None:
            self._pause.cancel()
            self._pause = None
        self._list("")

    @property
    def items(self) -> dict[str, StoredItem]:
        """The copy, by name."""
        return self._items

    def preload(self, items: dict[str, StoredItem]) -> None:
        """Use a peer's copy until the first listing; ignored after it."""
        if self.is_complete:
            return
        self._items = items
        self.is_complete = True
        self._on_change(items)

    def restart(self) -> None:
        """Abandon a waiting watch, which may have gone silent, and list again."""
        log.info("%s: listing again", self._kind)
        self.start()

    def confirm_current(self, on_confirmed: Callable[[], None]) -> None:
        """Call `on_confirmed` once the copy holds all changes made until now.

        The changes are read by a call of their own. While the store is out of reach,
        `on_confirmed` is not called.
        """
        self._on_confirmed.append((self._timers.clock.now(), on_confirmed))
        self._catch_up()

    def _catch_up(self) -> None:
        if self._is_catching_up or not self._on_confirmed or not self._revision:
            return
        self._is_catching_up = True
        elapsed_s = self._timers.clock.now() - self._caught_up_s
        if elapsed_s >= CATCH_UP_GAP_S:
            self._ask_for_changes()
            return
        self._timers.subscribe_once(
            CATCH_UP_GAP_S - elapsed_s, lambda _: self._ask_for_changes()
        )

    def _ask_for_changes(self) -> None:
        self._caught_up_s = self._timers.clock.now()
        self._read_changes(self._take_catch_up)

    def _read_changes(self, take: Callable[[Future, int, float], None]) -> None:
        """Read the changes since the last answer without waiting for one."""
        generation, sent_s = self._generation, self._timers.clock.now()
        future = self._store.watch(self._kind, self._revision, CATCH_UP_WAIT_S, False)
        future.add_done_callback(lambda done: take(done, generation, sent_s))

    def _take_catch_up(self, future: Future, generation: int, sent_s: float) -> None:
        self._is_catching_up = False
        match future.result():
            case Changes(events, revision) if generation == self._generation:
                self._apply_new(events, revision)
                self._report_confirmed(sent_s)
                self._catch_up()
            case StoreFailure() as failure if generation == self._generation:
                log.warning("%s: not confirmed: %s", self._kind, failure)
                self._retries.add(self._guard(self._catch_up))
            case _:
                self._catch_up()

    def _report_confirmed(self, until_s: float) -> None:
        """Answer the requests made until `until_s`."""
        requests, self._on_confirmed = self._on_confirmed, []
        for requested_s, callback in requests:
            if requested_s <= until_s:
                callback()
            else:
                self._on_confirmed.append((requested_s, callback))

    def _list(self, after: str) -> None:
        if not after:
            self._pages = {}
        generation = self._generation
        future = self._store.list_items(self._kind, after)
        future.add_done_callback(lambda done: self._take_page(done, generation))

    def _take_page(self, future: Future, generation: int) -> None:
        if generation != self._generation:
            return
        match future.result():
            case StoreFailure() as failure:
                self._retry(failure, lambda: self._list(""))
            case Listing(items, revision, has_more):
                if not self._pages:
                    # Changes made while pages are read are watched from the first one.
                    self._page_revision = revision
                self._pages.update((item.name, item) for item in items)
                if has_more and items:
                    self._list(items[-1].name)
                    return
                self._finish_listing()

    def _finish_listing(self) -> None:
        self._record_success()
        self._revision = self._page_revision
        is_changed = self._pages != self._items or not self.is_complete
        self._items, self._pages = self._pages, {}
        self.is_complete = True
        if is_changed:
            self._on_change(self._items)
        self._catch_up()
        self._watch()

    def _watch(self) -> None:
        generation, sent_s = self._generation, self._timers.clock.now()
        self._pause = None
        future = self._store.watch(self._kind, self._revision, None, self._allow_stale)
        future.add_done_callback(
            lambda done: self._take_changes(done, generation, sent_s)
        )

    def _resume(self) -> None:
        """Read the changes since the last answer, then watch again.

        A watch that reaches a silent store is never answered, and would be waited for
        long after the store's return.
        """
        self._read_changes(self._take_resumed)

    def _take_resumed(self, future: Future, generation: int, sent_s: float) -> None:
        if generation != self._generation:
            return
        match future.result():
            case Changes(events, revision):
                self._record_success()
                self._apply_new(events, revision)
                self._watch()
            case _:
                self._take_changes(future, generation, sent_s)

    def _watch_later(self, delay_s: float) -> None:
        if self._pause is not None:
            self._pause.cancel()
        if delay_s <= 0:
            self._watch()
            return
        self._pause = self._call_later(delay_s, self._watch)

    def _take_changes(self, future: Future, generation: int, sent_s: float) -> None:
        if generation != self._generation:
            return
        match future.result():
            case StoreFailure(kind=FailureKind.HISTORY_LOST):
                log.warning("%s: history lost at %d", self._kind, self._revision)
                self._list("")
            case StoreFailure() as failure:
                self._retry(failure, self._resume)
            case Changes(events, revision):
                self._record_success()
                if self._apply_new(events, revision):
                    self._watch_later(self._batch_delay_s)
                    return
                elapsed_s = self._timers.clock.now() - sent_s
                self._watch_later(MIN_WATCH_S - elapsed_s)

    def _apply_new(
        self, events: tuple[tuple[StoredItem, bool], ...], revision: int
    ) -> bool:
        """Apply the events of an answer and return whether there were any.

        An answer that is older than the copy is ignored, since it may hold an object
        without the event that deleted it.
        """
        if revision < self._revision:
            return False
        self._revision = revision
        if events:
            self._apply(events)
        return bool(events)

    def _apply(self, events: tuple[tuple[StoredItem, bool], ...]) -> None:
        items = dict(self._items)
        for item, is_deleted in events:
            known = items.get(item.name)
            if known is not None and known.revision > item.revision:
                continue
            if is_deleted:
                items.pop(item.name, None)
            else:
                items[item.name] = item
        self._items = items
        self._on_change(items)

    def _record_success(self) -> None:
        self._is_loss_logged = False
        self._retries.record_success()
        if not self.is_connected:
            self.is_connected = True
            log.info("%s: store is reachable", self._kind)

    def _retry(self, failure: StoreFailure, step: Callable[[], None]) -> None:
        if not self._is_loss_logged:
            log.warning("%s: store is lost: %s", self._kind, failure)
        self._is_loss_logged = True
        self.is_connected = False
        self._retries.add(self._guard(step))

    def _call_later(self, delay_s: float, step: Callable[[], None]) -> Subscription:
        guarded = self._guard(step)
        return self._timers.subscribe_once(delay_s, lambda _: guarded())

    def _guard(self, step: Callable[[], None]) -> Callable[[], None]:
        """Return `step` without effect once the mirror was started anew."""
        generation = self._generation

        def run() -> None:
            if generation == self._generation:
                step()

        return run
