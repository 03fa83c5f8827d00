import base64
import collections
import concurrent.futures
import hashlib
import json
import random
import socket
import threading
import time

import attrs
import urllib3
from behave import given, then, when

from bramleystair.agent._requests import RequestServer
from bramleystair.backend import BackendClient
from bramleystair.caller import CallerServer, CallerSettings
from bramleystair.requests import (
    Dispatcher,
    DispatcherSettings,
    LedgerSettings,
    RequestLedger,
    import_ledger,
)
from bramleystair.standins._backend import Backend, Behaviour
from bramleystair.tables import AgentAnnouncement, Member, Protocol, Table, ZoneMark
from bramleystair.timers import MonotonicClock, TimerService
from bramleystair.views import View

MAX_BODY_BYTES = 100_000
WAIT_S = 10.0
LEDGER_SETTINGS = LedgerSettings(warm_up_s=0.0, max_body_bytes=MAX_BODY_BYTES)


class LoopbackDeployment:
    """A balancer, an agent and a backend server in this process."""

    def __init__(self):
        self.counts = collections.Counter()
        self.timers = TimerService(MonotonicClock())
        self.is_stopped = threading.Event()
        self.thread = threading.Thread(target=self.run_timers)
        self.backend = Backend(
            "s0", ["sheets"], "127.0.0.1", 0, Behaviour(service_time_s=0.005)
        )
        self.backend.start()
        ledger = RequestLedger("s0", 1, LEDGER_SETTINGS, random.Random(1))
        self.agent = self.build_agent(0, ledger)
        self.balancer = CallerServer(
            "127.0.0.1",
            0,
            "b0",
            1,
            Dispatcher(DispatcherSettings(), random.Random(2)),
            self.timers,
            CallerSettings(max_body_bytes=MAX_BODY_BYTES),
            self.record_count,
        )
        self.agent.start()
        self.balancer.start()
        member = Member("s0", "z", 1.0, 9, 9)
        table = Table("sheets", "127.0.0.1", 80, Protocol.TCP, (member,))
        agent = AgentAnnouncement("s0", "z", *self.agent.address, 1)
        self.view = View({"sheets": table}, {}, {"s0": agent})
        self.agent.set_view(self.view)
        self.balancer.set_view(self.view)
        self.components = [self.balancer, self.agent, self.backend]
        self.http_pool = urllib3.HTTPConnectionPool(
            *self.balancer.address, maxsize=8, retries=False, timeout=WAIT_S
        )
        self.reserved_socket = socket.socket()
        self.location = ""
        self.thread.start()

    def build_agent(self, port, ledger):
        return RequestServer(
            "127.0.0.1",
            port,
            ledger,
            BackendClient(*self.backend.address),
            self.timers,
            self.record_count,
            lambda latency_s, is_shed: None,
        )

    def upgrade_agent(self):
        port = self.agent.address[1]
        data = self.agent.hand_over(WAIT_S)
        ledger = import_ledger(data, LEDGER_SETTINGS, random.Random(3)).unwrap()
        self.components.remove(self.agent)
        self.agent = self.build_agent(port, ledger)
        self.agent.start()
        self.agent.set_view(self.view)
        self.components.insert(1, self.agent)

    def record_count(self, count):
        self.counts[count.name, count.reason] += count.amount

    def run_timers(self):
        while not self.is_stopped.wait(0.005):
            self.timers.run_due()

    def stop(self, component=None):
        for each in [component] if component else list(self.components):
            self.components.remove(each)
            each.stop()
        if not self.components:
            self.reserved_socket.close()
            self.is_stopped.set()
            self.thread.join()

    def stop_and_reserve_port(self, component):
        """Stop a component; keep its port bound so that no process listens there."""
        address = component.address
        self.stop(component)
        self.reserved_socket = socket.socket()
        self.reserved_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.reserved_socket.bind(address)

    def call(self, method, path, body=None, **headers):
        chunked = headers.pop("chunked", False)
        headers = {name.replace("_", "-"): text for name, text in headers.items()}
        response = self.http_pool.request(
            method, path, body=body, headers=headers, chunked=chunked
        )
        self.location = response.headers.get("Location", self.location)
        return response

    def make_call(self, call):
        new = "/v1/services/sheets/requests"
        large = bytes(MAX_BODY_BYTES + 1)
        match call.split():
            case ["POST"]:
                return self.call("POST", new)
            case ["POST", "body"]:
                return self.call("POST", new, b"body")
            case ["POST", "large"]:
                return self.call("POST", new, large)
            case ["POST", "chunked"]:
                return self.call("POST", new, b"body", chunked=True)
            case ["POST", "large", "chunked"]:
                return self.call("POST", new, large, chunked=True)
            case ["POST", "unknown_service"]:
                return self.call("POST", new.replace("sheets", "none"), b"body")
            case ["POST", "short_deadline"]:
                self.backend.behaviour.service_time_s = 60.0
                return self.call("POST", new, b"body", Deadline_Ms="300")
            case ["PUT", "malformed"]:
                return self.call("PUT", "/v1/requests/A", b"body")
            case ["PUT", "forged"]:
                replacement = "A" if self.location[-8] != "A" else "B"
                forged = self.location[:-8] + replacement + self.location[-7:]
                return self.call("PUT", forged, b"body")
            case ["PUT", "large"]:
                return self.call("PUT", self.location, large)
            case ["PUT", *other]:
                return self.call("PUT", self.location, b"other" if other else b"body")
            case ["GET" | "DELETE" as method]:
                return self.call(method, self.location)
            case ["DRAIN"]:
                self.agent.start_drain()
            case ["UPGRADE"]:
                self.upgrade_agent()
            case ["ZONE", "OUT"]:
                assert self.agent.count_connections() == 1
                mark = ZoneMark("z", False)
                self.balancer.set_view(attrs.evolve(self.view, zones={"z": mark}))
            case ["SHED"]:
                self.backend.behaviour.is_draining = True
            case ["BACKEND", "DOWN"]:
                self.stop_and_reserve_port(self.backend)
            case ["AGENT", "DOWN"]:
                self.stop_and_reserve_port(self.agent)
            case _:
                raise ValueError(call)
        return None


def wait_until(check):
    event = threading.Event()
    for _ in range(int(WAIT_S / 0.01)):
        if check():
            return
        event.wait(0.01)
    raise AssertionError("condition not met in time")


@given("a balancer, an agent and a backend server on loopback")
def start_deployment(context):
    context.loopback = LoopbackDeployment()
    context.add_cleanup(context.loopback.stop)


@when("a caller makes {calls}")
def make_calls(context, calls):
    responses = [context.loopback.make_call(call) for call in calls.split(", ")]
    context.responses = [response for response in responses if response is not None]


@then("the statuses are {statuses}")
def check_statuses(context, statuses):
    found = ", ".join(str(response.status) for response in context.responses)
    assert found == statuses, (found, context.responses[-1].data)


@then('the last outcome is "{outcome}" with reason "{reason}"')
@then('the last outcome is "" with reason ""')
def check_outcome(context, outcome="", reason=""):
    response = context.responses[-1]
    if not outcome:
        return
    content = json.loads(response.data)
    assert (content["outcome"], content["reason"]) == (outcome, reason), content
    assert response.status not in (429, 503) or int(response.headers["Retry-After"])


@then("the agent has no open connection")
def check_connections(context):
    wait_until(lambda: context.loopback.agent.count_connections() == 0)


@then("the backend server ran {count:d} requests, each once")
def check_runs(context, count):
    runs = context.loopback.backend.runs
    assert list(runs.values()) == [1] * count, runs


@when("{callers:d} callers make {calls:d} calls each concurrently")
def make_concurrent_calls(context, callers, calls):
    def make_calls_of(caller):
        path = "/v1/services/sheets/requests"
        for number in range(calls):
            body = f"{caller}/{number}".encode()
            response = context.loopback.call("POST", path, body)
            while response.status in (429, 503) and time.monotonic() < stop_s:
                time.sleep(0.01)
                response = context.loopback.call("POST", path, body)
            context.exchanges.append((body, response))

    context.exchanges = []
    context.calls = callers * calls
    # Refused calls are repeated; the time limit only ends a run that hangs.
    stop_s = time.monotonic() + 60.0
    with concurrent.futures.ThreadPoolExecutor(callers) as pool:
        list(pool.map(make_calls_of, range(callers)))


@then("each response contains its caller's body and a matching digest")
def check_responses(context):
    assert len(context.exchanges) == context.calls
    for body, response in context.exchanges:
        assert response.status == 200, response.data
        assert response.data.endswith(b"\n" + body)
        digest = base64.b64encode(hashlib.sha256(response.data).digest()).decode()
        assert response.headers["Repr-Digest"] == f"sha-256=:{digest}:"


@when("a caller closes its connection while its request runs")
def disconnect_caller(context):
    context.loopback.backend.behaviour.service_time_s = 60.0
    with socket.create_connection(context.loopback.balancer.address) as caller:
        head = "POST /v1/services/sheets/requests HTTP/1.1\r\nHost: b0\r\n"
        caller.sendall(f"{head}Content-Length: 4\r\n\r\nbody".encode())
        wait_until(lambda: context.loopback.backend.runs)


@then("the backend server cancels the request")
def check_cancelled(context):
    wait_until(lambda: context.loopback.backend.totals["cancelled"] == 1)
    assert context.loopback.counts["callers_gone", "run"] == 1


@when("the balancer stops while a request runs")
def stop_balancer(context):
    loopback = context.loopback
    loopback.backend.behaviour.service_time_s = 1.0
    with concurrent.futures.ThreadPoolExecutor(2) as pool:
        context.running = pool.submit(loopback.make_call, "POST body")
        wait_until(lambda: loopback.backend.runs)
        stopped = pool.submit(loopback.stop, loopback.balancer)
        try:
            context.refused = loopback.make_call("POST body").status == 503
        except urllib3.exceptions.HTTPError:
            context.refused = True
        stopped.result()


@then("the running request receives its response and a new call is refused")
def check_stopped(context):
    assert context.running.result().status == 200
    assert context.refused
    assert context.loopback.backend.totals["done"] == 1
