"""Local copy of all objects of one kind, updated by a watch."""

from collections.abc import Callable
from concurrent.futures import Future

from bramleystair.logs import get_logger
from bramleystair.metrics import Metrics
from bramleystair.mirror._epoch import REWRITE_TIMEOUT_S
from bramleystair.mirror._ignored import IgnoredLog
from bramleystair.mirror._retention import (
    ANY_OBJECT,
    ObjectClass,
    abbreviate_names,
    limit_items,
)
from bramleystair.mirror._retries import RetryQueue
from bramleystair.mirror._types import (
    Changes,
    FailureKind,
    IgnoredObjects,
    Listing,
    ObjectStore,
    StoredItem,
    StoreFailure,
)
from bramleystair.timers import TimerService, TimerSubscription

log = get_logger("mirror")

# Minimum time between two watch calls if the first one returned no changes. Normally,
# the store holds such a call open for longer. A store that lags answers it sooner, and
# without this minimum, the mirror would repeat the call immediately each time.
MIN_WATCH_INTERVAL_S = 1.0
# How long the store may wait for new changes in a call that only fetches earlier ones:
# practically not at all.
FETCH_WAIT_S = 0.001
# Time after which a watch that has not returned a change known from a check counts as
# lost. Normally, both return it within milliseconds.
WATCH_GRACE_S = 0.5
# Time after which the objects are listed again if some were left out and others have
# been deleted since.
REFILL_DELAY_S = 10.0
# Minimum interval between calls for confirmations. Confirmations requested within it
# share a call; it is short because callers wait for the confirmation.
CONFIRMATION_INTERVAL_S = 0.15


class Mirror:
    """Maintain a local copy of the objects of one kind.

    The watch may wait for many seconds, and nothing shows that its response was lost
    on a connection that stays open. A second watch with a short wait, the check, finds
    such changes; as a stale read, it costs the store a tenth of other calls. If the
    check fails, both watches are abandoned and the mirror catches up.

    The copy remains available while the store is unreachable. If the store no longer
    has the history since the last update, the objects are listed again. After the store
    was restored from an older copy, objects that it lacks are kept for
    `REWRITE_TIMEOUT_S`, in which their writers write them again.

    The memory of the copy is limited for each class of objects. Above the limit, those
    are kept that `is_known` names, then those whose content can be used, then those
    that are in the copy already. While a listing is read, there are two copies, and
    three after the store was restored.

    Parameters
    ----------
    store : ObjectStore
        Store to list and watch.
    kind : str
        Kind of the objects.
    timers : TimerService
        Runs delayed calls.
    retries : RetryQueue
        Repeats failed calls; shared by all mirrors of a node.
    metrics : Metrics
        Counts objects that are not kept, and failures of `on_change`; shows the size of
        the copy.
    on_change : callable
        Called after each change with the copy, a dict of StoredItem by name.
    batch_delay_s : float
        Delay between a change and the next watch call, which then returns all changes
        made in the meantime.
    allow_stale : bool
        Whether the copy may be a few seconds behind, which reduces the load on the
        store. The watch then serves as the check as well.
    check_period_s : float or None
        Maximum wait of a check; None disables checks.
    classes : tuple of ObjectClass
        Classes of the objects that are kept.
    is_known : callable
        Returns whether the object of a name belongs to something that the node knows
        from elsewhere.
    """

    def __init__(
        self,
        store: ObjectStore,
        kind: str,
        timers: TimerService,
        retries: RetryQueue,
        metrics: Metrics,
        on_change: Callable[[dict[str, StoredItem]], None],
        batch_delay_s: float = 0.0,
        allow_stale: bool = False,
        check_period_s: float | None = None,
        classes: tuple[ObjectClass, ...] = ANY_OBJECT,
        is_known: Callable[[str], bool] = lambda name: False,
    ) -> None:
        self._store = store
        self._kind = kind
        self._timers = timers
        self._retries = retries
        self._metrics = metrics
        self._is_outage_logged = False
        self._on_change = on_change
        self._batch_delay_s = batch_delay_s
        self._allow_stale = allow_stale
        self._check_period_s = check_period_s
        self._classes = classes
        self._is_known = is_known
        self._ignored_log = IgnoredLog(kind, timers, metrics)
        # Whether objects are missing in the copy because of its limits.
        self._is_limited = False
        self._is_listing_limited = False
        self._is_confirming = False
        self._last_confirmation_s = float("-inf")
        self._is_started = False
        self._items: dict[str, StoredItem] = {}
        self._listed_items: dict[str, StoredItem] = {}
        self._listing_revision = 0
        # Whether the copy may be from an earlier epoch of the store: it is that of a
        # peer, or the store was restored since the listing.
        self._is_copy_provisional = False
        # Objects of a provisional copy that the listing lacked.
        self._retained: dict[str, StoredItem] = {}
        self._retention_timer: TimerSubscription | None = None
        # `_revision` comes from the store. `_generation` counts the starts of this
        # mirror and its failures, so that responses to calls made before are ignored.
        self._revision = 0
        self._generation = 0
        # Number of watch calls, so that only the response to the last one is used, and
        # whether it is pending.
        self._watch_count = 0
        self._is_watch_pending = False
        self._pause_timer: TimerSubscription | None = None
        # Callbacks with the times at which they were requested.
        self._pending_confirmations: list[tuple[float, Callable[[], None]]] = []
        # Whether the copy is that of a complete listing or of a peer (see `preload`).
        self.is_complete = False
        self.is_connected = False
        store.epoch.subscribe(self._handle_restoration)

    @property
    def revision(self) -> int:
        """Store revision up to which the copy is known to be complete.

        0 until the first listing has ended, also after `preload`, and until the first
        one after the store was restored.
        """
        return self._revision

    def start(self) -> None:
        """List the objects and then watch them.

        Calls made before are abandoned. The copy, its revision and the pending
        confirmations are kept; `on_change` is called if the listing differs.
        """
        self._is_started = True
        self._abandon_calls()
        self._list("")

    def _abandon_calls(self) -> None:
        """Ignore the responses to pending calls, and cancel delayed calls."""
        self._generation += 1
        self._is_watch_pending = False
        if self._pause_timer is not None:
            self._pause_timer.cancel()
            self._pause_timer = None

    @property
    def classes(self) -> tuple[ObjectClass, ...]:
        """Classes of the objects that are kept."""
        return self._classes

    @property
    def items(self) -> dict[str, StoredItem]:
        """The copied objects by name."""
        return self._items

    def preload(self, items: dict[str, StoredItem]) -> None:
        """Use the copy of a peer until the first listing.

        May be called before or after `start`; calls `on_change`. Has no effect once a
        listing or an earlier preload has completed the copy.
        """
        if self.is_complete:
            return
        self._items = self._limit(items)
        self.is_complete = True
        self._is_copy_provisional = True
        self._report_change()

    def restart(self) -> None:
        """Abandon the pending watch, which may be on a dead connection, and relist.

        May be called at any time after `start`, and keeps what `start` keeps.
        """
        log.info("%s: restarting with a new listing", self._kind)
        self.start()

    def _handle_restoration(self) -> None:
        """List the objects again: a restored store assigns revisions a second time."""
        self._is_copy_provisional = True
        # A first listing in progress is from the current epoch.
        if self._is_started and (self._revision or self._listed_items):
            self._revision = 0
            self.restart()

    def confirm_current(self, on_confirmed: Callable[[], None]) -> None:
        """Call `on_confirmed` once the copy contains all changes made until now.

        May be called at any time; the confirmation waits for the first listing. The
        changes are fetched by a separate call. `on_confirmed` is called once, and not
        while the store is unreachable.
        """
        self._pending_confirmations.append((self._timers.clock.now(), on_confirmed))
        self._schedule_confirmation()

    def _schedule_confirmation(self) -> None:
        """Make a call for the pending confirmations, if none is in progress."""
        if self._is_confirming or not self._pending_confirmations or not self._revision:
            return
        self._is_confirming = True
        elapsed_s = self._timers.clock.now() - self._last_confirmation_s
        if elapsed_s >= CONFIRMATION_INTERVAL_S:
            self._request_confirmation()
            return
        self._timers.subscribe_once(
            CONFIRMATION_INTERVAL_S - elapsed_s, lambda _: self._request_confirmation()
        )

    def _request_confirmation(self) -> None:
        if not self._revision:
            # The store was restored meanwhile; the new listing schedules another call.
            self._is_confirming = False
            return
        self._last_confirmation_s = self._timers.clock.now()
        self._fetch_changes(self._handle_confirmation)

    def _fetch_changes(self, on_done: Callable[[Future, int, float], None]) -> None:
        """Fetch the changes since the last response without waiting for new ones."""
        generation, sent_s = self._generation, self._timers.clock.now()
        future = self._store.watch(self._kind, self._revision, FETCH_WAIT_S, False)
        future.add_done_callback(lambda done: on_done(done, generation, sent_s))

    def _handle_confirmation(
        self, future: Future, generation: int, sent_s: float
    ) -> None:
        self._is_confirming = False
        match future.result():
            case Changes() as changes if generation == self._generation:
                self._apply_changes(changes)
                self._run_confirmations(sent_s)
                self._schedule_confirmation()
            case StoreFailure() as failure if generation == self._generation:
                log.warning("%s: not confirmed: %s", self._kind, failure)
                self._retries.add(self._skip_after_restart(self._schedule_confirmation))
            case _:
                self._schedule_confirmation()

    def _run_confirmations(self, until_s: float) -> None:
        """Run the callbacks requested up to `until_s`."""
        requests, self._pending_confirmations = self._pending_confirmations, []
        for requested_s, callback in requests:
            if requested_s <= until_s:
                callback()
            else:
                self._pending_confirmations.append((requested_s, callback))

    def _list(self, after: str) -> None:
        if not after:
            self._listed_items = {}
            self._is_listing_limited = False
        generation = self._generation
        future = self._store.list_items(self._kind, after)
        future.add_done_callback(
            lambda done: self._handle_page(done, generation, after)
        )

    def _handle_page(self, future: Future, generation: int, after: str) -> None:
        if generation != self._generation:
            return
        match future.result():
            case StoreFailure() as failure:
                self._retry(failure, lambda: self._list(""))
            case Listing(items, revision, has_more, last_name, ignored):
                self._record_ignored(ignored)
                if not after:
                    # The watch starts at the revision of the first page, so that
                    # changes made while later pages are fetched are not missed.
                    self._listing_revision = revision
                self._listed_items.update((item.name, item) for item in items)
                limited = self._limit(self._listed_items)
                self._is_listing_limited |= limited is not self._listed_items
                self._listed_items = limited
                if not has_more:
                    self._finish_listing()
                elif last_name > after:
                    self._list(last_name)
                else:
                    detail = "no object of a page can be read"
                    failure = StoreFailure("list objects", "store", detail)
                    self._retry(failure, lambda: self._list(""))

    def _finish_listing(self) -> None:
        self._record_success()
        self._revision = self._listing_revision
        self._log_losses()
        listed, self._listed_items = self._listed_items, {}
        # That the same objects are now known to be current is a change as well.
        is_changed = self._is_copy_provisional or not self.is_complete
        self._update_retained(listed)
        items = self._limit(self._retained | listed)
        is_changed |= items != self._items
        self._items = items
        self._is_limited = self._is_listing_limited
        self.is_complete = True
        if is_changed:
            self._report_change()
        self._schedule_confirmation()
        self._start_watches()

    def _record_ignored(self, ignored: IgnoredObjects) -> None:
        if ignored.counts:
            self._ignored_log.record(ignored)

    def _limit(self, items: dict[str, StoredItem]) -> dict[str, StoredItem]:
        """Return the items that the limits of the copy permit."""
        limited = limit_items(items, self._classes, self._rank)
        surplus = len(items) - len(limited)
        if surplus:
            example = next(name for name in items if name not in limited)
            self._record_ignored(IgnoredObjects({"surplus": surplus}, example))
        return limited

    def _rank(self, item: StoredItem) -> tuple[bool, bool, bool, str]:
        return (
            not self._is_known(item.name),
            bool(item.problem),
            item.name not in self._items,
            item.name,
        )

    def _report_change(self) -> None:
        """Call `on_change`, whose failure must not end the watch."""
        self._metrics.set_gauge("copied_objects", len(self._items), self._kind)
        size = sum(item.memory_bytes for item in self._items.values())
        self._metrics.set_gauge("copied_bytes", size, self._kind)
        try:
            self._on_change(self._items)
        except Exception:
            self._metrics.count("handler_failed", "change")
            log.exception("%s: error while handling a change", self._kind)

    def _update_retained(self, listed: dict[str, StoredItem]) -> None:
        """Retain the objects that a listing lacks if the copy is provisional.

        Objects that are retained already stay until their time ends.
        """
        candidates = self._items if self._is_copy_provisional else self._retained
        self._retained = {
            name: item for name, item in candidates.items() if name not in listed
        }
        if not self._is_copy_provisional:
            return
        self._is_copy_provisional = False
        if self._retention_timer is not None:
            self._retention_timer.cancel()
        self._retention_timer = self._timers.subscribe_once(
            REWRITE_TIMEOUT_S, lambda _: self._drop_retained()
        )

    def _drop_retained(self) -> None:
        retained, self._retained = self._retained, {}
        if not retained:
            return
        log.info(
            "%s: objects were not written again",
            self._kind,
            extra={"count": len(retained), "missing": abbreviate_names(retained)},
        )
        self._items = {n: item for n, item in self._items.items() if n not in retained}
        self._report_change()

    def _log_losses(self) -> None:
        """Log which objects of the copy a listing lacks or has an older version of."""
        listed = self._listed_items
        missing = [name for name in self._items if name not in listed]
        older = [
            name
            for name, item in self._items.items()
            if name in listed and listed[name].revision < item.revision
        ]
        if missing or older:
            log.info(
                "%s: objects missing or older in the listing",
                self._kind,
                extra={
                    "missing": abbreviate_names(missing),
                    "older": abbreviate_names(older),
                    "count": len(missing) + len(older),
                    "revision": self._listing_revision,
                    "epoch": self._store.epoch.current,
                },
            )

    def _start_watches(self) -> None:
        self._watch()
        if self._check_period_s is not None and not self._allow_stale:
            self._check()

    def _watch(self) -> None:
        generation, sent_s = self._generation, self._timers.clock.now()
        self._pause_timer = None
        self._watch_count += 1
        self._is_watch_pending = True
        count = self._watch_count
        wait_s = self._check_period_s if self._allow_stale else None
        future = self._store.watch(
            self._kind, self._revision, wait_s, self._allow_stale
        )

        def handle(done: Future) -> None:
            if count == self._watch_count:
                self._handle_changes(done, generation, sent_s)

        future.add_done_callback(handle)

    def _check(self) -> None:
        """Look for changes that the watch should have returned."""
        generation, sent_s = self._generation, self._timers.clock.now()
        future = self._store.watch(
            self._kind, self._revision, self._check_period_s, True
        )
        future.add_done_callback(
            lambda done: self._handle_check(done, generation, sent_s)
        )

    def _handle_check(self, future: Future, generation: int, sent_s: float) -> None:
        if generation != self._generation:
            return
        match future.result():
            case Changes() as changes:
                self._record_success()
                is_changed = self._apply_changes(changes)
                if is_changed and self._is_watch_pending:
                    self._expect_watch_response()
                elapsed_s = self._timers.clock.now() - sent_s
                self._schedule(max(0.0, MIN_WATCH_INTERVAL_S - elapsed_s), self._check)
            case StoreFailure() as failure:
                self._handle_watch_failure(failure)

    def _expect_watch_response(self) -> None:
        """Replace the watch unless it returns the change found by a check."""
        count = self._watch_count

        def replace() -> None:
            if count == self._watch_count and self._is_watch_pending:
                log.warning("%s: watch did not return a change", self._kind)
                self._watch()

        self._schedule(WATCH_GRACE_S, replace)

    def _resume_watch(self) -> None:
        """Fetch the changes since the last response, then watch again.

        The mirror does not watch at once after a failure: while the store does not
        respond, a watch call is never answered, and the mirror would wait for its
        timeout, long after the store has recovered.
        """
        self._fetch_changes(self._handle_resumed)

    def _handle_resumed(self, future: Future, generation: int, sent_s: float) -> None:
        if generation != self._generation:
            return
        match future.result():
            case Changes() as changes:
                self._record_success()
                self._apply_changes(changes)
                self._schedule_confirmation()
                self._start_watches()
            case StoreFailure() as failure:
                self._handle_watch_failure(failure)

    def _watch_later(self, delay_s: float) -> None:
        if self._pause_timer is not None:
            self._pause_timer.cancel()
        if delay_s <= 0:
            self._watch()
            return
        self._pause_timer = self._schedule(delay_s, self._watch)

    def _handle_changes(self, future: Future, generation: int, sent_s: float) -> None:
        if generation != self._generation:
            return
        self._is_watch_pending = False
        match future.result():
            case StoreFailure() as failure:
                self._handle_watch_failure(failure)
            case Changes() as changes:
                self._record_success()
                if self._apply_changes(changes):
                    self._watch_later(self._batch_delay_s)
                    return
                elapsed_s = self._timers.clock.now() - sent_s
                self._watch_later(MIN_WATCH_INTERVAL_S - elapsed_s)

    def _handle_watch_failure(self, failure: StoreFailure) -> None:
        """Abandon the watch and the check, and catch up.

        The other call is most likely on a dead connection as well.
        """
        self._abandon_calls()
        if failure.kind is FailureKind.HISTORY_LOST:
            log.warning(
                "%s: history lost at revision %d; listing again",
                self._kind,
                self._revision,
            )
            self._list("")
            return
        if failure.kind is FailureKind.MALFORMED:
            # The history may contain what the list of objects no longer does.
            self._retry(failure, lambda: self._list(""))
            return
        self._retry(failure, self._resume_watch)

    def _apply_changes(self, changes: Changes) -> bool:
        """Apply the events of a response and return whether the copy has changed.

        A response older than the copy is ignored, since it may contain an object
        without the event that deleted it.
        """
        if changes.revision < self._revision:
            return False
        self._revision = changes.revision
        self._record_ignored(changes.ignored)
        is_changed = self._apply_events(changes.events)
        if self._is_limited and any(is_deleted for _, is_deleted in changes.events):
            # There may be room now for objects that were left out.
            self._schedule(REFILL_DELAY_S, self.restart)
        return is_changed

    def _apply_events(self, events: tuple[tuple[StoredItem, bool], ...]) -> bool:
        items = dict(self._items)
        is_changed = False
        for item, is_deleted in events:
            # The revision of a retained object is from an earlier epoch.
            is_retained = self._retained.pop(item.name, None) is not None
            known = items.get(item.name)
            if known is None:
                is_outdated = is_deleted
            else:
                # The check and the watch return the same events.
                is_outdated = not is_retained and (
                    known.revision > item.revision
                    or (known.revision == item.revision and not is_deleted)
                )
            if is_outdated:
                continue
            is_changed = True
            if is_deleted:
                del items[item.name]
            else:
                items[item.name] = item
        if is_changed:
            limited = self._limit(items)
            self._is_limited |= limited is not items
            self._items = limited
            self._report_change()
        return is_changed

    def _record_success(self) -> None:
        self._is_outage_logged = False
        self._retries.record_success()
        if not self.is_connected:
            self.is_connected = True
            log.info("%s: store is reachable", self._kind)

    def _retry(self, failure: StoreFailure, call: Callable[[], None]) -> None:
        if not self._is_outage_logged:
            log.warning("%s: store is lost: %s", self._kind, failure)
        self._is_outage_logged = True
        self.is_connected = False
        self._retries.add(self._skip_after_restart(call))

    def _schedule(self, delay_s: float, call: Callable[[], None]) -> TimerSubscription:
        guarded = self._skip_after_restart(call)
        return self._timers.subscribe_once(delay_s, lambda _: guarded())

    def _skip_after_restart(self, call: Callable[[], None]) -> Callable[[], None]:
        """Return a wrapper of `call` that has no effect after a restart."""
        generation = self._generation

        def run() -> None:
            if generation == self._generation:
                call()

        return run
