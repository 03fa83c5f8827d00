import concurrent.futures
import json
import re
import socket
import threading

import urllib3
from behave import given, then, when

from bramleystair.backend import BackendClient
from bramleystair.standins._backend import Backend, Behaviour

MAX_BODY_BYTES = 100_000
TRUNCATED_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\npart"


def post_control(context, changes):
    url = "http://{}:{}/control".format(*context.backend.address)
    return urllib3.request("POST", url, body=json.dumps(changes))


def wait_for_start(context):
    event = threading.Event()
    while not context.backend.runs:
        event.wait(0.01)


@given("a backend server with {setting}")
def start_backend(context, setting):
    context.backend = Backend("s0", ["sheets"], "127.0.0.1", 0, Behaviour())
    context.backend.start()
    context.add_cleanup(context.backend.stop)
    assert post_control(context, json.loads(setting)).status == 200
    context.client = BackendClient(*context.backend.address, MAX_BODY_BYTES)


@given("a listener that {fault}")
def start_listener(context, fault):
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    context.add_cleanup(listener.close)
    context.client = BackendClient(*listener.getsockname(), MAX_BODY_BYTES)
    if fault == "is closed":
        return
    listener.listen()

    def serve():
        connection, _ = listener.accept()
        connection.recv(65_536)
        if fault == "closes within the response":
            connection.sendall(TRUNCATED_RESPONSE)
        while fault == "never answers" and connection.recv(65_536):
            pass
        connection.close()

    thread = threading.Thread(target=serve)
    thread.start()
    context.add_cleanup(thread.join)


@when("a request with a deadline of {deadline:d} ms runs")
def run(context, deadline):
    context.outcome = context.client.run("sheets", "r1", b"body", "", deadline / 1000)


@when("a request runs and is cancelled")
def run_and_cancel(context):
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        outcome = pool.submit(context.client.run, "sheets", "r1", b"body", "", 50.0)
        wait_for_start(context)
        assert context.client.cancel("r1").unwrap()
        context.outcome = outcome.result()


@when("a request runs and its load is read")
def run_and_read_load(context):
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        pool.submit(context.client.run, "sheets", "r1", b"body", "", 50.0)
        wait_for_start(context)
        context.load = context.client.read_load().unwrap()
        context.client.cancel("r1")


@then("the outcome is {expected}")
def check_outcome(context, expected):
    outcome = context.outcome
    detail = getattr(outcome, "reason", "") or outcome.status
    assert f"{type(outcome).__name__} {detail}" == expected, outcome


@then("the backend server started it {count:d} times")
def check_starts(context, count):
    assert context.backend.runs["r1"] == count


@then("its health is {health} and its load is {load}")
def check_reports(context, health, load):
    assert str(context.client.check_health().unwrap()) == health
    context.load = context.client.read_load().unwrap()
    check_load(context, load)


@then("its reported load is {load}")
def check_load(context, load):
    found = context.load
    assert f"{found.running} {found.queued} {found.slots}" == load, found


@then('the control endpoint refuses "{name}" and names "{allowed}"')
def check_control(context, name, allowed):
    response = post_control(context, {name: 1})
    assert response.status == 400
    assert name in response.json()["unknown"]
    assert allowed in response.json()["allowed"]


@when("the datagrams {texts} are sent")
def send_datagrams(context, texts):
    context.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    context.add_cleanup(context.socket.close)
    context.socket.settimeout(10.0)
    for text in re.findall('"(.*?)"', texts):
        context.socket.sendto(text.encode(), context.backend.address)


@then("the answers are {texts}")
def check_datagrams(context, texts):
    for text in re.findall('"(.*?)"', texts):
        assert context.socket.recv(1000).decode() == text
