import contextlib
import http.server
import itertools
import json
import logging
import os
import random
import socket
import threading
import time
import urllib.error
import urllib.request
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when
from hypothesis import given as generate
from hypothesis import settings
from hypothesis import strategies as st

from bramleystair.agent import AgentDaemon
from bramleystair.balancer import BalancerDaemon
from bramleystair.daemons import require_seeds
from bramleystair.fabric import decapsulate, encapsulate, open_udp_socket, read_flow_key
from bramleystair.packets import reverse_flow
from bramleystair.settings import (
    AgentSettings,
    BalancerSettings,
    SeedSettings,
    check_settings,
)
from bramleystair.standins._platform import (
    PlatformApplication,
    create_platform_server,
)
from bramleystair.store import PlatformClient
from bramleystair.tables import (
    BalancerAnnouncement,
    Member,
    Protocol,
    Table,
    build_key,
    compute_service_id,
    encode_object,
)
from bramleystair.timers import MonotonicClock
from bramleystair.wire import Forward, Objects, StoredObject, encode
from support.tcp import (
    ACK,
    RST,
    SERVICE,
    build_segment,
    build_segments,
    get_flags,
    has_valid_checksums,
)

# Long enough that a busy machine does not make a scenario fail.
WAIT_S = 30.0
POLL_S = 0.02
# Each scenario and each test run on the machine uses addresses of its own.
NETWORK = f"127.{220 + os.getpid() % 30}.{os.getpid() // 30 % 250}"
_host_numbers = itertools.count(1)
SERVICE_NAME = "sheet-download"
SERVICE_ID = compute_service_id(SERVICE_NAME)


class SkippingClock(MonotonicClock):
    """Clock that simulates a pause of the process when `skipped_s` is increased."""

    skipped_s = 0.0

    def now(self):
        return super().now() + self.skipped_s


def wait_until(is_met):
    deadline_s = time.monotonic() + WAIT_S
    while not is_met():
        assert time.monotonic() < deadline_s, f"condition not met within {WAIT_S} s"
        time.sleep(POLL_S)


def build_host():
    return f"{NETWORK}.{next(_host_numbers)}"


@given("a balancer, and an agent whose backend server is behind a TUN device")
def start_daemons(context):
    logging.getLogger("bramleystair").setLevel(logging.CRITICAL)
    context.fabric = open_udp_socket(build_host(), 0)
    context.fabric.settimeout(WAIT_S)
    context.add_cleanup(context.fabric.close)
    context.stop_results = {}
    context.pool = ThreadPoolExecutor(4)
    context.add_cleanup(context.pool.shutdown)
    start_backend(context)
    context.balancer_host, context.agent_host = build_host(), build_host()
    context.platform = ""
    start_balancer(context)
    start_agent(context)


class BackendHandler(http.server.BaseHTTPRequestHandler):
    """Backend server that echoes requests once `is_released` is set."""

    def do_POST(self):  # noqa: N802, the name is given by the library
        body = self.rfile.read(int(self.headers["Content-Length"]))
        self.server.received_bodies.append(body)
        assert self.server.is_released.wait(WAIT_S)
        self.send_response(200)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *_):
        pass


def start_backend(context):
    context.backend = start_server(context, BackendHandler)
    context.backend.received_bodies = []
    context.backend.is_released = threading.Event()
    context.add_cleanup(context.backend.is_released.set)


def start_server(context, handler):
    server = http.server.ThreadingHTTPServer((build_host(), 0), handler)
    thread = threading.Thread(target=server.serve_forever, daemon=True)
    thread.start()
    context.add_cleanup(server.server_close)
    context.add_cleanup(thread.join)
    context.add_cleanup(server.shutdown)
    return server


def start_balancer(context):
    options = {
        "node": "balancer-1",
        "zone": "zone-1",
        "region": "region-1",
        "host": context.balancer_host,
        "metrics_port": 0,
        "platform": context.platform,
        # Longer than any scenario; a second stop request ends the wait.
        "withdraw_s": 600,
    }
    checked = check_settings(options, BalancerSettings).unwrap()
    context.balancer_clock = SkippingClock()
    context.balancer = BalancerDaemon(checked, context.balancer_clock, random.Random(1))
    start_daemon(context, context.balancer)


def start_agent(context):
    seed = {"name": "balancer-1", "host": context.balancer_host, "port": 7946}
    reply_host, reply_port = context.fabric.getsockname()
    options = {
        "server": "server-1",
        "zone": "zone-1",
        "region": "region-1",
        "services": [SERVICE_NAME],
        "host": context.agent_host,
        "metrics_port": 0,
        "platform": context.platform,
        "seeds": [seed],
        "fabric": {"reply_endpoints": [f"{reply_host}:{reply_port}"]},
        "backend": {
            "host": context.backend.server_address[0],
            "http_port": context.backend.server_address[1],
            "keep_destination": True,
        },
    }
    checked = check_settings(options, AgentSettings).unwrap()
    # A socket pair stands in for the TUN device.
    agent_end, context.tun = socket.socketpair(socket.AF_UNIX, socket.SOCK_DGRAM)
    context.tun.settimeout(WAIT_S)
    context.add_cleanup(context.tun.close)
    context.clock = SkippingClock()
    context.agent = AgentDaemon(
        checked, context.clock, random.Random(2), agent_end.detach()
    )
    start_daemon(context, context.agent)


def start_daemon(context, daemon):
    daemon.start()
    context.add_cleanup(stop_daemon, context, daemon)


def stop_daemon(context, daemon):
    # After two requests, a daemon stops without finishing the work in progress.
    daemon.threads.request_stop()
    daemon.threads.request_stop()
    if daemon not in context.stop_results:
        stop_gracefully(context, daemon)
    context.stop_results[daemon].result(WAIT_S)
    assert not daemon.threads.has_failed


def stop_gracefully(context, daemon):
    context.stop_results[daemon] = context.pool.submit(daemon.stop)


@given("both hold the table of a TCP service")
def push_table(context):
    member = Member("server-1", "zone-1", 1.0, 2000, 3)
    table = Table(SERVICE_NAME, SERVICE, 443, Protocol.TCP, (member,), 1)
    item = StoredObject(f"table/{SERVICE_NAME}", 1, "", encode_object(table))
    address = (context.balancer_host, 7946)
    context.fabric.sendto(encode("operator", 1, Objects((item,))), address)
    for daemon in (context.balancer, context.agent):
        wait_until(lambda daemon=daemon: daemon.get_health()["versions"])
    wait_until(lambda: context.balancer.get_health()["agents"])


def send_packet(context, packet):
    address = (context.balancer_host, 6081)
    context.fabric.sendto(encapsulate(packet, 0), address)


def send_forward(context, segment):
    """Send to the agent directly, as the balancer may have no eligible member."""
    forward = Forward(SERVICE_ID, 1, read_flow_key(segment), 0, False, segment)
    data = encode("balancer-1", 1, forward)
    context.fabric.sendto(data, (context.agent_host, 7947))


def receive_reply(context):
    return decapsulate(context.fabric.recv(65535), 0).unwrap()


def exchange(context, segment, answer):
    """Send a segment to the backend server, which replies with `answer`."""
    send_packet(context, segment)
    seen = context.tun.recv(65535)
    context.tun.send(answer)
    return seen, receive_reply(context)


@when("the segments of the connection are sent through the fabric")
def send_segments(context):
    pairs = zip(build_segments(), build_segments(reverse=True), strict=True)
    context.exchanged = [exchange(context, *pair) for pair in pairs]


@then("the backend server received each segment in order, with valid checksums")
def check_segments(context):
    assert [seen for seen, _ in context.exchanged] == build_segments()
    assert all(has_valid_checksums(seen) for seen, _ in context.exchanged)


@then("the fabric received each answer in order, with valid checksums")
def check_answers(context):
    assert [reply for _, reply in context.exchanged] == build_segments(reverse=True)
    assert all(has_valid_checksums(reply) for _, reply in context.exchanged)


@when("a segment without SYN arrives for an unknown connection")
def send_unknown_segment(context):
    context.unknown_segment = build_segments()[2]
    send_packet(context, context.unknown_segment)


@then("the fabric receives a reset for it")
def check_reset(context):
    assert_reset(receive_reply(context), context.unknown_segment)


def assert_reset(reply, segment):
    assert read_flow_key(reply) == reverse_flow(read_flow_key(segment))
    assert get_flags(reply) & RST
    assert has_valid_checksums(reply)


@then('the agent has counted {count:d} "{name}"')
def check_count(context, count, name):
    wait_until(lambda: context.agent.metrics.get_count(name) == count)


@when("generated datagrams arrive at every UDP port of both daemons")
def send_malformed(context):
    segment = build_segments()[0]
    valid = [
        encapsulate(segment, 0),
        encode(
            "balancer-1", 1, Forward(1, 1, read_flow_key(segment), 0, False, segment)
        ),
        encode("balancer-1", 1, Objects((StoredObject("table/x", 9, "", b"{}"),))),
    ]
    changes = st.lists(st.tuples(st.integers(0, 90), st.integers(0, 255)), min_size=1)
    targets = [
        (context.balancer_host, 6081),
        (context.balancer_host, 7946),
        (context.agent_host, 7947),
    ]

    @settings(max_examples=400)
    @generate(st.sampled_from(valid), changes, st.integers(0, 200))
    def run(data, changes, length):
        data = bytearray(data)
        for position, value in changes:
            data[position % len(data)] = value
        for target in targets:
            context.fabric.sendto(data[:length], target)

    run()
    context.fabric.sendto(b"", targets[0])


@then("both daemons have counted refusals")
def check_refusals(context):
    wait_until(lambda: context.balancer.metrics.get_count("packet_refused") > 50)
    wait_until(lambda: context.balancer.metrics.get_count("message_refused") > 50)
    wait_until(lambda: context.agent.metrics.get_count("message_refused") > 50)


@then("a new connection still reaches the backend server")
def check_new_connection(context):
    segment = build_segments(port=5000)[0]
    send_packet(context, segment)
    # Skip segments that were still valid among the generated datagrams.
    while context.tun.recv(65535) != segment:
        pass


@given("an established connection")
def establish(context):
    pairs = zip(build_segments(), build_segments(reverse=True), strict=True)
    for pair in itertools.islice(pairs, 2):
        exchange(context, *pair)


@when("the agent is stopped gracefully")
def stop_agent(context):
    stop_gracefully(context, context.agent)
    wait_until(lambda: context.agent.get_health()["draining"])


@then("a new connection is answered with a reset")
def check_new_connection_refused(context):
    segment = build_segments(port=5001)[0]
    send_forward(context, segment)
    assert_reset(receive_reply(context), segment)


@then("the established connection still reaches the backend server")
def check_established(context):
    segment = build_segments()[2]
    send_forward(context, segment)
    assert context.tun.recv(65535) == segment


@then("the agent stops after the established connection has ended")
def check_stopped(context):
    assert not context.stop_results[context.agent].done()
    flow = read_flow_key(build_segments()[0])
    body = build_segments()[3][24:]
    reset = build_segment(flow, body[:9] + bytes([RST | ACK]) + body[10:])
    send_forward(context, reset)
    context.stop_results[context.agent].result(WAIT_S)


@given("a request whose response the backend server delays")
def delay_response(context):
    context.response = context.pool.submit(post, context, b"correction")
    wait_until(lambda: context.backend.received_bodies)


def post(context, body):
    url = f"http://{context.balancer_host}:8080/v1/services/{SERVICE_NAME}/requests"
    request = urllib.request.Request(url, data=body, method="POST")
    with urllib.request.urlopen(request, timeout=WAIT_S) as response:
        return response.status, response.read()


@when("the balancer is stopped gracefully")
def stop_balancer(context):
    stop_gracefully(context, context.balancer)
    wait_until(lambda: context.balancer.get_health()["stopping"])


@then("a new request is refused")
def check_request_refused(context):
    with contextlib.suppress(urllib.error.URLError, ConnectionError):
        post(context, b"late")
        raise AssertionError("the request was accepted")
    assert context.backend.received_bodies == [b"correction"]


@then("the request in progress receives its whole response")
def check_pending_response(context):
    assert not context.stop_results[context.balancer].done()
    context.backend.is_released.set()
    assert context.response.result(WAIT_S) == (200, b"correction")


INVALID_RESPONSES = [
    (200, b""),
    (200, b"<html>not json"),
    (200, b'{"objects": 3, "cursor": "x"}'),
    (200, b'{"objects": [{"key": 1, "version": "2"}], "cursor": 1}'),
    (200, b'{"version": null}'),
    (200, b"[" * 100_000),
    (418, b"\xff\xfe"),
    (500, b"{}"),
]
INVALID_BODIES = ["", "{", "[]", "3", '{"service": 1}', "\u0000", "[" * 100_000]


class InvalidResponseHandler(http.server.BaseHTTPRequestHandler):
    """Platform whose GET responses are malformed and list invalid objects in turn."""

    def respond(self):
        number = next(self.server.numbers)
        is_malformed = number % 2 or self.command != "GET"
        status, body = INVALID_RESPONSES[number // 2 % len(INVALID_RESPONSES)]
        if not is_malformed:
            status, body = 200, json.dumps(build_invalid_listing(number)).encode()
        self.send_response(status)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    do_GET = do_PUT = respond  # noqa: N815, the names are given by the library

    def log_message(self, *_):
        pass


def build_invalid_listing(number):
    prefixes = ("table/", "zone/", "agent/", "balancer/", "unknown/", "")
    objects = [
        {"key": f"{prefix}{index}", "version": number + 1, "body": body}
        for prefix in prefixes
        for index, body in enumerate(INVALID_BODIES)
    ]
    return {"objects": objects, "cursor": number}


@given("a platform that returns invalid responses and invalid objects in turn")
def start_platform(context):
    server = start_server(context, InvalidResponseHandler)
    server.numbers = itertools.count()
    context.platform = "http://{}:{}".format(*server.server_address)


@when("both daemons are restarted with that platform")
def restart(context):
    for daemon in (context.agent, context.balancer):
        stop_daemon(context, daemon)
    start_balancer(context)
    start_agent(context)
    push_table(context)


@then("both daemons have counted failed platform calls")
def check_failed_calls(context):
    for daemon in (context.agent, context.balancer):
        wait_until(lambda d=daemon: d.metrics.get_count("platform_failed") >= 2)


@then("the balancer has counted refused objects")
def check_refused_objects(context):
    wait_until(lambda: context.balancer.metrics.get_count("objects_refused"))


@given("a platform that holds {count:d} announcements of balancers and an invalid one")
def hold_announcements(context, count):
    server = create_platform_server(PlatformApplication(), host=build_host(), port=0)
    server.prepare()
    thread = threading.Thread(target=server.serve, daemon=True)
    thread.start()
    context.platform_server = server
    context.add_cleanup(thread.join)
    context.add_cleanup(server.stop)
    context.platform = "http://{}:{}".format(*server.bind_addr)
    client = PlatformClient(context.platform)
    context.announced = [
        BalancerAnnouncement(f"balancer-{index}", "z", "r", "10.0.0.1", 7946, 8080, 5)
        for index in range(count)
    ]
    for node in context.announced:
        body = encode_object(node).decode()
        assert client.put_object(build_key(node), body).is_ok()
    assert client.put_object("balancer/invalid", "{").is_ok()


@then("an agent without seeds starts with these {count:d} balancers")
def check_seeds(context, count):
    seeds = require_seeds((), context.platform)
    expected = [SeedSettings(n.node, n.host, n.port) for n in context.announced]
    assert len(expected) == count
    assert sorted(seeds, key=lambda seed: seed.name) == expected


@then("an agent without seeds exits if the platform does not answer")
def check_exit_without_platform(context):
    context.platform_server.stop()
    try:
        require_seeds((), context.platform)
    except SystemExit as error:
        assert error.code
    else:
        raise AssertionError("the agent started without a balancer")


@when("the agent has been paused for {seconds:d} s")
def pause_agent(context, seconds):
    context.incarnation = get_agent_incarnation(context)
    context.clock.skipped_s += seconds


@when("the balancer has been paused for {seconds:d} s")
def pause_balancer(context, seconds):
    context.incarnation = context.balancer._messenger.incarnation
    context.balancer_clock.skipped_s += seconds


@then("its messages and forwarded packets carry a new incarnation")
def check_balancer_incarnation(context):
    balancer = context.balancer
    wait_until(lambda: balancer._messenger.incarnation > context.incarnation)
    wait_until(
        lambda: balancer._forwarder.incarnation == balancer._messenger.incarnation
    )


def get_agent_incarnation(context):
    return context.balancer._get_view().agents["server-1"].incarnation


@then("the agent announces a new incarnation")
def check_agent_incarnation(context):
    wait_until(lambda: get_agent_incarnation(context) > context.incarnation)


@then("a new request receives its whole response")
def check_new_request(context):
    context.backend.is_released.set()
    # The balancer may still use the old incarnation of the agent.
    wait_until(lambda: try_post(context, b"correction") == (200, b"correction"))


def try_post(context, body):
    try:
        return post(context, body)
    except urllib.error.HTTPError as error:
        return error.code, b""
