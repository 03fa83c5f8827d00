import random
import socket
from concurrent.futures import Future

import attrs
from behave import given, then, when
from log_recorder import record_logs
from result import Err, Ok

from bramleystair.errors import StepError
from bramleystair.loop import EventLoop
from bramleystair.mirror import StoreEpoch
from bramleystair.nodes import NodeSettings
from bramleystair.nodes._agent import AgentNode
from bramleystair.nodes._balancer import BalancerNode
from bramleystair.nodes._reload import SettingsMonitor
from bramleystair.platform._packets import Codec
from bramleystair.steering import DeliverToServer, Segment
from bramleystair.timers import ManualClock

HOST = "127.0.0.1"
OTHER_PEERS = (("127.0.0.9", 7001),)
OTHER_STORE = ("127.0.0.9", 7002)
OTHER_SERVER = ("127.0.0.9", 7003)


class UnresponsiveStore:
    """Store client that never answers; records its address and counts listings."""

    def __init__(self):
        self.epoch = StoreEpoch()
        self.address = None
        self.listings = 0

    def set_address(self, address):
        self.address = address

    def list_items(self, kind, after):
        self.listings += 1
        return Future()

    def watch(self, kind, revision, wait_s=None, allow_stale=False):
        return Future()


def find_free_address(socket_type):
    with socket.socket(socket.AF_INET, socket_type) as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()


def create_loop_and_settings(context):
    context.clock = ManualClock()
    context.loop = EventLoop(context.clock)
    context.add_cleanup(context.loop.close)
    context.store = UnresponsiveStore()
    context.settings = NodeSettings(
        name="node-1",
        zone="zone-1",
        packet_address=find_free_address(socket.SOCK_DGRAM),
        message_address=find_free_address(socket.SOCK_STREAM),
        ready_address=find_free_address(socket.SOCK_STREAM),
        store_address=find_free_address(socket.SOCK_STREAM),
        report_address=find_free_address(socket.SOCK_STREAM),
        server_address=find_free_address(socket.SOCK_DGRAM),
        outbound_address=find_free_address(socket.SOCK_DGRAM),
        peers=(("127.0.0.8", 7000),),
    )
    context.result = Ok(context.settings)
    record_logs(context)


def start_node(context, node):
    context.node = node
    context.add_cleanup(node.close)
    node.start()
    context.monitor = SettingsMonitor(
        context.loop.timers, lambda: context.result, node.apply_settings, node.metrics
    )
    context.monitor.start()


@given("a running balancer")
def start_balancer(context):
    create_loop_and_settings(context)
    node = BalancerNode(
        context.loop,
        context.settings,
        Codec(),
        context.store,
        "rules",
        "main",
        "evacuations",
        lambda value: Err(StepError("read rules", "", "none")),
        random.Random(1),
    )
    start_node(context, node)


@given("a running agent")
def start_agent(context):
    create_loop_and_settings(context)
    node = AgentNode(
        context.loop,
        context.settings,
        Codec(),
        context.store,
        lambda request: Err(StepError("read report", "", "none")),
        random.Random(1),
    )
    start_node(context, node)


@when("its settings change to other peers, another store and a flow lifetime of 5 s")
def change_balancer(context):
    changed = attrs.evolve(
        context.settings,
        peers=OTHER_PEERS,
        store_address=OTHER_STORE,
        flow_lifetime_s=5.0,
    )
    context.result = Ok(changed)


@when("its settings change to another server address and a report interval of 3 s")
def change_agent(context):
    changed = attrs.evolve(
        context.settings, server_address=OTHER_SERVER, heartbeat_s=3.0
    )
    context.result = Ok(changed)


@when("its settings change to another packet port")
def change_port(context):
    context.result = Ok(
        attrs.evolve(
            context.settings, packet_address=find_free_address(socket.SOCK_DGRAM)
        )
    )


@when("its settings cannot be read")
def break_settings(context):
    context.result = Err(StepError("read settings", "node.json", "not JSON"))


@when("it is told to reload them")
def reload_settings(context):
    context.monitor.reload()


@when("{seconds:d} s pass without a signal")
def advance_clock(context, seconds):
    context.clock.advance(seconds)
    context.loop.timers.run_due()


@then("it uses the new peers and the new store")
def check_peers(context):
    assert context.node._snapshots.peers == OTHER_PEERS
    assert context.store.address == OTHER_STORE
    # Each of the three kinds is listed again at the new address.
    assert context.store.listings == 6, context.store.listings


@then("it drops an idle flow after 5 s")
def check_lifetime(context):
    steering = context.node._steering
    flow = bytes([127, 0, 0, 1, 0, 1, 127, 0, 0, 2, 0, 2])
    now = context.clock.now()
    segment = Segment(flow, b"", False, False, False, False, True, 1, 1)
    steering._record_owner(segment, ("127.0.0.7", 1), now)
    context.clock.advance(6)
    steering.run_timers(context.clock.now())
    assert flow not in steering._owners


def find_records(context, message):
    return [r for r in context.recorder.records if r.getMessage().endswith(message)]


@then("the log names the changed settings")
def check_log(context):
    (record,) = find_records(context, "settings reloaded")
    assert sorted(record.applied) == ["flow_lifetime_s", "peers", "store_address"]


@then("packets go to the new server address")
def check_server(context):
    sent = []
    context.node._outbound_socket.send = lambda data, address: sent.append(address)
    context.node._execute([DeliverToServer(b"x")])
    assert sent == [OTHER_SERVER]


@then("its server is considered silent after {seconds:f} s without a report")
def check_silence(context, seconds):
    steering = context.node._steering
    now = context.clock.now()
    assert not steering.is_server_silent(now + seconds - 0.1)
    assert steering.is_server_silent(now + seconds + 0.1)


@then("it keeps its peers and its store")
def check_unchanged(context):
    assert context.node._snapshots.peers == context.settings.peers
    assert context.store.address is None


@then("the failure is logged and counted")
def check_failure(context):
    assert any("not JSON" in r.getMessage() for r in context.recorder.records)
    assert context.node.metrics.get_count("settings_ignored") == 1


@then("packets are still received at the old port")
def check_port(context):
    assert context.node._packet_socket.address == context.settings.packet_address


@then("the log tells that the change takes effect at the next start")
def check_waiting(context):
    (record,) = find_records(context, "settings reloaded")
    assert record.waiting == ["packet_address"]
