import threading
import time

import attrs
from behave import given, then, when
from nodes_steps import run_until

from bramleystair.loop import EventLoop
from bramleystair.metrics import Metrics
from bramleystair.mirror import FailureKind
from bramleystair.nodes._datagrams import DatagramSocket
from bramleystair.nodes._settings import EPOCH_KIND, MEMBER_KIND
from bramleystair.platform import _settings
from bramleystair.platform._configuration import CONFIG_KIND
from bramleystair.platform._main import _build_agent, _build_balancer
from bramleystair.platform._packets import ACK, SYN, Codec
from bramleystair.platform.standins import _settings as standin_settings
from bramleystair.platform.standins._packets import build_packet, get_payload
from bramleystair.platform.standins._server import BackendServer, pack_endpoint
from bramleystair.platform.standins._store import create_store_server
from bramleystair.steering.balancer import is_roster_name
from bramleystair.timers import MonotonicClock
from support.networks import NETWORK

RETRANSMISSION_S = 0.2
STORE = (f"{NETWORK}.2.1", standin_settings.STORE_PORT)
OTHER_STORE = (f"{NETWORK}.2.2", standin_settings.STORE_PORT)
BALANCER_IP, CALLER_IP = f"{NETWORK}.3.1", f"{NETWORK}.5.1"
CALLER_PORT = 2001


@attrs.define
class Caller:
    """Caller with one flow; records the packets that it gets."""

    socket: DatagramSocket
    sequence: int = 100
    acknowledgement: int = 0
    received: list = attrs.field(factory=list)
    answers: list = attrs.field(factory=list)

    def handle(self, data, sender):
        segment = Codec().decode_outbound(data)
        self.received.append(segment)
        if segment.is_syn:
            self.acknowledgement = segment.sequence + 1
        if segment.has_payload:
            self.answers.append(get_payload(data).decode())

    def send(self, flags, payload=b""):
        service = (standin_settings.SERVICE_HOST, standin_settings.SERVICE_PORT)
        data = build_packet(
            pack_endpoint(CALLER_IP, CALLER_PORT),
            pack_endpoint(*service),
            flags,
            self.sequence,
            self.acknowledgement,
            payload,
        )
        self.socket.send(data, (BALANCER_IP, standin_settings.PACKET_PORT))


def run_for(context, seconds):
    run_until(context, lambda: False, seconds)


def read_settings(name, ip, is_agent):
    document = standin_settings.build_settings(name, ip, "zone", STORE, (), is_agent)
    return _settings._parse_document(document, 0)


def start_balancer(context):
    settings = read_settings("balancer", BALANCER_IP, False)
    context.balancer = _build_balancer(context.loop, settings)
    context.balancer.start()
    assert run_until(context, context.balancer.is_ready, 5)


def start_store(context, address):
    server, objects = create_store_server(*address)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    context.add_cleanup(server.server_close)
    context.add_cleanup(server.shutdown)
    return objects


@given("a store and a balancer")
def start_store_and_balancer(context):
    context.objects = start_store(context, STORE)
    configuration = standin_settings.build_configuration(1)
    context.objects.write(CONFIG_KIND, "main", configuration, None, True)
    context.loop = EventLoop(MonotonicClock())
    context.add_cleanup(context.loop.close)
    context.agents, context.servers = {}, {}
    context.joined_s = context.left_s = 0.0
    start_balancer(context)
    context.add_cleanup(lambda: context.balancer.close())


@given("an agent with a server that joined {name}")
def start_agent(context, name):
    # The copy to which the store returns lies between two servers that join.
    run_for(context, 0.3)
    context.joined_s = time.monotonic()
    run_for(context, 0.1)
    ip = f"{NETWORK}.4.{len(context.agents) + 1}"
    options = standin_settings.build_server_options(name, ip, "zone")
    agent = _build_agent(context.loop, read_settings(name, ip, True))
    context.add_cleanup(agent.close)
    context.agents[name] = agent
    context.servers[name] = BackendServer(context.loop, options)
    context.add_cleanup(context.servers[name].close)
    agent.start()
    count = len(context.agents)
    members = context.balancer._members
    assert run_until(context, lambda: count_entries(members.items) == count, 5)


@given("a caller with an open flow at the late server")
def open_flow(context):
    socket_address = (CALLER_IP, standin_settings.PACKET_PORT)
    context.caller = Caller(None)
    context.caller.socket = DatagramSocket(
        context.loop, socket_address, lambda *a: context.caller.handle(*a), Metrics()
    )
    context.add_cleanup(context.caller.socket.close)
    # The early agent refuses new flows meanwhile, so that the late one gets the flow.
    early = context.agents["early"]
    early._steering._is_stopping = True
    assert run_until_open(context)
    early._steering._is_stopping = False
    assert context.servers["late"]._flows
    assert not context.servers["early"]._flows


def run_until_open(context):
    for _ in range(10):
        context.caller.send(SYN)
        if run_until(context, lambda: context.caller.acknowledgement, RETRANSMISSION_S):
            return True
    return False


@when(
    "the store returns after {away:f} s from a copy from before the late server {did}"
)
def restore_store(context, away, did):
    before_s = {"joined": context.joined_s, "left": context.left_s}[did]
    context.objects.restore(time.monotonic() - before_s, away)
    run_for(context, away)


@when("the responses to the agents' watches are lost for {seconds:f} s")
def lose_epoch_responses(context, seconds):
    context.objects.lose_responses(seconds, EPOCH_KIND)


@when("the balancer is replaced {delay:f} s later")
def replace_balancer(context, delay):
    run_for(context, delay)
    context.balancer.close()
    start_balancer(context)


@when("the caller sends requests on its flow for {seconds:d} s")
def send_requests(context, seconds):
    end_s = time.monotonic() + seconds
    context.requests = 0
    while time.monotonic() < end_s:
        context.requests += 1
        context.caller.sequence += 1
        count = len(context.caller.answers)
        while time.monotonic() < end_s + 2:
            context.caller.send(ACK, f"request-{context.requests}".encode())
            if run_until(
                context,
                lambda count=count: len(context.caller.answers) > count,
                RETRANSMISSION_S,
            ):
                break


@then("its requests are answered and its flow is not reset")
def check_answers(context):
    caller = context.caller
    assert not any(segment.is_reset for segment in caller.received)
    answered = {answer.split()[0] for answer in caller.answers}
    sent = {f"request-{number + 1}" for number in range(context.requests)}
    assert answered == sent, (answered, sent)


@when("the late server deregisters")
def deregister(context):
    run_for(context, 0.3)
    context.left_s = time.monotonic()
    run_for(context, 0.1)
    call = context.servers["late"].deregister()
    assert run_until(context, call.done, 2)
    context.servers["late"].close()
    assert run_until(context, lambda: count_members(context) == 1, 2)


def count_members(context):
    _, listing = context.objects.list_items(MEMBER_KIND)
    return count_entries(item["meta"]["Name"] for item in listing["items"])


def count_entries(names):
    return sum(not is_roster_name(name) for name in names)


@then("the store lists {count:d} member within {seconds:d} s")
def check_member_count(context, count, seconds):
    run_for(context, seconds)
    assert count_members(context) == count


@when("the store sends its previous epoch after a new one")
def send_previous_epoch(context):
    store = context.balancer._store
    for epoch in (2, 1):
        context.objects.epoch = epoch
        call = store.list_items(MEMBER_KIND, "")
        assert run_until(context, call.done, 2)
    context.result = call.result()


@then("the call fails as outdated")
def check_outdated(context):
    assert context.result.kind is FailureKind.OUTDATED, context.result


@given("the store was restored")
def restore_unchanged(context):
    store = context.agents["early"]._store
    context.objects.restore(0.0, 0.2)
    assert run_until(context, lambda: store.epoch.current == 2, 5)


@when("the agent's settings name another store")
def change_store(context):
    context.objects = start_store(context, OTHER_STORE)
    agent = context.agents["early"]
    agent.apply_settings(attrs.evolve(agent._settings, store_address=OTHER_STORE))


@then("the other store lists the agent within {seconds:d} s")
def check_listed(context, seconds):
    assert run_until(context, lambda: count_members(context) == 1, seconds)
