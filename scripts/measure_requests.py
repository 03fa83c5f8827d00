"""Measure the cost of a request and the memory of a ledger entry.

Run with ``PYTHONPATH=src .venv/bin/python scripts/measure_requests.py``. The agent, the
balancer and the backend server are processes of their own on 127.0.0.1.
"""

import multiprocessing
import random
import statistics
import threading
import time
import tracemalloc

import urllib3

from bramleystair.agent._requests import RequestServer
from bramleystair.backend import BackendClient
from bramleystair.caller import CallerServer, CallerSettings
from bramleystair.flows import MessageArrived, ViewChanged
from bramleystair.requests import (
    BackendResponded,
    Dispatcher,
    DispatcherSettings,
    LedgerSettings,
    RequestLedger,
)
from bramleystair.standins._backend import Backend, Behaviour
from bramleystair.tables import AgentAnnouncement, Member, Protocol, Table
from bramleystair.timers import MonotonicClock, TimerService
from bramleystair.views import View
from bramleystair.wire import Fence, Reserve, Run

CALLS = 500
ROUNDS = 5
ENTRIES = 20_000
HOST = "127.0.0.1"
SETTINGS = LedgerSettings(warm_up_s=0.0)


def build_view(port: int) -> View:
    """Return a view with one agent on `port`."""
    member = Member("s0", "z", 1.0, 10**6, 10**6)
    table = Table("sheets", HOST, 80, Protocol.TCP, (member,))
    agent = AgentAnnouncement("s0", "z", HOST, port, 1)
    return View({"sheets": table}, {}, {"s0": agent})


def serve(part, pipe) -> None:
    """Start `part`, report its port, and stop it when told to."""
    timers = TimerService(MonotonicClock())
    server, set_view = part(timers)
    server.start()
    pipe.send(server.address[1])
    set_view(build_view(pipe.recv()))
    stopped = threading.Event()
    threading.Thread(target=lambda: (pipe.recv(), stopped.set())).start()
    while not stopped.wait(0.01):
        timers.run_due()
    server.stop()


def create_backend(timers: TimerService):
    """Return the stand-in, which needs no view."""
    behaviour = Behaviour(service_time_s=0.0, slots=64)
    return Backend("s0", ["sheets"], HOST, 0, behaviour), lambda view: None


def create_agent(backend_port: int, timers: TimerService):
    """Return an agent's request server."""
    ledger = RequestLedger("s0", 1, SETTINGS, random.SystemRandom())
    client = BackendClient(HOST, backend_port)
    server = RequestServer(
        HOST, 0, ledger, client, timers, lambda count: None, lambda *outcome: None
    )
    return server, server.set_view


def create_balancer(timers: TimerService):
    """Return a balancer's HTTP server."""
    dispatcher = Dispatcher(DispatcherSettings(), random.SystemRandom())
    settings = CallerSettings()
    server = CallerServer(
        HOST, 0, "b0", 1, dispatcher, timers, settings, lambda count: None
    )
    return server, server.set_view


class AgentPart:
    """Factory of the agent that multiprocessing can pass on."""

    def __init__(self, backend_port: int) -> None:
        self.backend_port = backend_port

    def __call__(self, timers: TimerService):
        """Return an agent's request server."""
        return create_agent(self.backend_port, timers)


def start(part):
    """Start `part` in a process and return the process, its pipe and its port."""
    pipe, other = multiprocessing.Pipe()
    process = multiprocessing.Process(target=serve, args=(part, other))
    process.start()
    return process, pipe, pipe.recv()


def measure_calls(port: int, path: str, status: int) -> float:
    """Return the median time of a call in seconds."""
    pool = urllib3.HTTPConnectionPool(HOST, port, retries=False)
    times = []
    for number in range(CALLS):
        headers = {"Request-Id": str(number), "Deadline-Ms": "5000"}
        began = time.perf_counter()
        response = pool.request("POST", path, body=b"body", headers=headers)
        times.append(time.perf_counter() - began)
        assert response.status == status, response.data
    return statistics.median(times)


def measure_round_trips() -> None:
    """Print the time through balancer and agent against a direct call."""
    backend = start(create_backend)
    agent = start(AgentPart(backend[2]))
    balancer = start(create_balancer)
    for _, pipe, _ in (backend, agent, balancer):
        pipe.send(agent[2])
    time.sleep(0.2)
    for _ in range(ROUNDS):
        direct_s = measure_calls(backend[2], "/run/sheets", 200)
        path = "/v1/services/sheets/requests"
        through_s = measure_calls(balancer[2], path, 200)
        print(
            f"direct {direct_s * 1e3:.2f} ms, through {through_s * 1e3:.2f} ms, "
            f"ratio {through_s / direct_s:.2f}"
        )
    for process, pipe, _ in (balancer, agent, backend):
        pipe.send(None)
        process.join()


def measure_entries() -> None:
    """Print the bytes of a fenced entry and of one with a response of 64 bytes."""
    for is_run in (False, True):
        ledger = RequestLedger("s0", 1, SETTINGS, random.Random(1))
        ledger.handle(ViewChanged(build_view(1)), 0.0)
        tracemalloc.start()
        before, _ = tracemalloc.get_traced_memory()
        for number in range(ENTRIES):
            add_entry(ledger, number, is_run)
        size = (tracemalloc.get_traced_memory()[0] - before) / ENTRIES
        tracemalloc.stop()
        kind = "done" if is_run else "fenced"
        print(f"{kind}: {size:.0f} bytes an entry")


def add_entry(ledger: RequestLedger, number: int, is_run: bool) -> None:
    """Reserve a ticket and run or fence it."""
    service_id = build_view(1).tables["sheets"].service_id

    def ask(message):
        return ledger.handle(MessageArrived("b0", message), number * 1e-4)

    ticket = ask(Reserve(number, service_id, 1000))[0].message.ticket
    if not is_run:
        ask(Fence(number, ticket))
        return
    ask(Run(number, ticket, b"body", 1000))
    ledger.handle(BackendResponded(ticket, 200, bytes([number % 256]) * 64), 0.0)


if __name__ == "__main__":
    measure_round_trips()
    measure_entries()
