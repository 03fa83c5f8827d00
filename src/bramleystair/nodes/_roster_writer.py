"""Writing of the rosters by a balancer."""

import random as random_module
from collections import deque
from collections.abc import Callable
from concurrent.futures import Future

from bramleystair.logs import LogLimit, get_logger
from bramleystair.metrics import Metrics
from bramleystair.mirror import (
    Backoff,
    FailureKind,
    ObjectStore,
    StoredItem,
    StoreFailure,
)
from bramleystair.steering.balancer import (
    Members,
    Roster,
    RosterChange,
    RosterCopy,
    RosterSchedule,
    decode_roster_copy,
    is_roster_name,
    parse_roster_name,
)
from bramleystair.timers import Clock

log = get_logger("roster")


class RosterWriter:
    """Read the objects of the rosters, and write those that are out of date.

    The writes of a round follow each other. Each is conditional on the revision that it
    replaces. A conflict shows that another balancer writes at the same time, so it ends
    the round, unless the stored content is the one that was to be written: then it is
    that of an earlier write whose response was lost.

    Parameters
    ----------
    store : ObjectStore
        Store to write to.
    kind : str
        Kind of the objects.
    port : int
        Port at which all agents receive messages.
    members : Members
        Members to name.
    schedule : RosterSchedule
        Chooses the times of the writes.
    clock : Clock
        Time of the node's loop.
    random : random.Random
        Source of the jitter.
    metrics : Metrics
        Counts written objects, conflicts and objects that cannot be read.
    may_write : callable
        Returns whether this balancer knows at the given time what to write.
    on_change : callable
        Called after a response showed an object before the balancer's watch did.
    """

    def __init__(
        self,
        store: ObjectStore,
        kind: str,
        port: int,
        members: Members,
        schedule: RosterSchedule,
        clock: Clock,
        random: random_module.Random,
        metrics: Metrics,
        may_write: Callable[[float], bool],
        on_change: Callable[[], None],
    ) -> None:
        self._store = store
        self._kind = kind
        self._port = port
        self._members = members
        self._schedule = schedule
        self._clock = clock
        self._metrics = metrics
        self._may_write = may_write
        self._on_change = on_change
        self._backoff = Backoff(random)
        self._ignored_log = LogLimit(clock)
        self._retry_s = float("-inf")
        self._items: dict[str, StoredItem] = {}
        self._copies: dict[str, RosterCopy] = {}
        # Objects of responses to writes that the watch has not returned yet.
        self._found: dict[str, StoredItem] = {}
        self._latest_revision = 0
        self._generation = -1
        self._round: deque[RosterChange] = deque()
        self._is_call_pending = False
        self._written: list[str] = []
        store.epoch.subscribe(self.forget)

    def forget(self) -> None:
        """Forget revisions, since another store or a restored one assigns its own."""
        self._found.clear()

    def read(self, items: dict[str, StoredItem], revision: int) -> Roster:
        """Return the roster in a copy of the store's objects.

        Parameters
        ----------
        items : dict of str to StoredItem
            All objects of the kind.
        revision : int
            Store revision up to which they are known; 0 if they are a peer's.
        """
        for name, item in list(self._found.items()):
            if item.revision <= revision:
                del self._found[name]
        present = {name: items[name] for name in items if is_roster_name(name)}
        present |= self._found
        self._copies = {
            name: self._decode(item)
            if self._items.get(name) != item
            else self._copies[name]
            for name, item in present.items()
        }
        self._items = present
        self._latest_revision = max((i.revision for i in items.values()), default=0)
        copies = {parse_roster_name(name): c for name, c in self._copies.items()}
        epoch = self._store.epoch.current or 0
        return Roster(copies, revision, epoch, self._port)

    def _decode(self, item: StoredItem) -> RosterCopy:
        result = decode_roster_copy(item.name, item.value, item.revision, self._port)
        if result.is_ok():
            return result.unwrap()
        self._metrics.count("object_ignored", "roster")
        if self._ignored_log.permits():
            log.warning(
                "%s ignored: %s",
                item.name,
                item.problem or result.unwrap_err(),
                extra={"revision": item.revision},
            )
        return RosterCopy(item.revision)

    def run(self, now: float) -> None:
        """Start to write the objects that are due."""
        if self._generation != self._members.roster_generation:
            self._generation = self._members.roster_generation
            changes = self._members.list_roster_changes()
            self._schedule.set_changes(
                changes,
                self._latest_revision,
                max((copy.revision for copy in self._copies.values()), default=0),
                self._members.writes_roster(),
                now,
            )
        if self._is_call_pending or now < self._retry_s:
            return
        due = self._schedule.list_due(now)
        if due and self._may_write(now):
            self._round.extend(due)
            self._write_next()

    def _write_next(self) -> None:
        change = self._round.popleft()
        self._is_call_pending = True
        self._schedule.record_write(change.name, self._clock.now())
        self._send(change).add_done_callback(
            lambda done: self._handle_result(done, change)
        )

    def _send(self, change: RosterChange) -> Future:
        if change.revision is None:
            return self._store.create(self._kind, change.name, change.value)
        if change.value is None:
            return self._store.delete(self._kind, change.name, change.revision)
        return self._store.replace(
            self._kind, change.name, change.value, change.revision
        )

    def _handle_result(self, future: Future, change: RosterChange) -> None:
        self._is_call_pending = False
        match future.result():
            case StoredItem() as item:
                self._record_written(change, item)
            case None:
                self._record_written(change, None)
            case StoreFailure(kind=FailureKind.CONFLICT, present=StoredItem() as item):
                # The name of the writer tells this balancer's own writes from others.
                if item.value == change.value:
                    self._record_written(change, item)
                else:
                    self._handle_conflict(item)
            case StoreFailure(kind=FailureKind.NOT_FOUND):
                # The watch shows what became of the object.
                self._end_round()
            case StoreFailure() as failure:
                log.warning("%s not written: %s", change.name, failure)
                self._retry_s = self._clock.now() + self._backoff.compute_delay()
                self._end_round()

    def _record_written(self, change: RosterChange, item: StoredItem | None) -> None:
        self._backoff.reset()
        self._metrics.count("roster_written", change.reason)
        self._written.append(change.reason)
        if item is not None:
            self._found[item.name] = item
        if self._round:
            self._write_next()
        else:
            self._end_round()

    def _handle_conflict(self, item: StoredItem) -> None:
        self._backoff.reset()
        self._metrics.count("roster_conflict", "other_writer")
        self._found[item.name] = item
        self._schedule.postpone(self._clock.now())
        self._end_round()

    def _end_round(self) -> None:
        self._round.clear()
        self._log_round()
        self._on_change()

    def _log_round(self) -> None:
        reasons, self._written = self._written, []
        if reasons:
            log.info(
                "roster written",
                extra={
                    "reason": " ".join(sorted(set(reasons))),
                    "copies": len(reasons),
                    "members": len(self._members),
                },
            )
