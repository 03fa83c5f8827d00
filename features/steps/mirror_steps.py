import random
from concurrent.futures import Future

import attrs
from behave import given, then, when

from bramleystair.mirror import (
    Changes,
    FailureKind,
    Listing,
    Mirror,
    Publisher,
    RetryQueue,
    StoredItem,
    StoreFailure,
)
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
    """Object store in memory that answers at once unless told otherwise."""

    timers: TimerService
    page: int = 100
    items: dict = attrs.field(factory=dict)
    history: list = attrs.field(factory=list)
    revision: int = 5
    oldest: int = 0
    is_up: bool = True
    waiting: list = attrs.field(factory=list)
    writes: int = 0
    fate: str = ""
    late_s: float = 0.0
    listing: Future | None = None
    # Revision that calls which may lag get to see, and how many of them there were.
    lagging_at: int | None = None
    lagging_calls: int = 0
    short_calls: int = 0
    refused: int = 0
    is_silent: bool = False

    def list_items(self, kind, after):
        if self.listing is not None:
            listing, self.listing = self.listing, None
            return listing
        if not self.is_up:
            return self.refuse()
        names = sorted(name for name in self.items if name > after)
        items = tuple(self.items[name] for name in names[: self.page])
        return complete(Listing(items, self.revision, len(names) > self.page))

    def watch(self, kind, revision, wait_s=None, allow_stale=False):
        if not self.is_up:
            return self.refuse()
        if revision < self.oldest:
            return complete(fail(FailureKind.HISTORY_LOST))
        if allow_stale and self.lagging_at is not None:
            self.lagging_calls += 1
            return complete(self.build_lagging(revision))
        self.short_calls += wait_s is not None
        if self.is_silent:
            return self.leave_unanswered(20.0 if wait_s is None else 1.5)
        events = self.get_events(revision)
        if events or wait_s is not None:
            return complete(Changes(events, self.revision))
        future = Future()
        self.waiting.append((revision, future))
        return future

    def leave_unanswered(self, timeout_s):
        future = Future()
        self.timers.subscribe_once(timeout_s, lambda _: future.set_result(fail()))
        return future

    def refuse(self):
        self.refused += 1
        return complete(fail())

    def build_lagging(self, revision):
        events = self.get_events(revision)
        seen = tuple(e for e in events if e[0].revision <= self.lagging_at)
        return Changes(seen, self.lagging_at)

    def get_events(self, revision):
        return tuple(event for event in self.history if event[0].revision > revision)

    def create(self, kind, name, value):
        return self.write(name, value, lambda: name not in self.items)

    def replace(self, kind, name, value, revision):
        return self.write(name, value, lambda: self.has(name, revision))

    def delete(self, kind, name, revision):
        return self.write(name, None, lambda: self.has(name, revision))

    def has(self, name, revision):
        return name in self.items and self.items[name].revision == revision

    def write(self, name, value, condition):
        if not self.is_up:
            return complete(fail())
        self.writes += 1
        fate, self.fate = self.fate, ""
        late_s, self.late_s = self.late_s, 0.0
        if fate == "not done":
            return complete(fail())
        if late_s:
            self.timers.subscribe_once(
                late_s, lambda _: self.execute(name, value, condition)
            )
            return complete(fail())
        answer = self.execute(name, value, condition)
        return complete(fail() if fate else answer)

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
        self.notify()
        return None if value is None else item

    def notify(self):
        waiting, self.waiting = self.waiting, []
        for revision, future in waiting:
            future.set_result(Changes(self.get_events(revision), self.revision))


def create_store(context, **options):
    context.clock = ManualClock()
    context.timers = TimerService(context.clock)
    context.store = FakeStore(context.timers, **options)


@given("a store with members a and b")
def create_small_store(context):
    create_store(context)
    for name in ("a", "b"):
        context.store.put(name, {"name": name})


@given("a store with {count:d} members on pages of {page:d}")
def create_paged_store(context, count, page):
    create_store(context, page=page)
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


def create_mirror(context, take):
    return Mirror(context.store, KIND, context.timers, context.retries, take)


@when("the store falls silent and the mirror's watch times out")
def fall_silent(context):
    context.store.is_silent = True
    waiting, context.store.waiting = context.store.waiting, []
    for _, future in waiting:
        future.set_result(fail())


@when("the store answers again")
def answer_again(context):
    context.store.is_silent = False


@given("two more mirrors on the same node")
def start_more_mirrors(context):
    context.others = [{}, {}]
    for copy in context.others:
        create_mirror(context, copy.update).start()


@given("a queue of retries with two calls, of which the first stays silent")
def create_retries(context):
    create_store(context)
    context.repeated = []
    retries = RetryQueue(context.timers, random.Random(1))
    retries.add(lambda: context.repeated.append("first"))
    retries.add(lambda: context.repeated.append("second"))


@then("both calls were repeated once")
def check_repeated(context):
    assert context.repeated == ["first", "second"], context.repeated


@then("the store refused at most {count:d} calls")
def check_refused(context, count):
    assert 0 < context.store.refused <= count, context.store.refused


@then("all three mirrors hold {names}")
def check_all_mirrors(context, names):
    expected = names.replace(" and ", ", ").split(", ")
    for copy in (context.copy, *context.others):
        assert sorted(copy) == expected, copy


@given("a mirror of the members that pauses for 1 s after each change")
def start_pausing_mirror(context):
    start_mirror(context)
    context.mirror._batch_delay_s = 1.0


@given("a mirror of the members that may lag")
def start_lagging_mirror(context):
    start_mirror(context)
    context.mirror._allow_stale = True
    context.mirror.restart()


@when("the store's reads that may lag stay behind from now on")
def start_lag(context):
    context.store.lagging_at = context.store.revision
    answer_waiting(context)


def answer_waiting(context):
    store = context.store
    waiting, store.waiting = store.waiting, []
    for revision, future in waiting:
        future.set_result(store.build_lagging(revision))


@when("the watch that waits is answered with the state before {name} was deleted")
def answer_late(context, name):
    store = context.store
    store.lagging_at = next(
        item.revision for item, is_deleted in store.history if item.name == name
    )
    answer_waiting(context)


@when("{name} is added and deleted while no watch is answered")
def add_and_delete(context, name):
    waiting, context.store.waiting = context.store.waiting, []
    add(context, name)
    delete(context, name)
    context.store.waiting = waiting


@then("the store got at most {count:d} calls that may lag")
def check_lagging_calls(context, count):
    assert 0 < context.store.lagging_calls <= count, context.store.lagging_calls


@when("the mirror is restarted")
def restart_mirror(context):
    # The listing is answered later, so that the mirror is asked to confirm meanwhile.
    store = context.store
    store.listing = listing = Future()
    context.mirror.restart()

    def answer(_):
        listing.set_result(store.list_items(KIND, "").result())

    context.timers.subscribe_once(0.5, answer)


@then("the store has {count:d} waiting watch besides abandoned ones")
def check_watches(context, count):
    assert len(context.store.waiting) == count, context.store.waiting


@when("the copy is to be confirmed")
def ask_confirmation(context):
    context.confirmed = []
    context.mirror.confirm_current(
        lambda: context.confirmed.append(sorted(context.copy))
    )


@when("the copy is to be confirmed {count:d} times within 1 s")
def ask_many(context, count):
    context.confirmed = []
    for _ in range(count):
        context.mirror.confirm_current(lambda: context.confirmed.append(1))
        pass_part(context, 0.01)
    pass_part(context, 0.2)


@then("it is confirmed {count:d} times after at most {calls:d} calls")
def check_shared(context, count, calls):
    assert len(context.confirmed) == count
    assert context.store.short_calls <= calls, context.store.short_calls


@then("it is not confirmed yet")
def check_unconfirmed(context):
    assert not context.confirmed


@then("it is confirmed with {names}")
def check_confirmed(context, names):
    expected = sorted(names.replace(" and ", ", ").split(", "))
    assert context.confirmed == [expected], context.confirmed


@when("{seconds:f} s pass at the mirror")
def pass_part(context, seconds):
    for _ in range(round(seconds * 100)):
        context.clock.advance(0.01)
        context.timers.run_due()


@given("an empty store and a publisher")
def create_publisher(context):
    create_store(context)
    context.publisher = Publisher(
        context.store, KIND, NAME, context.timers, random.Random(1)
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
    waiting, store.waiting = store.waiting, []
    store.put("a", None)
    store.put("c", {})
    store.oldest = store.revision
    for _, future in waiting:
        future.set_result(fail(FailureKind.HISTORY_LOST))


@when("the store is down")
def stop_store(context):
    context.store.is_up = False
    waiting, context.store.waiting = context.store.waiting, []
    for _, future in waiting:
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


@when("the store loses the answer to a write that is {fate}")
def lose_answer(context, fate):
    context.store.fate = fate


@when("the store executes a write only after {seconds:d} s")
def delay_write(context, seconds):
    context.store.late_s = seconds


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


@then("the store took {count:d} writes")
def check_writes(context, count):
    assert context.store.writes == count, context.store.writes


@then("the publisher is settled")
def check_settled(context):
    assert context.publisher.is_settled
