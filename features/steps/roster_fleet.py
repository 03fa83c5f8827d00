"""Balancers that share a store, on simulated time."""

import random
from concurrent.futures import Future

from bramleystair.metrics import Metrics
from bramleystair.mirror import (
    REWRITE_TIMEOUT_S,
    FailureKind,
    StoredItem,
    StoreEpoch,
    StoreFailure,
)
from bramleystair.nodes._balancer import MEMBER_BATCH_DELAY_S
from bramleystair.nodes._roster_writer import RosterWriter
from bramleystair.nodes._settings import MEMBER_KIND
from bramleystair.steering import (
    Load,
    LoadReport,
    MemberEntry,
    ServerState,
    encode_entry,
)
from bramleystair.steering._entries import decode_entry
from bramleystair.steering.balancer import (
    BalancerSteering,
    BalancerSteeringSettings,
    RosterSchedule,
    is_roster_name,
)
from bramleystair.timers import ManualClock

PORT = 8
TICK_S = 0.05
REPORT_PERIOD_S = 0.25


def get_host(number):
    return f"10.{number // 62500 + 1}.{number // 250 % 250}.{number % 250 + 1}"


def make_entry(number):
    return MemberEntry((get_host(number), PORT), "z", "web", ServerState.READY, 2)


class SharedStore:
    """Store that executes each call at once, and counts the writes of rosters."""

    def __init__(self):
        self.items = {}
        self.revision = 1
        self.epoch = StoreEpoch()
        self.epoch.record(1)
        self.calls = []
        self.lost_responses = 0

    def put(self, name, value):
        """Write an object whatever its revision, as another writer."""
        self.revision += 1
        if value is None:
            self.items.pop(name, None)
            return None
        self.items[name] = StoredItem(name, self.revision, value)
        return self.items[name]

    def create(self, kind, name, value):
        return self._write(name, value, None)

    def replace(self, kind, name, value, revision):
        return self._write(name, value, revision)

    def delete(self, kind, name, revision):
        return self._write(name, None, revision)

    def _write(self, name, value, revision):
        future = Future()
        present = self.items.get(name)
        found = None if present is None else present.revision
        is_conflict = found != revision
        self.calls.append((name, is_conflict))
        if is_conflict and present is None:
            result = StoreFailure("write", "store", "", FailureKind.NOT_FOUND)
        elif is_conflict:
            result = StoreFailure("write", "store", "", FailureKind.CONFLICT, present)
        else:
            result = self.put(name, value)
        if self.lost_responses:
            self.lost_responses -= 1
            result = StoreFailure("write", "store", "no response")
        future.set_result(result)
        return future


class SimulatedBalancer:
    """The steering and the roster writer of one balancer, without sockets."""

    def __init__(self, store, clock, name, lag_s=0.0):
        self.store = store
        self.clock = clock
        self.lag_s = lag_s
        self.metrics = Metrics({})
        source = random.Random(name)
        self.steering = BalancerSteering(
            BalancerSteeringSettings(), source, "z", name=name
        )
        self.members = self.steering.members
        self.can_write = True
        self.writer = RosterWriter(
            store,
            MEMBER_KIND,
            PORT,
            self.members,
            RosterSchedule(name),
            clock,
            source,
            self.metrics,
            lambda now: (
                self.can_write
                and not self.members.may_be_incomplete(now)
                and not self.members.is_isolated(now)
            ),
            self._handle_roster_change,
        )
        self._items = {}
        self._revision = 0
        self._next_view_s = 0.0
        self.actions = []

    def _handle_roster_change(self):
        roster = self.writer.read(self._items, self._revision)
        self.actions += self.steering.set_roster(roster, self.clock.now())

    def restore(self):
        now = self.clock.now()
        self.steering.handle_restoration(
            self.store.epoch.current, now + REWRITE_TIMEOUT_S, now
        )
        self._next_view_s = now

    def run(self):
        now = self.clock.now()
        if now >= self._next_view_s and self.store.revision != self._revision:
            self._next_view_s = now + MEMBER_BATCH_DELAY_S
            self.view()
        self.writer.run(now)
        self.actions += self.steering.run_timers(now)

    def view(self):
        self._items, self._revision = dict(self.store.items), self.store.revision
        entries = [
            result.unwrap()
            for result in (
                decode_entry(item.name, item.value)
                for item in self._items.values()
                if not is_roster_name(item.name)
            )
            if result.is_ok()
        ]
        roster = self.writer.read(self._items, self._revision)
        now = self.clock.now()
        self.actions += self.steering.set_members(entries, now, (), roster)


class SimulatedFleet:
    """Balancers, agents and a store."""

    def __init__(self, balancers, agents):
        self.clock = ManualClock(100.0)
        self.store = SharedStore()
        self.alive = set()
        self.balancers = []
        for number in range(agents):
            self.join(number)
        for _ in range(balancers):
            self.start_balancer()
        self._next_report_s = 0.0

    def join(self, number):
        self.alive.add(get_host(number))
        self.store.put(get_host(number), encode_entry(make_entry(number)))

    def start_balancer(self):
        name = f"balancer-{len(self.balancers)}"
        self.balancers.append(SimulatedBalancer(self.store, self.clock, name))

    def run(self, seconds):
        end_s = self.clock.now() + seconds
        while self.clock.now() < end_s:
            self.clock.advance(TICK_S)
            for balancer in self.balancers:
                balancer.run()
            if self.clock.now() >= self._next_report_s:
                self._next_report_s = self.clock.now() + REPORT_PERIOD_S
                self._send_reports()

    def _send_reports(self):
        now = self.clock.now()
        for balancer in self.balancers:
            for member in balancer.members.list_subscribed():
                if member.entry.address[0] in self.alive:
                    balancer.actions += balancer.steering.handle_message(
                        member.entry.address, LoadReport(Load()), now
                    )

    def list_named(self):
        """Return the hosts that each copy in the store names."""
        return {
            name: set(item.value["hosts"])
            for name, item in self.store.items.items()
            if is_roster_name(name)
        }
