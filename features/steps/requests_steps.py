import hashlib
import itertools
import os
import random

import attrs
from behave import given, then, when
from hypothesis import given as generate
from hypothesis import strategies as st
from requests_history import ALL_FAULTS, SERVICE, Faults, Simulation

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
from bramleystair.requests._admission import WarmUpLimit
from bramleystair.tables import (
    AgentAnnouncement,
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


def build_view(cap=3, is_zone_in_service=True, incarnations=(1, 1)):
    members = tuple(Member(f"s{i}", "z", 1.0, 9, cap) for i in range(2))
    agents = {
        f"s{i}": AgentAnnouncement(f"s{i}", "z", "127.0.0.1", 1, incarnation)
        for i, incarnation in enumerate(incarnations)
    }
    table = Table(SERVICE, "127.0.0.1", 80, Protocol.TCP, members)
    return View({SERVICE: table}, {"z": ZoneMark("z", is_zone_in_service)}, agents)


class LedgerDriver:
    """Drive a request ledger with named events."""

    def __init__(self, cap, incarnation=1, server="s0"):
        self.now = 1000.0
        self.request_ids = itertools.count(1)
        self.cap = cap
        rng = random.Random(1)
        self.ledger = RequestLedger(server, incarnation, SETTINGS, rng)
        self.send(ViewChanged(build_view(cap)))
        self.ticket = self.reserve()
        self.other_tickets = []

    def send(self, event):
        return self.ledger.handle(event, self.now)

    def send_message(self, message):
        return self.send(MessageArrived("b0", message))

    def send_with_ticket(self, kind, *values):
        return self.send_message(kind(next(self.request_ids), self.ticket, *values))

    def reserve(self):
        return self.send_message(Reserve(1, SERVICE_ID))[0].message.ticket

    def apply(self, event):
        match event.split():
            case ["run"]:
                return self.send_with_ticket(Run, b"body", 30_000)
            case ["long", "run"]:
                return self.send_with_ticket(Run, b"body", 600_000)
            case ["other", "body"]:
                return self.send_with_ticket(Run, b"other", 30_000)
            case ["fetch"]:
                return self.send_with_ticket(Fetch)
            case ["fence"]:
                return self.send_with_ticket(Fence)
            case ["cancel"]:
                return self.send_with_ticket(Cancel)
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
            case ["fill"]:
                self.other_tickets = [self.reserve() for _ in range(self.cap)]
                for ticket in self.other_tickets:
                    self.send_message(Run(6, ticket, b"", 60_000))
            case ["empty"]:
                for ticket in self.other_tickets:
                    self.send(BackendResponded(ticket, 200, b""))
            case ["new"]:
                self.ticket = self.reserve()
            case ["forge"]:
                self.ticket = self.ticket[:-1] + bytes([self.ticket[-1] ^ 1])
            case ["other", "agent"]:
                self.ticket = LedgerDriver(3, server="s1").ticket
            case ["other", "incarnation"]:
                self.ticket = LedgerDriver(3, incarnation=2).ticket
            case ["upgrade"]:
                data = export_ledger(self.ledger)
                self.ledger = import_ledger(data, SETTINGS, random.Random(2)).unwrap()
                self.send(ViewChanged(build_view(self.cap)))
            case _:
                raise ValueError(event)
        return []


class DispatcherDriver:
    """Drive a dispatcher with named events."""

    def __init__(self, earlier_requests):
        self.now = 0.0
        self.dispatcher = Dispatcher(DispatcherSettings(), random.Random(1))
        self.send(ViewChanged(build_view()))
        for call_id in range(2, 2 + earlier_requests):
            self.send(CallArrived(call_id, CallKind.POST, SERVICE, body=b"body"))
            self.send(CallerDisconnected(call_id))
        self.peer = self.last_message = self.ticket = None

    def send(self, event):
        actions = self.dispatcher.handle(event, self.now)
        for action in actions:
            if isinstance(action, Send):
                self.peer, self.last_message = action.peer, action.message
        return actions

    def answer(self, kind, **values):
        values = {
            "request_id": self.last_message.request_id,
            "ticket": self.ticket,
        } | values
        return self.send(MessageArrived(self.peer, kind(**values)))

    def advance_to(self, time_s):
        self.now = time_s
        return self.send(Tick())

    def build_ticket(self):
        ring = KeyRing(self.peer, 1, random.Random(2))
        ring.rotate(0.0, 1.0, 1.0)
        return ring.issue(SERVICE_ID, 60.0)

    def apply(self, event):
        digest = hashlib.sha256(b"response").digest()
        response = {"status": 200, "body": b"response", "length": 8, "digest": digest}
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
                return self.answer(Answer, **response)
            case "mismatched":
                return self.answer(Answer, **response, ticket=self.ticket[:-1] + b"?")
            case "truncated":
                return self.answer(Answer, **(response | {"body": b"respons"}))
            case "corrupt":
                return self.answer(Answer, **(response | {"body": b"RESPONSE"}))
            case "agent_restart":
                incarnations = (1 + (self.peer == "s0"), 1 + (self.peer == "s1"))
                return self.send(ViewChanged(build_view(incarnations=incarnations)))
            case "zone_out":
                return self.send(ViewChanged(build_view(is_zone_in_service=False)))
            case "agent_disconnect":
                return self.send(PeerDisconnected(self.peer))
            case "caller_disconnect":
                return self.send(CallerDisconnected(1))
            case "wait":
                return self.advance_to(self.now + 1.0)
            case "near_deadline":
                return self.advance_to(2.95)
            case "deadline":
                return self.advance_to(3.0)
        raise ValueError(event)


def describe_action(action):
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
    context.driver = LedgerDriver(cap)


@given("a dispatcher with 2 agents and a retry budget of {count:d} earlier requests")
def create_dispatcher(context, count):
    context.driver = DispatcherDriver(count)


@when("the ledger handles {events}")
@when("the dispatcher handles {events}")
def apply_events(context, events):
    actions = [
        act for event in events.split(", ") for act in context.driver.apply(event)
    ]
    context.described = [word for action in actions for word in describe_action(action)]


@then("the returned actions are {expected}")
def check_actions(context, expected):
    assert context.described == expected.split(", "), context.described


@when("any single byte of the ticket is modified")
def change_ticket(context):
    keys, ticket = context.driver.ledger.keys, context.driver.ticket
    assert keys.verify(ticket).is_ok()
    context.verified = []

    @generate(st.integers(0, len(ticket) - 1), st.integers(1, 255))
    def change(index, mask):
        changed = bytearray(ticket)
        changed[index] ^= mask
        context.verified.append(keys.verify(bytes(changed)))

    change()


@then("no modified ticket is accepted")
def check_changed(context):
    assert len(context.verified) >= 100
    assert all(result.is_err() for result in context.verified)


@when("histories of {count:d} requests each run with all faults")
def run_histories(context, count):
    context.simulations = []
    for seed in range(int(os.environ.get("BRAMLEYSTAIR_HISTORIES", "20"))):
        simulation = Simulation(seed, ALL_FAULTS, has_load_reports=seed % 2 == 0)
        simulation.run_until(simulation.schedule_requests(count))
        context.simulations.append(simulation)


@then("at least half of the {count:d} requests in each history ran")
def check_runs_of_histories(context, count):
    runs = sum(sum(simulation.runs.values()) for simulation in context.simulations)
    assert runs >= count * len(context.simulations) / 2, runs


@then("no request was lost, ran twice, or was falsely reported")
def check_histories(context):
    for seed, simulation in enumerate(context.simulations):
        violations = simulation.find_violations()
        assert not violations, (seed, len(violations), violations[:3])


def offer_load(simulation, load, duration_s=20.0):
    simulation.capacity = (
        len(simulation.agents) * simulation.slots / simulation.service_time_s
    )
    time_s, number = 0.0, 0
    while time_s < duration_s:
        time_s += simulation.rng.expovariate(load * simulation.capacity)
        number += 1
        simulation.schedule(
            time_s, simulation.call, CallKind.POST, b"%d" % number, b"", None, 0.3
        )
    simulation.offered = number
    simulation.run_until(duration_s + 1.0)


@when(
    "{load:f} times the capacity is offered to {agents:d} agents through "
    "{balancers:d} balancers"
)
def overload(context, load, agents, balancers):
    simulation = Simulation(
        1, Faults(), agents, balancers, 3, 6, ledger_settings=SETTINGS
    )
    simulation.schedule_every(1.0, simulation.report_loads)
    offer_load(simulation, load)
    context.simulations = [simulation]


@then("the goodput is at least {fraction:f} of the capacity")
def check_goodput(context, fraction):
    simulation = context.simulations[0]
    done = sum(reply.outcome is None for _, reply, _ in simulation.replies)
    assert done >= fraction * simulation.capacity * 20.0, done


@then("at most {fraction:f} of the requests were retried")
def check_retries(context, fraction):
    simulation = context.simulations[0]
    retries = sum(
        count
        for (name, _), count in simulation.counts.items()
        if name == "requests_retried"
    )
    assert 0 < retries <= fraction * simulation.offered, (retries, simulation.offered)


@when("{load:f} times the capacity is offered to agents that warm up in {warm_up:f} s")
def overload_cold(context, load, warm_up):
    settings = LedgerSettings(initial_fraction=0.2, warm_up_s=warm_up)
    simulation = Simulation(1, Faults(), ledger_settings=settings)
    context.running = []

    def record():
        for agent in simulation.agents.values():
            context.running.append((simulation.now, agent.running + len(agent.queue)))

    simulation.schedule_every(0.01, record)
    offer_load(simulation, load)


@then("the running requests never exceed the cold-start curve")
def check_cold_start(context):
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
    context.simulation = Simulation(
        1, Faults(), ledger_settings=settings, queue_length=0
    )
    offer_load(context.simulation, load)


@then("the agents warmed up and remained warm")
def check_warm(context):
    assert context.simulation.counts["requests_refused", "shed"] > 20
    for agent in context.simulation.agents.values():
        warm_up_limit = agent.ledger.admission.warm_up_limit
        assert warm_up_limit.started_s < 1.0, warm_up_limit.started_s
        assert warm_up_limit.compute_fraction(context.simulation.now) == 1.0


@given("a warm-up limit with an initial fraction of {fraction:f}")
def create_warm_limit(context, fraction):
    context.warm_up_limit = WarmUpLimit(fraction, 10.0)
    context.warm_up_limit.compute_fraction(0.0)


@when("the limit observes {outcomes}")
def observe_outcomes(context, outcomes):
    for count, kind in (words.split() for words in outcomes.split(", ")):
        latency_s = 0.5 if kind == "slow" else 0.1
        for _ in range(int(count)):
            context.warm_up_limit.observe(latency_s, kind == "shed", 20.0)


@then("the admitted fraction is {fraction:f}")
def check_admitted_fraction(context, fraction):
    assert context.warm_up_limit.compute_fraction(20.0) == fraction


@when("{count:d} requests with responses of 1 MB each have ended")
def fill_memory(context, count):
    context.driver = driver = LedgerDriver(3)
    context.first = driver.ticket
    for _ in range(count):
        driver.apply("run")
        driver.send(BackendResponded(driver.ticket, 200, bytes(2**20)))
        driver.apply("new")


@then("at most {count:d} MB of responses are retained")
def check_memory(context, count):
    entries = context.driver.ledger.entries.list_all()
    retained_bytes = sum(len(entry.body) for _, _, entry in entries)
    assert (count - 1) * 2**20 <= retained_bytes <= count * 2**20


@then("a request whose response was dropped has an unknown outcome")
def check_dropped(context):
    context.driver.ticket = context.first
    apply_events(context, "fetch")
    assert context.described == ["response_dropped unknown"]
