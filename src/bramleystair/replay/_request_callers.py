"""Callers with HTTP requests, and what the backend servers run of them."""

import collections
import random

import attrs

from bramleystair.actions import Count, Send
from bramleystair.replay._backends import Job
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

CREATED, SUCCESS = 201, 200
REPEAT_S = 5.0
MAX_REPEATS = 4
SHED_DELAY_S = 0.002


@attrs.define(eq=False)
class Request:
    """One request of a caller.

    Parameters
    ----------
    number : int
        Identifies the request, and its body.
    service, zone : str
        Service, and availability zone of the caller.
    is_idempotent : bool
        Whether it may run more than once.
    deadline_s : float
        Time that the caller allows, in seconds.
    ticket : bytes
        Ticket, once reserved.
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
    is_ended: bool = False

    @property
    def body(self) -> bytes:
        """Body of the request."""
        return f"request {self.number}".encode()


class RequestCallers:
    """Send requests, repeat those without an answer, and check every answer.

    Parameters
    ----------
    world : World
        Balancers, agents, time and measures.
    source : random.Random
        Source of times and choices.
    """

    def __init__(self, world, source: random.Random) -> None:
        self._world = world
        self._source = source
        self._requests: dict[bytes, Request] = {}
        self._calls: dict[int, tuple[Request, bytes]] = {}
        self._call_id = 0
        self._runs: collections.Counter[bytes] = collections.Counter()
        self._not_run: set[bytes] = set()
        self._running: collections.Counter = collections.Counter()
        self._jobs: dict[str, tuple] = {}
        self.latencies_s: list[float] = []

    def start(
        self,
        service: str,
        rate_per_s: float,
        for_s: float,
        *,
        is_idempotent: bool,
        deadline_s: float,
    ) -> None:
        """Send requests at a rate for a time."""
        delay_s = 0.0
        while (delay_s := delay_s + self._source.expovariate(rate_per_s)) < for_s:
            self._world.carrier.schedule(
                delay_s, self._create, service, is_idempotent, deadline_s
            )

    def summarise(self) -> None:
        """Count the requests that never got a final answer."""
        for request in self._requests.values():
            if not request.is_ended:
                self._world.measures.add("lost_requests")
        ordered = sorted(self.latencies_s)
        if ordered:
            index = int(0.99 * (len(ordered) - 1))
            self._world.measures.raise_to("latency_p99_s", ordered[index])

    def _create(self, service: str, is_idempotent: bool, deadline_s: float) -> None:
        number = len(self._requests) + 1
        zone = self._source.choice(self._world.zones)
        now = self._world.carrier.now
        request = Request(number, service, zone, is_idempotent, deadline_s, now)
        self._requests[request.body] = request
        self._world.measures.add("requests")
        self._call(request)

    def _call(self, request: Request) -> None:
        node = self._world.choose_balancer(request.zone)
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
        delay_s = self._world.carrier.draw_delay()
        if node is not None:
            self._world.carrier.schedule(delay_s, self._arrive, node, event)
        limit_s = request.deadline_s + REPEAT_S
        self._world.carrier.schedule(limit_s, self._repeat, request, self._call_id)

    def _arrive(self, node, event: CallArrived) -> None:
        if self._world.balancers.get(node.name) is node:
            node.call(node.handle_request, event)

    def _repeat(self, request: Request, call_id: int) -> None:
        """Repeat a call whose balancer has gone; reservations and PUT may be."""
        if request.is_ended or request.call_id != call_id:
            return
        request.repeats += 1
        if request.repeats <= MAX_REPEATS:
            self._world.measures.add("repeated_calls")
            self._call(request)

    def take_reply(self, reply: Reply) -> None:
        """Check the answer to a call."""
        request, ticket = self._calls.pop(reply.call_id, (None, b""))
        if request is None or request.is_ended:
            return
        if not ticket and reply.call_id != request.call_id:
            # The call was repeated; its late answer is about another attempt.
            return
        if reply.status == CREATED and reply.outcome is None:
            request.ticket = reply.ticket
            self._call(request)
            return
        request.is_ended = True
        measures = self._world.measures
        if reply.outcome is Outcome.NOT_RUN:
            measures.add("not_run_requests")
            measures.add(f"refused_{reply.reason}")
            if request.is_idempotent and request.repeats:
                # Runs of the earlier calls are not what this answer is about.
                return
            self._not_run.add(request.body)
            if self._runs[request.body]:
                detail = f"{request.body} {reply.reason} after a run"
                measures.violate("false_not_run", detail)
            return
        if reply.outcome is not None or reply.status != SUCCESS:
            measures.add("unknown_requests")
            measures.add(f"unknown_{reply.reason}")
            return
        measures.add("answered_requests")
        measures.add(f"answered_{request.service}")
        self.latencies_s.append(self._world.carrier.now - request.started_s)
        if reply.body != _build_answer(request.body):
            measures.violate("wrong_responses", f"{request.body} got {reply.body}")

    def take_dispatcher_action(self, node, action) -> None:
        """Carry out what a balancer's dispatcher decided."""
        match action:
            case Send(peer, message):
                self._world.send_stream(node, peer, message)
            case Reply():
                delay_s = self._world.carrier.draw_delay()
                self._world.carrier.schedule(delay_s, self._pass_reply, node, action)
            case Count():
                self._world.count(action)

    def take_ledger_action(self, node, ledger, action) -> None:
        """Carry out what an agent's ledger decided."""
        match action:
            case Send(peer, message):
                if node.ledger is ledger:
                    self._world.send_stream(node, peer, message)
            case StartBackendRequest():
                self._start(node, ledger, action)
            case CancelBackendRequest(ticket, name):
                if node.backend.cancel(name):
                    self._shed(node, ledger, ticket, name)
            case Count():
                self._world.count(action)

    def _pass_reply(self, node, reply: Reply) -> None:
        if self._world.balancers.get(node.name) is node:
            self.take_reply(reply)

    def _start(self, node, ledger, action: StartBackendRequest) -> None:
        started_s = self._world.carrier.now
        self._running[node, action.service] += 1
        self._check_admission(node, action.service)

        def finish() -> None:
            self._running[node, action.service] -= 1
            node.observe(self._world.carrier.now - started_s, False)
            answer = BackendResponded(
                action.ticket, SUCCESS, _build_answer(action.body)
            )
            node.call(self._tell_ledger, node, ledger, answer)

        job = Job(action.request_name, lambda: self._record_run(action.body), finish)
        self._jobs[action.request_name] = (node, action.service)
        if not node.backend.submit(job):
            node.observe(0.0, True)
            self._shed(node, ledger, action.ticket, action.request_name)

    def _shed(self, node, ledger, ticket: bytes, name: str) -> None:
        self._running[self._jobs[name]] -= 1
        event = BackendShed(ticket)
        self._world.carrier.schedule(
            SHED_DELAY_S, node.call, self._tell_ledger, node, ledger, event
        )

    def _tell_ledger(self, node, ledger, event: object) -> None:
        if node.ledger is ledger and self._world.agents.get(node.name) is node:
            node.handle_ledger(event)

    def _check_admission(self, node, service: str) -> None:
        count = self._running[node, service]
        table = node.view.tables.get(service)
        row = None if table is None else table.get_member(node.name)
        cap = 0 if row is None else row.max_requests
        measures = self._world.measures
        if count > cap:
            measures.violate("over_cap", f"{node.name} runs {count} of {cap}")
        settings = node.ledger_settings
        age = (self._world.carrier.now - node.started_s) / max(settings.warm_up_s, 1e-9)
        share = settings.initial_fraction + (1 - settings.initial_fraction) * age
        if count > max(1, cap * min(1.0, share)):
            detail = f"{node.name} runs {count} of {cap} at {share:.2f}"
            measures.violate("over_cold_curve", detail)

    def _record_run(self, body: bytes) -> None:
        self._runs[body] += 1
        measures = self._world.measures
        request = self._requests[body]
        if self._runs[body] > 1 and not request.is_idempotent:
            measures.violate("duplicated_runs", f"{body} ran {self._runs[body]} times")
        if body in self._not_run:
            measures.violate("false_not_run", f"{body} ran after the answer")


def _build_answer(body: bytes) -> bytes:
    return b"answer to " + body
