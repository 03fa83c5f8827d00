"""Callers that send HTTP requests, and their execution at the backend servers."""

import collections
import random

import attrs

from bramleystair.actions import Count, Send
from bramleystair.replay._backend_model import Job
from bramleystair.requests import (
    BackendResponded,
    BackendShed,
    CallArrived,
    CallKind,
    CancelBackendRequest,
    Outcome,
    Reply,
    StartBackendRequest,
)

HTTP_CREATED, HTTP_OK = 201, 200
REPEAT_DELAY_S = 5.0
MAX_REPEATS = 4
SHED_DELAY_S = 0.002


@attrs.define(eq=False)
class Request:
    """A request of a caller and its state.

    Parameters
    ----------
    number : int
        Identifies the request and determines its body.
    service, zone : str
        Service, and availability zone of the caller.
    is_idempotent : bool
        Whether it may run more than once.
    deadline_s : float
        Time that the caller allows for a response, in seconds.
    ticket : bytes
        Ticket of the reservation; empty before it.
    """

    number: int
    service: str
    zone: str
    is_idempotent: bool
    deadline_s: float
    started_s: float
    ticket: bytes = b""
    call_id: int = 0
    repeats: int = 0
    is_completed: bool = False

    @property
    def body(self) -> bytes:
        """Unique body of the request."""
        return f"request {self.number}".encode()


class RequestCallers:
    """Send requests, repeat calls without a reply, and check each reply.

    Parameters
    ----------
    simulation : Simulation
        Balancers, agents, scheduler and measures.
    rng : random.Random
        Random numbers for arrival times and choices.
    """

    def __init__(self, simulation, rng: random.Random) -> None:
        self._simulation = simulation
        self._rng = rng
        self._requests: dict[bytes, Request] = {}
        self._calls: dict[int, tuple[Request, bytes]] = {}
        self._call_id = 0
        self._runs: collections.Counter[bytes] = collections.Counter()
        self._not_run: set[bytes] = set()
        self._running: collections.Counter = collections.Counter()
        self._jobs: dict[str, tuple] = {}
        self.latencies_s: list[float] = []

    def schedule_requests(
        self,
        service: str,
        rate_per_s: float,
        for_s: float,
        *,
        is_idempotent: bool,
        deadline_s: float,
    ) -> None:
        """Schedule requests with Poisson arrivals for `for_s` seconds."""
        delay_s = 0.0
        while (delay_s := delay_s + self._rng.expovariate(rate_per_s)) < for_s:
            self._simulation.scheduler.schedule(
                delay_s, self._create, service, is_idempotent, deadline_s
            )

    def record_totals(self) -> None:
        """Record lost requests and the 99th percentile of the latency."""
        for request in self._requests.values():
            if not request.is_completed:
                self._simulation.measures.increment("lost_requests")
        ordered = sorted(self.latencies_s)
        if ordered:
            index = int(0.99 * (len(ordered) - 1))
            self._simulation.measures.record_maximum("latency_p99_s", ordered[index])

    def _create(self, service: str, is_idempotent: bool, deadline_s: float) -> None:
        number = len(self._requests) + 1
        zone = self._rng.choice(self._simulation.zones)
        now = self._simulation.scheduler.now
        request = Request(number, service, zone, is_idempotent, deadline_s, now)
        self._requests[request.body] = request
        self._simulation.measures.increment("requests")
        self._call(request)

    def _call(self, request: Request) -> None:
        node = self._simulation.choose_balancer(request.zone)
        self._call_id += 1
        request.call_id = self._call_id
        self._calls[self._call_id] = (request, request.ticket)
        if request.is_idempotent:
            kind, body = CallKind.POST, request.body
        elif request.ticket:
            kind, body = CallKind.PUT, request.body
        else:
            kind, body = CallKind.RESERVE, b""
        event = CallArrived(
            self._call_id,
            kind,
            request.service,
            request.ticket,
            body,
            is_idempotent=request.is_idempotent,
            deadline_s=request.deadline_s,
        )
        delay_s = self._simulation.scheduler.sample_delay()
        if node is not None:
            self._simulation.scheduler.schedule(
                delay_s, self._deliver_call, node, event
            )
        repeat_after_s = request.deadline_s + REPEAT_DELAY_S
        self._simulation.scheduler.schedule(
            repeat_after_s, self._repeat, request, self._call_id
        )

    def _deliver_call(self, node, event: CallArrived) -> None:
        if self._simulation.balancers.get(node.name) is node:
            node.dispatch(node.handle_dispatcher_event, event)

    def _repeat(self, request: Request, call_id: int) -> None:
        """Repeat a call without a reply, for example after its balancer failed.

        Reservations, PUT with a ticket and POST of idempotent requests are safe to
        repeat.
        """
        if request.is_completed or request.call_id != call_id:
            return
        request.repeats += 1
        if request.repeats <= MAX_REPEATS:
            self._simulation.measures.increment("repeated_calls")
            self._call(request)

    def handle_reply(self, reply: Reply) -> None:
        """Process the reply to a call and check it against the runs so far."""
        request, ticket = self._calls.pop(reply.call_id, (None, b""))
        if request is None or request.is_completed:
            return
        if not ticket and reply.call_id != request.call_id:
            # Late reply to an earlier attempt; the call was repeated meanwhile.
            return
        if reply.status == HTTP_CREATED and reply.outcome is None:
            request.ticket = reply.ticket
            self._call(request)
            return
        request.is_completed = True
        measures = self._simulation.measures
        if reply.outcome is Outcome.NOT_RUN:
            measures.increment("not_run_requests")
            measures.increment(f"refused_{reply.reason}")
            if request.is_idempotent and request.repeats:
                # The reply concerns the last call only; earlier ones may have run.
                return
            self._not_run.add(request.body)
            if self._runs[request.body]:
                detail = f"{request.body} {reply.reason} after a run"
                measures.record_violation("false_not_run", detail)
            return
        if reply.outcome is not None or reply.status != HTTP_OK:
            measures.increment("unknown_requests")
            measures.increment(f"unknown_{reply.reason}")
            return
        measures.increment("answered_requests")
        measures.increment(f"answered_{request.service}")
        self.latencies_s.append(self._simulation.scheduler.now - request.started_s)
        if reply.body != _build_response_body(request.body):
            measures.record_violation(
                "wrong_responses", f"{request.body} got {reply.body}"
            )

    def execute_dispatcher_action(self, node, action) -> None:
        """Execute an action of a balancer's dispatcher."""
        match action:
            case Send(peer, message):
                self._simulation.send_stream(node, peer, message)
            case Reply():
                delay_s = self._simulation.scheduler.sample_delay()
                self._simulation.scheduler.schedule(
                    delay_s, self._deliver_reply, node, action
                )
            case Count():
                self._simulation.record_count(action)

    def execute_ledger_action(self, node, ledger, action) -> None:
        """Execute an action of an agent's request ledger."""
        match action:
            case Send(peer, message):
                if node.ledger is ledger:
                    self._simulation.send_stream(node, peer, message)
            case StartBackendRequest():
                self._start(node, ledger, action)
            case CancelBackendRequest(ticket, name):
                if node.backend.cancel(name):
                    self._shed(node, ledger, ticket, name)
            case Count():
                self._simulation.record_count(action)

    def _deliver_reply(self, node, reply: Reply) -> None:
        if self._simulation.balancers.get(node.name) is node:
            self.handle_reply(reply)

    def _start(self, node, ledger, action: StartBackendRequest) -> None:
        started_s = self._simulation.scheduler.now
        self._running[node, action.service] += 1
        self._check_admission(node, action.service)

        def finish() -> None:
            self._running[node, action.service] -= 1
            node.observe(self._simulation.scheduler.now - started_s, False)
            response = BackendResponded(
                action.ticket, HTTP_OK, _build_response_body(action.body)
            )
            node.dispatch(self._notify_ledger, node, ledger, response)

        job = Job(action.request_name, lambda: self._record_run(action.body), finish)
        self._jobs[action.request_name] = (node, action.service)
        if not node.backend.submit(job):
            node.observe(0.0, True)
            self._shed(node, ledger, action.ticket, action.request_name)

    def _shed(self, node, ledger, ticket: bytes, name: str) -> None:
        self._running[self._jobs[name]] -= 1
        event = BackendShed(ticket)
        self._simulation.scheduler.schedule(
            SHED_DELAY_S, node.dispatch, self._notify_ledger, node, ledger, event
        )

    def _notify_ledger(self, node, ledger, event: object) -> None:
        if node.ledger is ledger and self._simulation.agents.get(node.name) is node:
            node.handle_ledger_event(event)

    def _check_admission(self, node, service: str) -> None:
        count = self._running[node, service]
        table = node.view.tables.get(service)
        member = None if table is None else table.get_member(node.name)
        limit = 0 if member is None else member.max_requests
        measures = self._simulation.measures
        if count > limit:
            measures.record_violation(
                "over_cap", f"{node.name} runs {count} of {limit}"
            )
        settings = node.ledger_settings
        warm_up_share = (self._simulation.scheduler.now - node.started_s) / max(
            settings.warm_up_s, 1e-9
        )
        admitted_share = (
            settings.initial_fraction + (1 - settings.initial_fraction) * warm_up_share
        )
        if count > max(1, limit * min(1.0, admitted_share)):
            detail = f"{node.name} runs {count} of {limit} at {admitted_share:.2f}"
            measures.record_violation("over_cold_curve", detail)

    def _record_run(self, body: bytes) -> None:
        self._runs[body] += 1
        measures = self._simulation.measures
        request = self._requests[body]
        if self._runs[body] > 1 and not request.is_idempotent:
            measures.record_violation(
                "duplicated_runs", f"{body} ran {self._runs[body]} times"
            )
        if body in self._not_run:
            measures.record_violation("false_not_run", f"{body} ran after the answer")


def _build_response_body(body: bytes) -> bytes:
    return b"answer to " + body
