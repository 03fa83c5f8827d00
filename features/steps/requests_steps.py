import hashlib
import itertools
import os
import random

import attrs
from behave import given, then, when
from hypothesis import given as generate
from hypothesis import strategies as st
from requests_history import ALL_FAULTS, SERVICE, Faults, World

from bramleystair.actions import Send
from bramleystair.flows import DrainRequested, MessageArrived, Tick, ViewChanged
from bramleystair.requests import (
    BackendFailed,
    BackendResponded,
    BackendShed,
    CallArrived,
    CallerDisconnected,
    CallKind,
    CancelBackendRequest,
    Dispatcher,
    DispatcherSettings,
    KeyRing,
    LedgerSettings,
    PeerDisconnected,
    Reply,
    RequestLedger,
    StartBackendRequest,
    StopRequested,
    export_ledger,
    import_ledger,
)
from bramleystair.requests._admission import WarmLimit
from bramleystair.tables import (
    Announcement,
    Member,
    Protocol,
    Table,
    ZoneMark,
    compute_service_id,
)
from bramleystair.views import View
from bramleystair.wire import (
    Answer,
    Cancel,
    Fence,
    Fenced,
    Fetch,
    Refused,
    Reserve,
    Reserved,
    Run,
)

SERVICE_ID = compute_service_id(SERVICE)
SETTINGS = LedgerSettings(initial_fraction=1.0, warm_up_s=0.0)


def build_view(cap=3, zone_is_in=True, incarnations=(1, 1)):
    members = tuple(Member(f"s{i}", "z", 1.0, 9, cap) for i in range(2))
    agents = {
        f"s{i}": Announcement(f"s{i}", "z", "127.0.0.1", 1, incarnation)
        for i, incarnation in enumerate(incarnations)
    }
    table = Table(SERVICE, "127.0.0.1", 80, Protocol.TCP, members)
    return View({SERVICE: table}, {"z": ZoneMark("z", zone_is_in)}, agents)


class LedgerScript:
    """Apply named events to a ledger and name the actions that follow."""

    def __init__(self, cap, incarnation=1, server="s0"):
        self.now = 1000.0
        self.request_ids = itertools.count(1)
        self.cap = cap
        source = random.Random(1)
        self.ledger = RequestLedger(server, incarnation, SETTINGS, source)
        self.send(ViewChanged(build_view(cap)))
        self.ticket = self.reserve()
        self.others = []

    def send(self, event):
        return self.ledger.handle(event, self.now)

    def ask(self, message):
        return self.send(MessageArrived("b0", message))

    def use(self, kind, *values):
        return self.ask(kind(next(self.request_ids), self.ticket, *values))

    def reserve(self):
        return self.ask(Reserve(1, SERVICE_ID))[0].message.ticket

    def take(self, event):
        match event.split():
            case ["run"]:
                return self.use(Run, b"body", 30_000)
            case ["long", "run"]:
                return self.use(Run, b"body", 600_000)
            case ["other", "body"]:
                return self.use(Run, b"other", 30_000)
            case ["fetch"]:
                return self.use(Fetch)
            case ["fence"]:
                return self.use(Fence)
            case ["cancel"]:
                return self.use(Cancel)
            case ["done"]:
                return self.send(BackendResponded(self.ticket, 200, b"response"))
            case ["shed"]:
                return self.send(BackendShed(self.ticket))
            case ["failed"]:
                return self.send(BackendFailed(self.ticket, "failed"))
            case ["drain"]:
                return self.send(DrainRequested())
            case ["stop"]:
                return self.send(StopRequested())
            case ["wait", seconds]:
                self.now += float(seconds)
                return self.send(Tick())
            case ["zone", state]:
                return self.send(ViewChanged(build_view(self.cap, state == "in")))
            case ["full"]:
                self.others = [self.reserve() for _ in range(self.cap)]
                for ticket in self.others:
                    self.ask(Run(6, ticket, b"", 60_000))
            case ["empty"]:
                for ticket in self.others:
                    self.send(BackendResponded(ticket, 200, b""))
            case ["new"]:
                self.ticket = self.reserve()
            case ["forge"]:
                self.ticket = self.ticket[:-1] + bytes([self.ticket[-1] ^ 1])
            case ["other", "agent"]:
                self.ticket = LedgerScript(3, server="s1").ticket
            case ["other", "incarnation"]:
                self.ticket = LedgerScript(3, incarnation=2).ticket
            case ["upgrade"]:
                data = export_ledger(self.ledger)
                self.ledger = import_ledger(data, SETTINGS, random.Random(2)).unwrap()
                self.send(ViewChanged(build_view(self.cap)))
            case _:
                raise ValueError(event)
        return []


class DispatcherScript:
    """Apply named events to a dispatcher and name the actions that follow."""

    def __init__(self, earlier_requests):
        self.now = 0.0
        self.dispatcher = Dispatcher(DispatcherSettings(), random.Random(1))
        self.send(ViewChanged(build_view()))
        for call_id in range(2, 2 + earlier_requests):
            self.send(CallArrived(call_id, CallKind.POST, SERVICE, body=b"body"))
            self.send(CallerDisconnected(call_id))
        self.peer = self.last = self.ticket = None

    def send(self, event):
        actions = self.dispatcher.handle(event, self.now)
        for action in actions:
            if isinstance(action, Send):
                self.peer, self.last = action.peer, action.message
        return actions

    def answer(self, kind, **values):
        values = {"request_id": self.last.request_id, "ticket": self.ticket} | values
        return self.send(MessageArrived(self.peer, kind(**values)))

    def reach(self, time_s):
        self.now = time_s
        return self.send(Tick())

    def build_ticket(self):
        ring = KeyRing(self.peer, 1, random.Random(2))
        ring.rotate(0.0, 1.0, 1.0)
        return ring.issue(SERVICE_ID, 60.0)

    def take(self, event):
        digest = hashlib.sha256(b"response").digest()
        whole = {"status": 200, "body": b"response", "length": 8, "digest": digest}
        match event:
            case "post" | "idempotent":
                call = CallArrived(
                    1, CallKind.POST, SERVICE, body=b"body", deadline_s=3.0
                )
                return self.send(attrs.evolve(call, is_idempotent=event != "post"))
            case "reserve":
                return self.send(CallArrived(1, CallKind.RESERVE, SERVICE))
            case "reserved":
                self.ticket = self.build_ticket()
                return self.answer(Reserved)
            case "refused":
                return self.answer(Refused, ticket=b"", reason="draining", not_run=True)
            case "shed":
                return self.answer(Refused, reason="shed", not_run=True)
            case "failed" | "not_started":
                return self.answer(Refused, reason=event)
            case "fenced" | "running":
                return self.answer(Fenced, not_run=event == "fenced")
            case "answer":
                return self.answer(Answer, **whole)
            case "mismatched":
                return self.answer(Answer, **whole, ticket=self.ticket[:-1] + b"?")
            case "truncated":
                return self.answer(Answer, **(whole | {"body": b"respons"}))
            case "corrupt":
                return self.answer(Answer, **(whole | {"body": b"RESPONSE"}))
            case "gone":
                incarnations = (1 + (self.peer == "s0"), 1 + (self.peer == "s1"))
                return self.send(ViewChanged(build_view(incarnations=incarnations)))
            case "zone_out":
                return self.send(ViewChanged(build_view(zone_is_in=False)))
            case "lost":
                return self.send(PeerDisconnected(self.peer))
            case "hang_up":
                return self.send(CallerDisconnected(1))
            case "wait":
                return self.reach(self.now + 1.0)
            case "late":
                return self.reach(2.95)
            case "deadline":
                return self.reach(3.0)
        raise ValueError(event)


def describe(action):
    match action:
        case Send(_, Refused() as refused):
            outcome = "not_run" if refused.not_run else "unknown"
            return [f"{refused.reason} {outcome}"]
        case Send(_, Fenced() as fenced):
            return ["fenced not_run" if fenced.not_run else "fenced unknown"]
        case Send(_, message):
            return [type(message).__name__.lower()]
        case StartBackendRequest():
            return ["start"]
        case CancelBackendRequest():
            return ["stop"]
        case Reply():
            return [f"{action.status} {action.outcome or ''}".strip()]
    return []


@given("a ledger with a cap of {cap:d} and one ticket")
def create_ledger(context, cap):
    context.script = LedgerScript(cap)


@given("a dispatcher with 2 agents and {count:d} earlier requests")
def create_dispatcher(context, count):
    context.script = DispatcherScript(count)


@when("the ledger takes {events}")
@when("the dispatcher takes {events}")
def take_events(context, events):
    actions = [
        act for event in events.split(", ") for act in context.script.take(event)
    ]
    context.described = [word for action in actions for word in describe(action)]


@then("it returns {expected}")
def check_actions(context, expected):
    assert context.described == expected.split(", "), context.described


@when("any one byte of the ticket is changed")
def change_ticket(context):
    keys, ticket = context.script.ledger.keys, context.script.ticket
    assert keys.verify(ticket).is_ok()
    context.verified = []

    @generate(st.integers(0, len(ticket) - 1), st.integers(1, 255))
    def change(index, mask):
        changed = bytearray(ticket)
        changed[index] ^= mask
        context.verified.append(keys.verify(bytes(changed)))

    change()


@then("no changed ticket is accepted")
def check_changed(context):
    assert len(context.verified) >= 100
    assert all(result.is_err() for result in context.verified)


@when("histories of {count:d} requests each run with every fault")
def run_histories(context, count):
    context.worlds = []
    for seed in range(int(os.environ.get("BRAMLEYSTAIR_HISTORIES", "20"))):
        world = World(seed, ALL_FAULTS, has_load_reports=seed % 2 == 0)
        world.run_until(world.start_requests(count))
        context.worlds.append(world)


@then("at least half of the {count:d} requests in each history ran")
def check_runs_of_histories(context, count):
    runs = sum(sum(world.runs.values()) for world in context.worlds)
    assert runs >= count * len(context.worlds) / 2, runs


@then("no request was lost, ran twice, or was falsely reported")
def check_histories(context):
    for seed, world in enumerate(context.worlds):
        violations = world.check()
        assert not violations, (seed, len(violations), violations[:3])


def offer_load(world, load, duration_s=20.0):
    world.capacity = len(world.agents) * world.slots / world.service_time_s
    time_s, number = 0.0, 0
    while time_s < duration_s:
        time_s += world.source.expovariate(load * world.capacity)
        number += 1
        world.after(time_s, world.call, CallKind.POST, b"%d" % number, b"", None, 0.3)
    world.offered = number
    world.run_until(duration_s + 1.0)


@when(
    "{load:f} times the capacity is offered to {agents:d} agents through "
    "{balancers:d} balancers"
)
def overload(context, load, agents, balancers):
    world = World(1, Faults(), agents, balancers, 3, 6, ledger_settings=SETTINGS)
    world.every(1.0, world.report_loads)
    offer_load(world, load)
    context.worlds = [world]


@then("the goodput is at least {share:f} of the capacity")
def check_goodput(context, share):
    world = context.worlds[0]
    done = sum(reply.outcome is None for _, reply, _ in world.replies)
    assert done >= share * world.capacity * 20.0, done


@then("at most {share:f} of the requests were retried")
def check_retries(context, share):
    world = context.worlds[0]
    retries = sum(
        count for (name, _), count in world.counts.items() if name == "requests_retried"
    )
    assert 0 < retries <= share * world.offered, (retries, world.offered)


@when("{load:f} times the capacity is offered to agents that warm up in {warm_up:f} s")
def overload_cold(context, load, warm_up):
    settings = LedgerSettings(initial_fraction=0.2, warm_up_s=warm_up)
    world = World(1, Faults(), ledger_settings=settings)
    context.running = []

    def record():
        for agent in world.agents.values():
            context.running.append((world.now, agent.running + len(agent.waiting)))

    world.every(0.01, record)
    offer_load(world, load)


@then("the running requests never exceed the cold-start curve")
def check_cold(context):
    for now, running in context.running:
        fraction = 0.2 + 0.8 * min(1.0, now / 20.0)
        assert running <= max(1, int(6 * fraction)), (now, running)
    assert max(running for _, running in context.running) >= 5


@when(
    "{load:f} times the capacity is offered to agents that warm up in {warm_up:f} s "
    "without a queue"
)
def overload_without_queue(context, load, warm_up):
    settings = LedgerSettings(initial_fraction=0.2, warm_up_s=warm_up)
    context.world = World(1, Faults(), ledger_settings=settings, queue_length=0)
    offer_load(context.world, load)


@then("the agents became warm and stayed so")
def check_warm(context):
    assert context.world.counts["requests_refused", "shed"] > 20
    for agent in context.world.agents.values():
        warm_limit = agent.ledger.admission.warm_limit
        assert warm_limit.started_s < 1.0, warm_limit.started_s
        assert warm_limit.compute_fraction(context.world.now) == 1.0


@given("a warm limit that starts at {fraction:f}")
def create_warm_limit(context, fraction):
    context.warm_limit = WarmLimit(fraction, 10.0)
    context.warm_limit.compute_fraction(0.0)


@when("it observes {outcomes}")
def observe(context, outcomes):
    for count, kind in (words.split() for words in outcomes.split(", ")):
        latency_s = 0.5 if kind == "slow" else 0.1
        for _ in range(int(count)):
            context.warm_limit.observe(latency_s, kind == "shed", 20.0)


@then("the admitted share is {share:f}")
def check_share(context, share):
    assert context.warm_limit.compute_fraction(20.0) == share


@when("{count:d} requests with responses of 1 MB each have ended")
def fill_memory(context, count):
    context.script = script = LedgerScript(3)
    context.first = script.ticket
    for _ in range(count):
        script.take("run")
        script.send(BackendResponded(script.ticket, 200, bytes(2**20)))
        script.take("new")


@then("at most {count:d} MB of responses are kept")
def check_memory(context, count):
    entries = context.script.ledger.entries.list_all()
    kept = sum(len(entry.body) for _, _, entry in entries)
    assert (count - 1) * 2**20 <= kept <= count * 2**20


@then("a request whose response was dropped has an unknown outcome")
def check_dropped(context):
    context.script.ticket = context.first
    take_events(context, "fetch")
    assert context.described == ["response_dropped unknown"]
