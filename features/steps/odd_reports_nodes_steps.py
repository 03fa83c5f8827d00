import json
import re
import time
from concurrent.futures import Future

import attrs
from behave import given, then, when
from log_recorder import record_logs
from lost_responses_steps import NETWORK
from nodes_steps import run_until
from odd_reports_steps import make_open_message
from restored_store_steps import run_for
from steering_samples import make_segment
from steering_steps import (
    BALANCER,
    FIRST_SEQUENCE,
    check_refusal,
)

from bramleystair.http import HttpClient
from bramleystair.metrics import Metrics
from bramleystair.nodes._datagrams import DatagramSocket
from bramleystair.nodes._reports import RefusalLog, ReportError
from bramleystair.nodes._settings import MEMBER_KIND
from bramleystair.platform._heartbeats import DEREGISTER_PATH, HEARTBEAT_PATH
from bramleystair.platform._packets import ACK, SYN, Codec
from bramleystair.platform.standins import _settings as standin_settings
from bramleystair.platform.standins._packets import build_packet
from bramleystair.platform.standins._server import pack_endpoint
from bramleystair.steering._types import compute_service_id
from bramleystair.timers import ManualClock, TimerService


def get_agent(context):
    return next(iter(context.agents.values()))


def build_heartbeat(agent, **fields):
    """Return the path and the fields of a sound heartbeat to `agent`."""
    settings = agent._settings
    body = {
        "Service": settings.service,
        "Address": "{}:{}".format(*settings.server_address),
        "Zone": settings.zone,
        "Version": "v1",
        "Slots": 5,
        "State": "ready",
        "ColdLeftMs": 0,
        "Seq": 1,
        "born": int(time.time() * 1000),
    }
    return body | fields


def send_heartbeat(context, agent, server, body):
    """Send a heartbeat over HTTP and return the status of the response."""
    return call_agent(context, agent, HEARTBEAT_PATH + server, json.dumps(body))


def call_agent(context, agent, path, text=""):
    client = HttpClient(context.loop, agent._settings.report_address)
    call: Future = client.call("POST", path, text.encode())
    assert run_until(context, call.done, 5)
    client.close()
    return call.result().status


@when("another writer sends {count:d} heartbeats with {field} set to {value}")
def send_odd_heartbeats(context, count, field, value):
    agent = get_agent(context)
    if not hasattr(context, "recorder"):
        record_logs(context)
    context.entries = read_entries(context)
    server, body = "i-9", build_heartbeat(agent)
    if field == "id":
        server = json.loads(value)
    elif value == "missing":
        del body[field]
    else:
        body[field] = json.loads(value)
    context.statuses = [
        send_heartbeat(context, agent, server, body) for _ in range(count)
    ]


@then("each was answered with 400 and counted as {reason}")
def check_refused_reports(context, reason):
    assert set(context.statuses) == {400}, context.statuses
    counted = count_ignored(get_agent(context), reason)
    assert counted == len(context.statuses), counted


@then("they were logged in {count:d} lines")
@then("they were logged in {count:d} line")
def check_lines(context, count):
    lines = [
        record.getMessage()
        for record in context.recorder.records
        if "server report ignored" in record.getMessage()
    ]
    assert len(lines) == count, lines


@then("the entry of the agent is unchanged")
def check_unchanged(context):
    run_for(context, 0.2)
    assert read_entries(context) == context.entries


def read_entries(context):
    _, document = context.objects.list_items(MEMBER_KIND)
    return json.dumps(document["items"], default=repr, sort_keys=True)


def count_ignored(agent, reason):
    text = agent.metrics.render()[0].decode()
    pattern = rf'report_ignored_total{{[^}}]*reason="{reason}"[^}}]*}} (\d+)'
    return sum(map(int, re.findall(pattern, text)))


@given("a log of refused reports")
def create_refusal_log(context):
    record_logs(context)
    context.clock = ManualClock()
    context.timers = TimerService(context.clock)
    context.refusals = RefusalLog(context.timers, Metrics({"node": "a"}))


@when("{count:d} reports are refused for {causes:d} causes within 10 s")
def refuse_reports(context, count, causes):
    for number in range(count):
        error = ReportError("read report", "server", f"{number % causes}", "malformed")
        context.refusals.record(error)


@when("{seconds:g} s pass on the clock")
def advance_clock(context, seconds):
    context.clock.advance(seconds)
    context.timers.run_due()


@then("the last line says that {count:d} more were refused")
def check_summary(context, count):
    assert context.recorder.records[-1].repeated == {"malformed": count}


@when("the settings file names the service {service}")
def change_service(context, service):
    agent = get_agent(context)
    changed = attrs.evolve(agent._settings, service=service)
    agent.reread_settings = lambda: agent.apply_settings(changed)


@when("a server of {service} reports")
def report_other_service(context, service):
    agent = get_agent(context)
    for server in context.servers.values():
        server.close()
    run_for(context, 3 * agent._settings.heartbeat_s)
    body = build_heartbeat(agent, Service=service)
    context.status = send_heartbeat(context, agent, "i-api", body)


@then("it was answered with {status:d}")
def check_status(context, status):
    assert context.status == status, context.status


@then("the agent refuses flows of {service}")
def check_service(context, service):
    agent = get_agent(context)._steering
    message = attrs.evolve(make_open_message(), service_id=compute_service_id(service))
    segment = make_segment(first=True, sequence=FIRST_SEQUENCE)
    context.actions = agent.handle_open(BALANCER, message, segment, time.monotonic())
    check_refusal(context, "wrong_service")


@attrs.define(eq=False)
class CallerFlow:
    """Flow of a caller through the balancer that the router selects."""

    endpoint: bytes
    number: int
    sequence: int = 100
    acknowledgement: int = 0
    answers: int = 0


class CallerHost:
    """Host of callers with one flow each; counts resets and answers."""

    def __init__(self, context):
        self._context = context
        self.resets = 0
        self.flows = {}
        address = (f"{NETWORK}.5.1", standin_settings.PACKET_PORT)
        self.socket = DatagramSocket(
            context.loop, address, self._handle, Metrics({"node": "callers"})
        )
        context.add_cleanup(self.socket.close)

    def open_flow(self, number):
        endpoint = pack_endpoint(f"{NETWORK}.5.1", 20_000 + number)
        flow = self.flows[endpoint] = CallerFlow(endpoint, number)
        self._send(flow, SYN)

    def send_requests(self):
        for flow in self.flows.values():
            self._send(flow, ACK, b"get")
            flow.sequence += 3

    def _send(self, flow, flags, payload=b""):
        service = pack_endpoint(
            standin_settings.SERVICE_HOST, standin_settings.SERVICE_PORT
        )
        packet = build_packet(
            flow.endpoint, service, flags, flow.sequence, flow.acknowledgement, payload
        )
        balancers = self._context.balancers
        balancer = balancers[flow.number % len(balancers)]
        balancer._handle_packet_datagram(packet, ("127.0.0.1", 1))

    def _handle(self, data, sender):
        segment = Codec().decode_outbound(data)
        flow = self.flows[segment.flow[:4] + segment.flow[8:10]]
        if segment.is_reset:
            self.resets += 1
        elif segment.is_syn:
            flow.acknowledgement = segment.sequence + 1
            flow.sequence += 1
            self._send(flow, ACK)
        elif segment.has_payload:
            flow.answers += 1


@when("callers open {count:d} flows and send a request on each")
@given("callers open {count:d} flows and send a request on each")
def open_caller_flows(context, count):
    context.callers = CallerHost(context)
    for number in range(count):
        context.callers.open_flow(number)
        run_for(context, 0.02)
    assert run_until(
        context,
        lambda: all(f.acknowledgement for f in context.callers.flows.values()),
        5,
    )
    send_round(context)
    check_answers(context)
    # Flows that are opened shortly before a report may belong to its sender.
    run_for(context, 2 * standin_settings.HEARTBEAT_MS / 1000)


@when("the callers send a request on each flow")
def send_round(context):
    for flow in context.callers.flows.values():
        flow.answers = 0
    context.callers.send_requests()
    run_for(context, 1.0)


@then("all requests of the last round are answered")
def check_answers(context):
    missing = [f.number for f in context.callers.flows.values() if not f.answers]
    assert not missing, missing


@then("no caller got a reset")
def check_no_caller_reset(context):
    assert context.callers.resets == 0, context.callers.resets


@when("for {seconds:g} s {event} at each agent, while the callers send requests")
def disturb(context, seconds, event):
    end = context.loop.clock.now() + seconds
    if "odd" in event:
        for server in context.servers.values():
            server._stop_heartbeats()
    born = int(time.time() * 1000)
    sequence = 0
    while context.loop.clock.now() < end:
        sequence += 1
        for agent, server in zip(
            context.agents.values(), context.servers.values(), strict=True
        ):
            own = build_heartbeat(agent, born=server._started_ms, State=1)
            if "odd" in event:
                assert send_heartbeat(context, agent, server._identity, own) == 400
            if "another" in event and "shutdown" not in event:
                other = build_heartbeat(agent, born=born, Seq=sequence, ColdLeftMs=2000)
                assert send_heartbeat(context, agent, "i-other", other) == 200
            if "shutdown" in event and sequence == 1:
                path = DEREGISTER_PATH + server._identity
                assert call_agent(context, agent, path) == 200
        context.callers.send_requests()
        run_for(context, standin_settings.HEARTBEAT_MS / 1000)


@when("the server reports its shutdown and exits")
def exit_server(context):
    (server,) = context.servers.values()
    call = server.deregister()
    assert run_until(context, call.done, 5)
    server.close()


@then("its entry is removed")
def check_entry_removed(context):
    assert run_until(
        context, lambda: not context.objects.list_items(MEMBER_KIND)[1]["items"], 5
    )


@when("the agent is stopped before it has noticed the exit")
def stop_agent(context):
    agent = get_agent(context)
    assert not agent._steering.is_server_absent
    agent.stop()
    agent._check_exit = lambda attempts_left: None
    agent._handle_exit_check = lambda call, attempts_left: None
