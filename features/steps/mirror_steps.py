import random
from concurrent.futures import Future

import attrs
from behave import given, then, when

from bramleystair.metrics import Metrics
from bramleystair.mirror import (
    Changes,
    FailureKind,
    Listing,
    Mirror,
    Publisher,
    RetryQueue,
    StoredItem,
    StoreEpoch,
    StoreFailure,
)
from bramleystair.mirror._mirror import FETCH_WAIT_S
from bramleystair.timers import ManualClock, TimerService

KIND, NAME = "members", "m"


def complete(value):
    future = Future()
    future.set_result(value)
    return future


def fail(kind=FailureKind.UNREACHABLE, present=None):
    return StoreFailure("call", "store", kind.value, kind, present)


@attrs.define
class FakeStore:
    """In-memory object store that answers immediately unless configured otherwise."""

    timers: TimerService
    page_size: int = 100
    items: dict = attrs.field(factory=dict)
    history: list = attrs.field(factory=list)
    revision: int = 5
    oldest_revision: int = 0
    is_up: bool = True
    pending_watches: list = attrs.field(factory=list)
    # For each watch, whether it was a stale read.
    watches: list = attrs.field(factory=list)
    writes: int = 0
    reads: int = 0
    lost_write: str = ""
    write_delay_s: float = 0.0
    # Whether another writer replaces the object before each write.
    is_contended: bool = False
    delayed_listing: Future | None = None
    # Revision up to which stale reads see changes, and the number of stale reads.
    stale_revision: int | None = None
    stale_reads: int = 0
    catch_up_calls: int = 0
    refused: int = 0
    is_unresponsive: bool = False
    # Time until which responses are lost on connections that stay open.
    lost_until_s: float = 0.0
    epoch: StoreEpoch = attrs.field(factory=StoreEpoch)
    # Number sent with each response; `epoch` records it at the client.
    current_epoch: int = 1

    def respond(self, value):
        self.epoch.record(self.current_epoch)
        return complete(value)

    def restore(self, revision):
        """Return to the state at `revision`."""
        self.history = [e for e in self.history if e[0].revision <= revision]
        self.items = {}
        for item, is_deleted in self.history:
            if is_deleted:
                del self.items[item.name]
            else:
                self.items[item.name] = item
        self.revision = revision
        self.current_epoch += 1

    def list_items(self, kind, after):
        if self.delayed_listing is not None:
            listing, self.delayed_listing = self.delayed_listing, None
            return listing
        if not self.is_up:
            return self.refuse()
        names = sorted(name for name in self.items if name > after)
        items = tuple(self.items[name] for name in names[: self.page_size])
        return self.respond(Listing(items, self.revision, len(names) > self.page_size))

    def watch(self, kind, revision, wait_s=None, allow_stale=False):
        self.watches.append(allow_stale)
        if not self.is_up:
            return self.refuse()
        if not self.oldest_revision <= revision <= self.revision:
            return self.respond(fail(FailureKind.HISTORY_LOST))
        if allow_stale and self.stale_revision is not None:
            self.stale_reads += 1
            return self.respond(self.build_stale_changes(revision))
        self.catch_up_calls += wait_s is not None
        if self.is_unresponsive:
            return self.time_out_later(20.0 if wait_s is None else 1.5)
        return self.start_watch(revision, wait_s)

    def start_watch(self, revision, wait_s):
        future = Future()
        timeout_s = 20.0 if wait_s is None else wait_s + 1.5

        def time_out(_):
            if not future.done():
                future.set_result(fail())

        self.timers.subscribe_once(timeout_s, time_out)
        self.pending_watches.append((revision, future))
        if self.get_events(revision) or wait_s == FETCH_WAIT_S:
            self.answer_watch(revision, future)
        else:
            self.timers.subscribe_once(
                18.0 if wait_s is None else wait_s,
                lambda _: self.answer_watch(revision, future),
            )
        return future

    def answer_watch(self, revision, future):
        """Answer a pending watch, or lose the response."""
        if (revision, future) not in self.pending_watches:
            return
        self.pending_watches.remove((revision, future))
        if self.timers.clock.now() < self.lost_until_s or future.done():
            return
        self.epoch.record(self.current_epoch)
        future.set_result(Changes(self.get_events(revision), self.revision))

    def time_out_later(self, timeout_s):
        future = Future()
        self.timers.subscribe_once(timeout_s, lambda _: future.set_result(fail()))
        return future

    def refuse(self):
        self.refused += 1
        return complete(fail())

    def build_stale_changes(self, revision):
        events = self.get_events(revision)
        visible = tuple(e for e in events if e[0].revision <= self.stale_revision)
        return Changes(visible, self.stale_revision)

    def get_events(self, revision):
        return tuple(event for event in self.history if event[0].revision > revision)

    def read(self, kind, name):
        self.reads += 1
        item = self.items.get(name)
        return self.respond(fail(FailureKind.NOT_FOUND) if item is None else item)

    def create(self, kind, name, value):
        return self.write(name, value, lambda: name not in self.items)

    def replace(self, kind, name, value, revision):
        return self.write(name, value, lambda: self.has_revision(name, revision))

    def delete(self, kind, name, revision):
        return self.write(name, None, lambda: self.has_revision(name, revision))

    def has_revision(self, name, revision):
        return name in self.items and self.items[name].revision == revision

    def write(self, name, value, condition):
        if not self.is_up:
            return complete(fail())
        self.writes += 1
        lost_write, self.lost_write = self.lost_write, ""
        write_delay_s, self.write_delay_s = self.write_delay_s, 0.0
        if lost_write == "not executed":
            return complete(fail())
        if self.is_contended:
            self.put(name, {"state": "theirs"})
        if write_delay_s:
            self.timers.subscribe_once(
                write_delay_s, lambda _: self.execute(name, value, condition)
            )
            return complete(fail())
        answer = self.execute(name, value, condition)
        return complete(fail()) if lost_write else self.respond(answer)

    def execute(self, name, value, condition):
        if not condition():
            present = self.items.get(name)
            kind = FailureKind.CONFLICT if present else FailureKind.NOT_FOUND
            return fail(kind, present)
        return self.put(name, value)

    def put(self, name, value):
        self.revision += 1
        item = StoredItem(name, self.revision, value)
        self.history.append((item, value is None))
        if value is None:
            del self.items[name]
        else:
            self.items[name] = item
        self.answer_watches()
        return None if value is None else item

    def answer_watches(self):
        for revision, future in list(self.pending_watches):
            self.answer_watch(revision, future)


def create_store(context, **options):
    context.clock = ManualClock()
    context.timers = TimerService(context.clock)
    context.store = FakeStore(context.timers, **options)


@given("a store with members a and b")
def create_small_store(context):
    create_store(context)
    for name in ("a", "b"):
        context.store.put(name, {"name": name})


@given("a store with {count:d} members on pages of {page_size:d}")
def create_paged_store(context, count, page_size):
    create_store(context, page_size=page_size)
    for number in range(count):
        context.store.put(f"m{number}", {})


@given("a mirror of the members that has started")
def start_mirror(context):
    context.copy = {}

    def take(items):
        context.copy = dict(items)

    context.retries = RetryQueue(context.timers, random.Random(1))
    context.mirror = create_mirror(context, take)
    context.mirror.start()


def create_mirror(context, take, **options):
    context.metrics = Metrics({})
    return Mirror(
        context.store,
        KIND,
        context.timers,
        context.retries,
        context.metrics,
        take,
        **options,
    )


@given("a mirror of the members that checks its {reads} watch every {period:d} s")
def start_checking_mirror(context, reads, period):
    context.copies = []
    context.retries = RetryQueue(context.timers, random.Random(1))
    context.mirror = create_mirror(
        context,
        context.copies.append,
        allow_stale=reads == "stale",
        check_period_s=period,
    )
    context.mirror.start()


@when("responses to the mirror are lost for {seconds:f} s")
def lose_responses(context, seconds):
    context.store.lost_until_s = context.clock.now() + seconds


@when("the response to the watch is lost while {name} is added")
def lose_watch_response(context, name):
    (_, future), *_ = context.store.pending_watches
    context.store.pending_watches = [
        entry for entry in context.store.pending_watches if entry[1] is not future
    ]
    context.store.put(name, {"name": name})


@then("it holds {names} at most {limit:f} s after the {start}")
def check_change_delay(context, names, limit, start):
    changed_s = context.clock.now()
    start_s = max(changed_s, context.store.lost_until_s)
    expected = names.replace(" and ", ", ").split(", ")
    while sorted(context.mirror.items) != expected:
        assert context.clock.now() < start_s + limit, sorted(context.mirror.items)
        advance(context, 0.01)


@then("it reported {count:d} changes of the copy")
def check_change_count(context, count):
    assert len(context.copies) == count, context.copies


@then("the store got {fresh:d} watches, and at most {stale:d} stale ones")
def check_watch_calls(context, fresh, stale):
    calls = context.store.watches
    assert calls.count(False) == fresh, calls
    assert 0 < calls.count(True) <= stale, calls


@when("the store stops responding and the mirror's watch times out")
def stop_responding(context):
    context.store.is_unresponsive = True
    pending_watches, context.store.pending_watches = context.store.pending_watches, []
    for _, future in pending_watches:
        future.set_result(fail())


@when("the store responds again")
def resume_responding(context):
    context.store.is_unresponsive = False


@given("two more mirrors on the same node")
def start_more_mirrors(context):
    context.other_copies = [{}, {}]
    for copy in context.other_copies:
        create_mirror(context, copy.update).start()


@given("a retry queue with two calls, the first of which gets no response")
def create_retry_queue(context):
    create_store(context)
    context.retried = []
    retries = RetryQueue(context.timers, random.Random(1))
    retries.add(lambda: context.retried.append("first"))
    retries.add(lambda: context.retried.append("second"))


@then("both calls were retried once")
def check_retried(context):
    assert context.retried == ["first", "second"], context.retried


@then("the store refused at most {count:d} calls")
def check_refused(context, count):
    assert 0 < context.store.refused <= count, context.store.refused


@then("all three mirrors hold {names}")
def check_all_mirrors(context, names):
    expected = names.replace(" and ", ", ").split(", ")
    for copy in (context.copy, *context.other_copies):
        assert sorted(copy) == expected, copy


@given("a mirror of the members with a batch delay of 1 s")
def start_batching_mirror(context):
    start_mirror(context)
    context.mirror._batch_delay_s = 1.0


@given("a mirror of the members that allows stale reads")
def start_stale_mirror(context):
    start_mirror(context)
    context.mirror._allow_stale = True
    context.mirror.restart()


@when("stale reads no longer include new changes")
def stop_updating_stale_reads(context):
    context.store.stale_revision = context.store.revision
    answer_pending_stale(context)


def answer_pending_stale(context):
    store = context.store
    pending_watches, store.pending_watches = store.pending_watches, []
    for revision, future in pending_watches:
        future.set_result(store.build_stale_changes(revision))


@when("the pending watch is answered with the state before {name} was deleted")
def answer_with_earlier_state(context, name):
    store = context.store
    store.stale_revision = next(
        item.revision for item, is_deleted in store.history if item.name == name
    )
    answer_pending_stale(context)


@when("{name} is added and deleted while no watch is answered")
def add_and_delete(context, name):
    pending_watches, context.store.pending_watches = context.store.pending_watches, []
    add(context, name)
    delete(context, name)
    context.store.pending_watches = pending_watches


@then("the store got at most {count:d} stale reads")
def check_stale_reads(context, count):
    assert 0 < context.store.stale_reads <= count, context.store.stale_reads


@when("the mirror is restarted")
def restart_mirror(context):
    # The listing is delayed, so that a confirmation is requested while it is pending.
    store = context.store
    store.delayed_listing = listing = Future()
    context.mirror.restart()

    def answer(_):
        listing.set_result(store.list_items(KIND, "").result())

    context.timers.subscribe_once(0.5, answer)


@then("the store has {count:d} pending watch besides abandoned ones")
def check_watches(context, count):
    assert len(context.store.pending_watches) == count, context.store.pending_watches


@when("a confirmation of the copy is requested")
def request_confirmation(context):
    context.confirmed = []
    context.mirror.confirm_current(
        lambda: context.confirmed.append(sorted(context.copy))
    )


@when("{count:d} confirmations of the copy are requested within 1 s")
def request_confirmations(context, count):
    context.confirmed = []
    for _ in range(count):
        context.mirror.confirm_current(lambda: context.confirmed.append(1))
        advance(context, 0.01)
    advance(context, 0.2)


@then("the copy is confirmed {count:d} times with at most {calls:d} calls")
def check_confirmation_count(context, count, calls):
    assert len(context.confirmed) == count
    assert context.store.catch_up_calls <= calls, context.store.catch_up_calls


@then("the copy is not confirmed yet")
def check_unconfirmed(context):
    assert not context.confirmed


@then("the confirmed copy holds {names}")
def check_confirmed(context, names):
    expected = sorted(names.replace(" and ", ", ").split(", "))
    assert context.confirmed == [expected], context.confirmed


@when("{seconds:f} s pass at the mirror")
def advance(context, seconds):
    for _ in range(round(seconds * 100)):
        context.clock.advance(0.01)
        context.timers.run_due()


@given("an empty store and a publisher")
def create_publisher(context):
    create_store(context)
    context.initial_revision = context.store.revision
    context.store.respond(None)
    context.metrics = Metrics({})
    context.publisher = Publisher(
        context.store,
        KIND,
        NAME,
        context.timers,
        random.Random(1),
        context.metrics,
    )


@when("{name} is added to the store")
def add(context, name):
    context.store.put(name, {"name": name})


@when("{name} is deleted from the store")
def delete(context, name):
    context.store.put(name, None)


@when("the store loses its history while a is deleted and c is added")
def lose_history(context):
    store = context.store
    pending_watches, store.pending_watches = store.pending_watches, []
    store.put("a", None)
    store.put("c", {})
    store.oldest_revision = store.revision
    for _, future in pending_watches:
        future.set_result(fail(FailureKind.HISTORY_LOST))


@when("the store is down")
def stop_store(context):
    context.store.is_up = False
    pending_watches, context.store.pending_watches = context.store.pending_watches, []
    for _, future in pending_watches:
        future.set_result(fail())


@when("the store is up again with c added")
def restart_store_changed(context):
    context.store.is_up = True
    context.store.put("c", {})


@when("the store is up again")
def restart_store(context):
    context.store.is_up = True


@when("the store's clock advances by {seconds:d} s")
def pass_time(context, seconds):
    for _ in range(seconds * 100):
        context.clock.advance(0.01)
        context.timers.run_due()


@when("the store loses the response to a write that was {execution}")
def lose_response(context, execution):
    context.store.lost_write = execution


@when("the store executes a write only after {seconds:d} s")
def delay_write(context, seconds):
    context.store.write_delay_s = seconds


@when("it publishes {value}")
def publish(context, value):
    context.publisher.publish(None if value == "nothing" else {"state": value})


@when("another process has published {value}")
def publish_other(context, value):
    context.store.put(NAME, {"state": value})


@then("the mirror holds {names}")
def check_mirror(context, names):
    if names.endswith(" members"):
        assert len(context.copy) == int(names.split()[0]), context.copy
        return
    expected = names.replace(" and ", ", ").split(", ")
    assert sorted(context.copy) == expected, context.copy


@then("the store holds {value}")
def check_store(context, value):
    item = context.store.items.get(NAME)
    if value == "nothing":
        assert item is None, item
        return
    assert item is not None
    assert item.value == {"state": value}, item


@then("the store took at most {count:d} writes")
def check_most_writes(context, count):
    assert 0 < context.store.writes <= count, context.store.writes


@then("the store took {count:d} writes")
def check_writes(context, count):
    assert context.store.writes == count, context.store.writes


@then("the publisher is settled")
def check_settled(context):
    assert context.publisher.is_settled


@when("the store is restored to the state before {name} was added")
def restore_before(context, name):
    store = context.store
    added = next(item for item, _ in store.history if item.name == name)
    store.restore(added.revision - 1)


@when("the store is restored to the state in which it held {value}")
def restore_value(context, value):
    store = context.store
    spec = None if value == "nothing" else {"state": value}
    held = next(
        (item.revision for item, _ in store.history if item.value == spec),
        context.initial_revision,
    )
    store.restore(held)


@when("another call shows that the store was restored")
def notice_restoration(context):
    context.store.respond(None)


@when("{name} is added to the restored store")
def add_unwatched(context, name):
    # The watches of the previous epoch are not answered any more.
    context.store.pending_watches.clear()
    context.store.put(name, {"name": name})


@when("another writer {changes} its object")
def change_object(context, changes):
    value = {"replaces": {"state": "theirs"}, "adds": {}, "breaks": {"a": 1}}
    context.store.put(NAME, value.get(changes))
    if changes == "breaks":
        # Content that cannot be read is None.
        item = context.store.items[NAME]
        context.store.items[NAME] = attrs.evolve(item, value=None)


@when("another writer {changes} its object and it is told")
def change_object_and_tell(context, changes):
    change_object(context, changes)
    tell(context)


def tell(context):
    is_missing = NAME not in context.store.items
    context.publisher.handle_change(context.store.revision, is_missing)


@when("it is told of each change so far")
def tell_all(context):
    for item, is_deleted in context.store.history:
        context.publisher.handle_change(item.revision, is_deleted)


@when("another writer replaces its object before each write")
def contend(context):
    context.store.is_contended = True


@when("the other writer stops")
def end_contention(context):
    context.store.is_contended = False


@when("it is told of a change at revision {revision:d}")
def tell_revision(context, revision):
    context.publisher.handle_change(revision)


@when("the publisher checks its object")
def check_object(context):
    context.publisher.check()


@when(
    "another writer replaces its object {count:d} times in {seconds:d} s and it is "
    "told each time"
)
def fight(context, count, seconds):
    for _ in range(count):
        change_object_and_tell(context, "replaces")
        advance(context, seconds / count)


@then(
    "the publisher has counted {count:d} contradiction, {reason}, and {writes:d} "
    "repeated write"
)
def check_publisher_counters(context, count, reason, writes):
    counts = context.metrics._counts
    assert counts["entry_contradicted", reason] == count, counts
    assert counts["entry_written_again", ""] == writes, counts
