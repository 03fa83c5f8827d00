"""Measure the latency of a request and the memory of a ledger entry.

Run with ``PYTHONPATH=src .venv/bin/python scripts/measure_requests.py``. The agent, the
balancer and the backend server run as separate processes on 127.0.0.1.
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

CALL_COUNT = 500
ROUND_COUNT = 5
ENTRY_COUNT = 20_000
HOST = "127.0.0.1"
SETTINGS = LedgerSettings(warm_up_s=0.0)


def build_view(port: int) -> View:
    """Return a view with one agent on `port`."""
    member = Member("s0", "z", 1.0, 10**6, 10**6)
    table = Table("sheets", HOST, 80, Protocol.TCP, (member,))
    agent = AgentAnnouncement("s0", "z", HOST, port, 1)
    return View({"sheets": table}, {}, {"s0": agent})


def serve(factory, pipe) -> None:
    """Run the server of `factory` until `pipe` receives a message.

    The server's port is sent on `pipe`, which then receives the port of the agent.
    """
    timers = TimerService(MonotonicClock())
    server, set_view = factory(timers)
    server.start()
    pipe.send(server.address[1])
    set_view(build_view(pipe.recv()))
    stopped = threading.Event()
    threading.Thread(target=lambda: (pipe.recv(), stopped.set())).start()
    while not stopped.wait(0.01):
        timers.run_due()
    server.stop()


def create_backend(timers: TimerService):
    """Return the backend server stand-in, which needs no view."""
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


class AgentFactory:
    """Factory of an agent's request server that can be pickled."""

    def __init__(self, backend_port: int) -> None:
        self.backend_port = backend_port

    def __call__(self, timers: TimerService):
        """Return an agent's request server."""
        return create_agent(self.backend_port, timers)


def start(factory):
    """Start the server of `factory` in a process; return the process, pipe and port."""
    pipe, child_pipe = multiprocessing.Pipe()
    process = multiprocessing.Process(target=serve, args=(factory, child_pipe))
    process.start()
    return process, pipe, pipe.recv()


def measure_calls(port: int, path: str, status: int) -> float:
    """Return the median time of a call in seconds."""
    pool = urllib3.HTTPConnectionPool(HOST, port, retries=False)
    times_s = []
    for number in range(CALL_COUNT):
        headers = {"Request-Id": str(number), "Deadline-Ms": "5000"}
        start_s = time.perf_counter()
        response = pool.request("POST", path, body=b"body", headers=headers)
        times_s.append(time.perf_counter() - start_s)
        assert response.status == status, response.data
    return statistics.median(times_s)


def measure_round_trips() -> None:
    """Print the latency through balancer and agent, compared with direct calls."""
    backend = start(create_backend)
    agent = start(AgentFactory(backend[2]))
    balancer = start(create_balancer)
    for _, pipe, _ in (backend, agent, balancer):
        pipe.send(agent[2])
    time.sleep(0.2)
    for _ in range(ROUND_COUNT):
        direct_s = measure_calls(backend[2], "/run/sheets", 200)
        path = "/v1/services/sheets/requests"
        balancer_s = measure_calls(balancer[2], path, 200)
        print(
            f"direct {direct_s * 1e3:.2f} ms, "
            f"through balancer {balancer_s * 1e3:.2f} ms, "
            f"ratio {balancer_s / direct_s:.2f}"
        )
    for process, pipe, _ in (balancer, agent, backend):
        pipe.send(None)
        process.join()


def measure_entries() -> None:
    """Print the memory of a fenced entry and of one with a 64-byte response."""
    for is_executed in (False, True):
        ledger = RequestLedger("s0", 1, SETTINGS, random.Random(1))
        ledger.handle(ViewChanged(build_view(1)), 0.0)
        tracemalloc.start()
        before, _ = tracemalloc.get_traced_memory()
        for number in range(ENTRY_COUNT):
            add_entry(ledger, number, is_executed)
        size = (tracemalloc.get_traced_memory()[0] - before) / ENTRY_COUNT
        tracemalloc.stop()
        kind = "done" if is_executed else "fenced"
        print(f"{kind}: {size:.0f} bytes per entry")


def add_entry(ledger: RequestLedger, number: int, is_executed: bool) -> None:
    """Reserve a ticket, then run it or fence it."""
    service_id = build_view(1).tables["sheets"].service_id

    def send(message):
        return ledger.handle(MessageArrived("b0", message), number * 1e-4)

    ticket = send(Reserve(number, service_id, 1000))[0].message.ticket
    if not is_executed:
        send(Fence(number, ticket))
        return
    send(Run(number, ticket, b"body", 1000))
    ledger.handle(BackendResponded(ticket, 200, bytes([number % 256]) * 64), 0.0)


if __name__ == "__main__":
    measure_round_trips()
    measure_entries()
