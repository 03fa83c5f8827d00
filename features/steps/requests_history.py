"""Simulation of the request path: callers, balancers, agents and a lossy network."""

import collections
import heapq
import itertools
import random

import attrs

from bramleystair.actions import Count, Send
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
    LedgerSettings,
    LoadReported,
    Outcome,
    PeerDisconnected,
    Reply,
    RequestLedger,
    StartBackendRequest,
)
from bramleystair.tables import (
    AgentAnnouncement,
    AgentState,
    Member,
    Protocol,
    Table,
    ZoneMark,
)
from bramleystair.views import View

SERVICE = "sheets"
TICK_S = 0.02
# Requests per second, below and above the capacity of the simulated backend servers.
RATES = (40, 100, 400)
TICKET_CALL_SEQUENCES = [
    (CallKind.PUT,),
    (CallKind.PUT, CallKind.PUT),
    (CallKind.PUT, CallKind.GET),
    (CallKind.PUT, CallKind.DELETE),
    (CallKind.PUT, CallKind.PUT, CallKind.DELETE, CallKind.PUT),
]


@attrs.frozen
class Faults:
    """Probability of each fault, per message, per run or per second."""

    lost: float = 0.0
    duplicated: float = 0.0
    delayed: float = 0.0
    corrupted: float = 0.0
    backend_failed: float = 0.0
    backend_shed: float = 0.0
    agent_restarts: float = 0.0
    balancer_restarts: float = 0.0
    drains: float = 0.0
    zone_outages: float = 0.0
    caller_disconnects: float = 0.0


ALL_FAULTS = Faults(0.02, 0.02, 0.02, 0.02, 0.01, 0.02, 0.3, 0.1, 0.2, 0.1, 0.02)


@attrs.define(eq=False)
class SimulatedAgent:
    name: str
    zone: str
    ledger: RequestLedger
    incarnation: int = 1
    is_draining: bool = False
    running: int = 0
    cancelled: set = attrs.field(factory=set)
    queue: collections.deque = attrs.field(factory=collections.deque)


class Simulation:
    """Discrete-event simulation of one history of requests, with injected faults.

    `find_violations` compares the replies with the runs at the backend servers.
    """

    def __init__(
        self,
        seed,
        faults,
        agents=4,
        balancers=2,
        slots=3,
        cap=6,
        service_time_s=0.05,
        ledger_settings=None,
        dispatcher_settings=None,
        has_load_reports=False,
        queue_length=50,
    ):
        self.rng = random.Random(seed)
        self.faults = faults
        self.slots = slots
        self.queue_length = queue_length
        self.service_time_s = service_time_s
        self.ledger_settings = ledger_settings or LedgerSettings(
            ticket_lifetime_s=4.0,
            retention_s=20.0,
            key_period_s=3.0,
            initial_fraction=0.5,
            warm_up_s=2.0,
        )
        self.dispatcher_settings = dispatcher_settings or DispatcherSettings(
            resend_s=0.2
        )
        self.now = 0.0
        self.events = []
        self.sequence = itertools.count()
        self.runs = collections.Counter()
        self.counts = collections.Counter()
        self.calls = {}
        self.call_ids = itertools.count(1)
        self.replies = []
        self.violations = []
        self.down = set()
        self.zones_out = set()
        names = [f"s{number}" for number in range(agents)]
        self.agents = {
            name: SimulatedAgent(name, f"z{number % 2}", self.build_ledger(name, 1))
            for number, name in enumerate(names)
        }
        members = tuple(
            Member(agent.name, agent.zone, 1.0, 100, cap)
            for agent in self.agents.values()
        )
        self.table = Table(SERVICE, "127.0.0.1", 80, Protocol.TCP, members)
        self.balancers = [self.build_dispatcher() for _ in range(balancers)]
        self.distribute_view(is_immediate=True)
        self.schedule_every(TICK_S, self.tick)
        self.schedule_every(1.0, self.inject_faults)
        if has_load_reports:
            self.schedule_every(1.0, self.report_loads)

    # Time

    def schedule(self, delay_s, callback, *values):
        entry = (self.now + delay_s, next(self.sequence), callback, values)
        heapq.heappush(self.events, entry)

    def schedule_every(self, period_s, callback):
        def repeat():
            callback()
            self.schedule(period_s, repeat)

        self.schedule(period_s, repeat)

    def run_until(self, end_s):
        while self.events and self.events[0][0] <= end_s:
            self.now, _, callback, values = heapq.heappop(self.events)
            callback(*values)
        self.now = end_s

    def happens(self, probability):
        return self.rng.random() < probability

    def tick(self):
        for number in range(len(self.balancers)):
            self.submit_balancer(number, Tick())
        for agent in self.agents.values():
            self.submit_agent(agent, Tick())

    # Dispatchers and ledgers

    def build_ledger(self, name, incarnation):
        rng = random.Random(self.rng.getrandbits(32))
        return RequestLedger(name, incarnation, self.ledger_settings, rng)

    def build_dispatcher(self):
        rng = random.Random(self.rng.getrandbits(32))
        return Dispatcher(self.dispatcher_settings, rng)

    def submit_balancer(self, number, event):
        dispatcher = self.balancers[number]
        for action in dispatcher.handle(event, self.now):
            match action:
                case Send(peer, message):
                    agent = self.agents[peer]
                    event = MessageArrived(f"b{number}", message)
                    self.transmit(self.submit_agent, agent, event)
                case Reply():
                    self.record_reply(action)
                case Count():
                    self.counts[action.name, action.reason] += action.amount

    def submit_agent(self, agent, event):
        for action in agent.ledger.handle(event, self.now):
            match action:
                case Send(peer, message):
                    event = MessageArrived(agent.name, self.corrupt(message))
                    self.transmit(self.submit_balancer, int(peer[1:]), event)
                case StartBackendRequest():
                    self.start_backend(agent, action)
                case CancelBackendRequest(_, request_name):
                    agent.cancelled.add(request_name)
                case Count():
                    self.counts[action.name, action.reason] += action.amount

    def transmit(self, callback, target, event):
        copies = (
            1 + self.happens(self.faults.duplicated) - self.happens(self.faults.lost)
        )
        for _ in range(copies):
            delay_s = self.rng.uniform(0.0002, 0.003)
            if self.happens(self.faults.delayed):
                delay_s = self.rng.uniform(0.0, 3.0)
            self.schedule(delay_s, callback, target, event)

    def corrupt(self, message):
        if not getattr(message, "body", b"") or not self.happens(self.faults.corrupted):
            return message
        self.counts["corrupted", ""] += 1
        return self.rng.choice(
            [
                attrs.evolve(message, body=message.body[:-1]),
                attrs.evolve(message, body=b"?" + message.body[1:]),
                attrs.evolve(message, ticket=b"?" + message.ticket[1:]),
            ]
        )

    # Backend servers

    def start_backend(self, agent, action):
        has_free_slot = agent.running < self.slots
        is_queue_full = not has_free_slot and len(agent.queue) >= self.queue_length
        if is_queue_full or self.happens(self.faults.backend_shed):
            self.report_outcome(agent, agent.ledger, BackendShed(action.ticket))
        elif has_free_slot:
            self.run_backend(agent, agent.ledger, action)
        else:
            agent.queue.append((agent.ledger, action, self.now + action.deadline_s))

    def run_backend(self, agent, ledger, action):
        if action.request_name in agent.cancelled:
            self.report_outcome(
                agent, ledger, BackendFailed(action.ticket, "cancelled")
            )
            return
        if self.happens(self.faults.backend_failed / 2):
            event = BackendFailed(action.ticket, "backend_connection_lost")
            self.report_outcome(agent, ledger, event)
            return
        self.runs[action.body] += 1
        agent.running += 1
        time_s = self.service_time_s * self.rng.uniform(0.5, 1.5)
        self.schedule(time_s, self.finish_backend, agent, ledger, action)

    def finish_backend(self, agent, ledger, action):
        agent.running -= 1
        event = BackendResponded(action.ticket, 200, b"ran " + action.body)
        if self.happens(self.faults.backend_failed / 2):
            event = BackendFailed(action.ticket, "backend_connection_lost")
        self.report_outcome(agent, ledger, event)
        while agent.queue and agent.running < self.slots:
            ledger, action, limit_s = agent.queue.popleft()
            if self.now < limit_s:
                self.run_backend(agent, ledger, action)
            else:
                self.report_outcome(agent, ledger, BackendShed(action.ticket))

    def report_outcome(self, agent, ledger, event):
        self.schedule(0.0001, self.deliver_outcome, agent, ledger, event)

    def deliver_outcome(self, agent, ledger, event):
        if agent.ledger is ledger:
            self.submit_agent(agent, event)

    # Faults and views

    def inject_faults(self):
        agent = self.rng.choice(list(self.agents.values()))
        if self.happens(self.faults.agent_restarts):
            self.restart_agent(agent)
        if self.happens(self.faults.drains) and not agent.is_draining:
            agent.is_draining = True
            self.submit_agent(agent, DrainRequested())
            self.schedule(2.0, self.restart_agent, agent)
            self.distribute_view()
        if self.happens(self.faults.zone_outages) and not self.zones_out:
            self.zones_out.add(agent.zone)
            self.schedule(2.0, self.zones_out.clear)
            self.schedule(2.0, self.distribute_view)
            self.distribute_view()
        if self.happens(self.faults.balancer_restarts):
            self.restart_balancer(self.rng.randrange(len(self.balancers)))

    def restart_agent(self, agent):
        self.down.add((agent.name, agent.incarnation))
        agent.incarnation += 1
        agent.is_draining = False
        agent.ledger = self.build_ledger(agent.name, agent.incarnation)
        self.submit_agent(agent, ViewChanged(self.build_view()))
        for number in range(len(self.balancers)):
            if self.happens(0.5):
                self.transmit(
                    self.submit_balancer, number, PeerDisconnected(agent.name)
                )
        self.schedule(self.rng.uniform(0.0, 3.0), self.distribute_view)

    def restart_balancer(self, number):
        self.balancers[number] = self.build_dispatcher()
        self.submit_balancer(number, ViewChanged(self.build_view()))
        for call_id, record in list(self.calls.items()):
            if record["balancer"] == number:
                del self.calls[call_id]

    def build_view(self):
        agents = {
            agent.name: AgentAnnouncement(
                agent.name,
                agent.zone,
                "127.0.0.1",
                1,
                agent.incarnation,
                AgentState.DRAINING if agent.is_draining else AgentState.READY,
                (SERVICE,),
            )
            for agent in self.agents.values()
        }
        zones = {zone: ZoneMark(zone, False) for zone in self.zones_out}
        return View({SERVICE: self.table}, zones, agents, {}, frozenset(self.down))

    def distribute_view(self, is_immediate=False):
        event = ViewChanged(self.build_view())
        for number in range(len(self.balancers)):
            delay_s = 0.0 if is_immediate else self.rng.uniform(0.0, 2.0)
            self.schedule(delay_s, self.submit_balancer, number, event)
        for agent in self.agents.values():
            delay_s = 0.0 if is_immediate else self.rng.uniform(0.0, 2.0)
            self.schedule(delay_s, self.submit_agent, agent, event)

    def report_loads(self):
        for agent in self.agents.values():
            event = LoadReported(agent.name, agent.ledger.list_loads(self.now))
            for number in range(len(self.balancers)):
                self.schedule(0.001, self.submit_balancer, number, event)

    # Callers

    def call(
        self, kind, body=b"", ticket=b"", on_reply=None, deadline_s=None, **values
    ):
        call_id = next(self.call_ids)
        number = self.rng.randrange(len(self.balancers))
        deadline_s = deadline_s or self.rng.choice([0.3, 1.0, 3.0])
        self.calls[call_id] = {
            "balancer": number,
            "body": body,
            "on_reply": on_reply,
            "sent_s": self.now,
            "limit_s": self.now + deadline_s + 2 * TICK_S,
        }
        event = CallArrived(
            call_id, kind, SERVICE, ticket, body, "", deadline_s=deadline_s, **values
        )
        self.submit_balancer(number, event)
        if kind is CallKind.POST and self.happens(self.faults.caller_disconnects):
            self.schedule(
                self.rng.uniform(0.0, 0.1), self.disconnect_caller, number, call_id
            )

    def disconnect_caller(self, number, call_id):
        if self.calls.pop(call_id, None) is not None:
            self.submit_balancer(number, CallerDisconnected(call_id))

    def record_reply(self, reply):
        record = self.calls.pop(reply.call_id, None)
        if record is None:
            self.violations.append(("second reply", reply))
            return
        if self.now > record["limit_s"]:
            self.violations.append(("late reply", self.now, record, reply))
        is_response = reply.outcome is None and reply.status == 200
        if is_response and record["body"] and reply.body != b"ran " + record["body"]:
            self.violations.append(("wrong response", record, reply))
        self.replies.append((record["body"], reply, self.now - record["sent_s"]))
        if record["on_reply"] is not None:
            record["on_reply"](reply)

    def schedule_requests(self, count):
        """Schedule `count` requests at varying rates; return when all have ended."""
        time_s = 0.0
        for number in range(count):
            time_s += 1 / RATES[number // 100 % len(RATES)]
            self.schedule(time_s, self.start_request, number)
        return time_s + 40.0

    def start_request(self, number):
        """Start a non-idempotent request with POST, or reserve a ticket first.

        One time in ten, an idempotent request is started as well.
        """
        body = b"%d" % number
        if self.happens(0.1):
            self.call(CallKind.POST, b"idempotent " + body, is_idempotent=True)
        if self.happens(0.6):
            self.call(CallKind.POST, body)
            return
        self.call(
            CallKind.RESERVE, on_reply=lambda reply: self.use_ticket(body, reply.ticket)
        )

    def use_ticket(self, body, ticket):
        """Send the calls of a random sequence, each after a random delay."""
        if not ticket:
            return
        for kind in self.rng.choice(TICKET_CALL_SEQUENCES):
            delay_s = self.rng.choice([0.0, 0.0, 0.02, 0.1, 2.0, 5.0, 30.0])
            self.schedule(delay_s, self.call, kind, body, ticket)

    def find_violations(self):
        """Return every violation of the guarantees for requests."""
        found = [str(violation) for violation in self.violations]
        for body, count in self.runs.items():
            if count > 1 and not body.startswith(b"idempotent"):
                found.append(f"{body} ran {count} times")
        for body, reply, _ in self.replies:
            if reply.outcome is Outcome.NOT_RUN and body and self.runs[body]:
                found.append(f"{body} ran, but the reply was {reply}")
            if reply.outcome is None and reply.status == 200 and not self.runs[body]:
                found.append(f"{body} did not run, but the reply was {reply}")
        found += [f"no reply: {record}" for record in self.calls.values()]
        return found
