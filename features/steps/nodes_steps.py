import os
import random
import signal
import socket
import subprocess
import sys
from pathlib import Path

from behave import given, then, when
from log_recorder import record_logs

from bramleystair.http import (
    HttpClient,
    HttpFailure,
    HttpReply,
    HttpServer,
)
from bramleystair.loop import EventLoop
from bramleystair.metrics import Metrics
from bramleystair.mirror import Mirror, RetryQueue, StoredItem, StoreEpoch
from bramleystair.nodes._decision_log import DecisionLog
from bramleystair.nodes._snapshots import SnapshotClient, SnapshotServer
from bramleystair.nodes._start import _NonBlockingStream
from bramleystair.steering import Decision
from bramleystair.timers import MonotonicClock

HOST = "127.0.0.1"


def run_until(context, condition, limit_s):
    """Run the loop until the condition holds; the limit only ends a failing test."""
    end = context.loop.clock.now() + limit_s
    while not condition() and context.loop.clock.now() < end:
        context.loop.timers.subscribe_once(0.02, lambda _: None)
        context.loop.run_once()
    return condition()


@given("an event loop")
def create_loop(context):
    context.loop = EventLoop(MonotonicClock())
    context.add_cleanup(context.loop.close)


@when("a timer raises an exception before another timer is due")
def raise_in_timer(context):
    context.ran = []

    def fail(_):
        raise KeyError("broken")

    context.loop.timers.subscribe_once(0.01, fail)
    context.loop.timers.subscribe_once(0.05, context.ran.append)


@then("the other timer ran and 1 failure was counted")
def check_timer(context):
    assert run_until(context, lambda: bool(context.ran), 5)
    assert context.loop.handler_errors == 1


@when("the process receives SIGHUP")
def send_signal(context):
    context.ran = []
    previous = signal.getsignal(signal.SIGHUP)
    context.loop.add_signal_handler(signal.SIGHUP, lambda: context.ran.append(1))
    context.add_cleanup(signal.signal, signal.SIGHUP, previous)
    context.add_cleanup(signal.set_wakeup_fd, -1)
    os.kill(os.getpid(), signal.SIGHUP)


@then("its handler ran")
def check_signal(context):
    assert run_until(context, lambda: bool(context.ran), 5)


def start_server(context, respond):
    server = context.server = HttpServer(context.loop, (HOST, 0), respond)
    context.add_cleanup(server.close)
    context.endpoint = (HOST, server.port)


@given("an HTTP server on it that echoes request bodies")
def start_echo_server(context):
    start_server(context, lambda request: HttpReply(200, request.body))


@given("an HTTP server on it that answers with {size:d} bytes")
def start_large_response_server(context, size):
    start_server(context, lambda request: HttpReply(200, b"x" * size))


@given("a port that accepts connections but does not answer")
def start_unresponsive_server(context):
    listener = socket.create_server((HOST, 0))
    context.add_cleanup(listener.close)
    context.endpoint = listener.getsockname()


@given("a port without a listener")
def reserve_port(context):
    with socket.create_server((HOST, 0)) as listener:
        context.endpoint = listener.getsockname()


@when("{count:d} calls are made in sequence")
def make_calls(context, count):
    client = HttpClient(context.loop, context.endpoint)
    context.add_cleanup(client.close)
    context.ports = set()
    context.answers = []
    for number in range(count):
        call = client.call("POST", "/x", f"body {number}".encode(), 10.0)
        assert run_until(context, call.done, 15)
        context.answers.append(call.result())
        context.ports.add(client._idle[-1]._socket.getsockname())


@when("a call with a timeout of {limit:f} s is made")
def make_call(context, limit):
    client = HttpClient(context.loop, context.endpoint)
    call = client.call("GET", "/", timeout_s=limit)
    assert run_until(context, call.done, 15)
    context.answers = [call.result()]


@when("{count:d} random byte strings are sent to it")
def send_random(context, count):
    source = random.Random(2)
    for _ in range(count):
        with socket.create_connection(context.endpoint) as connection:
            connection.sendall(source.randbytes(source.randrange(1, 200)) + b"\r\n\r\n")
            context.loop.run_once()
    context.loop.timers.subscribe_once(0.01, lambda _: None)
    context.loop.run_once()


@then("all {count:d} bodies are echoed over {connections:d} connection")
def check_answers(context, count, connections):
    bodies = [answer.body for answer in context.answers]
    assert bodies == [f"body {number}".encode() for number in range(count)]
    assert len(context.ports) == connections


@then("the response has {size:d} bytes")
def check_size(context, size):
    assert len(context.answers[0].body) == size


@then('it fails with "{detail}"')
def check_failure(context, detail):
    assert context.answers[0].detail == detail, context.answers


@then("it fails with a reason")
def check_any_failure(context):
    assert isinstance(context.answers[0], HttpFailure)
    assert context.answers[0].detail


@then("the connection was refused")
def check_refused(context):
    assert context.answers[0].is_connection_refused, context.answers


class UnresponsiveStore:
    """Store client that never answers."""

    def __init__(self):
        self.epoch = StoreEpoch()

    def list_items(self, kind, after):
        from concurrent.futures import Future

        return Future()


def create_mirrors(context, members):
    mirrors = {}
    for name in ("rules", "evacuations", "members"):
        mirrors[name] = Mirror(
            UnresponsiveStore(),
            name,
            context.loop.timers,
            RetryQueue(context.loop.timers, random.Random(1)),
            Metrics({}),
            lambda items: None,
        )
    if members:
        names = [f"m{number}" for number in range(members)]
        items = {name: StoredItem(name, 5, {"port": 1}) for name in names}
        mirrors["rules"].preload({"main": StoredItem("main", 4, {"Version": 1})})
        mirrors["evacuations"].preload({})
        mirrors["members"].preload(items)
    return mirrors


@given("a peer that holds {count:d} members and a peer that is down")
def start_peer(context, count):
    start_server(context, SnapshotServer(create_mirrors(context, count)).answer)
    with socket.create_server((HOST, 0)) as listener:
        context.dead_peer = listener.getsockname()


@given("a peer that holds {count:d} members and a peer with the snapshot {text}")
def start_odd_peer(context, count, text):
    body = "[" * 100_000 if text == "nested" else text
    start_server(context, lambda request: HttpReply(200, body.encode()))
    context.dead_peer = context.endpoint
    start_server(context, SnapshotServer(create_mirrors(context, count)).answer)


def start_snapshot_client(context):
    peers = (context.dead_peer, context.endpoint)
    SnapshotClient(context.loop, peers, context.mirrors).start()


@when("a balancer starts while the store does not answer")
def start_balancer(context):
    context.mirrors = create_mirrors(context, 0)
    start_snapshot_client(context)


@then("it holds {count:d} members within {seconds:d} s")
def check_members(context, count, seconds):
    members = context.mirrors["members"]
    assert run_until(context, lambda: members.is_complete, seconds)
    assert len(members.items) == count
    assert context.mirrors["rules"].items["main"].value == {"Version": 1}


@when("a balancer that has listed {count:d} members receives the peer's snapshot")
def receive_late_snapshot(context, count):
    context.mirrors = create_mirrors(context, count)
    context.mirrors["members"].preload({})


@then("it still holds {count:d} members")
def check_members_kept(context, count):
    assert len(context.mirrors["members"].items) == count


@given("a decision log")
def create_decision_log(context):
    context.time_s = 5.0
    context.decision_log = DecisionLog(lambda: context.time_s)
    record_logs(context)


@when("{count:d} decisions of one kind and 1 of another are recorded within a second")
def record_decisions(context, count):
    for _ in range(count):
        context.decision_log.record(Decision("open", bytes(12), "busy", {"running": 3}))
    context.decision_log.record(Decision("reset", bytes(12), "no_owner"))


@then("{count:d} lines of the first kind and 1 of the other are logged")
def check_line_counts(context, count):
    steps = [record.step for record in context.recorder.records]
    assert steps.count("open") == count
    assert steps.count("reset") == 1


@then("a line in the next second counts {count:d} suppressed lines")
def check_suppressed(context, count):
    context.time_s = 6.0
    context.decision_log.record(Decision("open", b"", "busy"))
    assert any(
        getattr(record, "count", None) == count for record in context.recorder.records
    )


@given("a pipe that nobody reads")
def create_pipe(context):
    reader, writer = os.pipe()
    context.add_cleanup(os.close, reader)
    context.add_cleanup(os.close, writer)
    context.stream = _NonBlockingStream(writer)


@when("{count:d} log lines are written to it")
def write_lines(context, count):
    for _ in range(count):
        context.stream.write("x" * 100 + "\n")


@then("the writer was not blocked and lines were dropped")
def check_dropped(context):
    # The scenario only reaches this step if no write blocked.
    assert context.stream.dropped > 0


LOADED_MODULES = {
    "balancer": "bramleystair.nodes._balancer, bramleystair.platform._configuration",
    "agent": "bramleystair.nodes._agent, bramleystair.platform._heartbeats",
}


@when("the modules of a {role} are loaded by a new process")
def load_modules(context, role):
    # Without the site module, which may load others for the development tools.
    paths = [str(Path(__file__).resolve().parents[2] / "src"), *sys.path]
    script = (
        f"import sys; sys.path[:] = {paths!r}; import bramleystair.platform, "
        f"{LOADED_MODULES[role]}; print(*sys.modules)"
    )
    command = [sys.executable, "-S", "-c", script]
    output = subprocess.run(command, check=True, capture_output=True, text=True)
    context.modules = set(output.stdout.split())


@then("none of these is loaded: {names}")
def check_modules(context, names):
    assert "bramleystair.steering" in context.modules
    assert not context.modules.intersection(names.split(", "))
