import copy
import json
import random
import re
import socket
import tempfile
from pathlib import Path

from behave import given, then, when

from bramleystair.http import HttpRequest
from bramleystair.platform._configuration import parse_rules
from bramleystair.platform._heartbeats import HEARTBEAT_PATH, parse_report
from bramleystair.platform._packets import Codec
from bramleystair.platform._settings import read_settings
from bramleystair.steering import ServerState, ServiceLevel

SOURCES = Path(__file__).parents[2] / "src" / "bramleystair"
# Names that only the platform's interfaces use.
PLATFORM_NAMES = (
    "DatagramAddr",
    "HeartbeatAddr",
    "ColdLeftMs",
    "ColdPerS",
    "TrafficSplit",
    "PathPrefix",
    "IdleTimeoutMs",
    "Instances.Heartbeat",
    "Instances.Deregister",
    "BOUNCED",
    "HasMore",
    "WaitMs",
    "StaleRead",
    "Finalizers",
    "FlowTtlS",
    "InternalPortRange",
    "BRAMLEYSTAIR_CONFIG",
    "HeartbeatMs",
    "HealthPath",
)
CONFIGURATION = {
    "Version": 7,
    "Routes": [
        {
            "Name": "r1",
            "Host": "198.18.0.1",
            "PathPrefix": "/443/",
            "GoalMs": 250,
            "TimeoutMs": 1500,
            "Priority": 2,
            "TrafficSplit": [
                {"Service": "web", "Weight": 90},
                {"Service": "api", "Weight": 10},
            ],
        },
        {
            "Name": "r2",
            "Host": "198.18.0.2",
            "PathPrefix": "/8443/",
            "Service": "api",
            "Colour": "green",
        },
    ],
    "Services": [
        {"Name": "web", "ColdPerS": 0.0, "HealthPath": "/health"},
        {"Name": "api", "ColdPerS": 4.0},
    ],
    "Limits": {"IdleTimeoutMs": 15000},
}
HEARTBEAT = {
    "Service": "web",
    "Address": "10.1.0.13:8165",
    "Zone": "z",
    "Version": "v1",
    "Slots": 5,
    "State": "ready",
    "ColdLeftMs": 0,
    "Seq": 4,
    "born": 1_700_000_000_000,
}
SETTINGS = {
    "Node": "side-1",
    "Zone": "z",
    "Ip": "10.1.0.13",
    "InternalPortRange": [7720, 7735],
    "Listen": {
        "DatagramAddr": "10.1.0.13:8172",
        "outbound": "10.1.0.13:8162",
        "Ready": "10.1.0.13:8167",
        "Control": "10.1.0.13:8166",
    },
    "HeartbeatMs": 770,
    "Bounds": {"GraceS": 6, "FlowTtlS": 60},
    "app": "10.1.0.13:8165",
    "Service": "web",
    "platform": {"Address": "10.200.1.7:8169"},
    "Unheard": {"of": 1},
}


def pack_flow(text):
    caller, service = (part.split(":") for part in text.split(" to "))
    addresses = socket.inet_aton(caller[0]) + socket.inet_aton(service[0])
    ports = int(caller[1]).to_bytes(2, "big") + int(service[1]).to_bytes(2, "big")
    return addresses + ports


@given("the packet {text}")
def set_packet(context, text):
    context.packet = bytes.fromhex(text)


@when("it is decoded as a caller's packet")
def decode_inbound(context):
    context.segment = Codec().decode_inbound(context.packet)


@when("it is decoded as a server's packet")
def decode_outbound(context):
    context.segment = Codec().decode_outbound(context.packet)


@when("a reset of the flow {flow} is built with the sequence number {number:d}")
def build_reset(context, flow, number):
    context.packet = Codec().build_reset(pack_flow(flow), number)


@when("{count:d} random packets are decoded in both directions")
def decode_random_packets(context, count):
    source = random.Random(11)
    context.results = []
    for _ in range(count):
        data = bytearray(source.randbytes(source.choice((0, 5, 31, 32, 40, 1400))))
        if len(data) >= 32 and source.random() < 0.5:
            data[24:26] = (len(data) - 32).to_bytes(2, "big")
        data = bytes(data)
        for decode in (Codec().decode_inbound, Codec().decode_outbound):
            context.results.append((data, decode(data)))


@then("no exception was raised and packets with a wrong length were rejected")
def check_random_packets(context):
    assert any(segment for _, segment in context.results)
    for data, segment in context.results:
        is_complete = 32 <= len(data) <= 1232 and data[24:26] == (
            len(data) - 32
        ).to_bytes(2, "big")
        assert (segment is not None) == is_complete, data[:32].hex()


@then("its flow is {flow}")
def check_flow(context, flow):
    assert context.segment.flow == pack_flow(flow), context.segment


@then("it is a SYN packet with the sequence number {number:d}")
def check_syn(context, number):
    assert context.segment.is_syn
    assert context.segment.sequence == number


@then("it is marked as returned")
def check_returned(context):
    assert context.segment.is_returned


@then("its bytes are {text}")
def check_data(context, text):
    assert context.segment.data == bytes.fromhex(text), context.segment.data.hex(" ")


@then("the bytes of the reset are {text}")
def check_packet(context, text):
    assert context.packet == bytes.fromhex(text), context.packet.hex(" ")


@given("a configuration with a split route, a plain route and an unknown field")
def set_configuration(context):
    context.configuration = copy.deepcopy(CONFIGURATION)


@given("a configuration whose split gives api the weight 0")
def set_zero_weight(context):
    set_configuration(context)
    context.configuration["Routes"][0]["TrafficSplit"][1]["Weight"] = 0


@when("the configuration is parsed")
def parse_configuration(context):
    context.rules = parse_rules(context.configuration).unwrap()


def corrupt(value, source):
    """Delete or replace a random part of a document."""
    if isinstance(value, dict) and value and source.random() < 0.9:
        key = source.choice(list(value))
        if source.random() < 0.2:
            del value[key]
        else:
            value[key] = corrupt(value[key], source)
        return value
    if isinstance(value, list) and value and source.random() < 0.9:
        index = source.randrange(len(value))
        value[index] = corrupt(value[index], source)
        return value
    return source.choice((None, -1, 3.5, "x", [], {}, True, "/70000/", [None]))


@when("{count:d} corrupted configurations are parsed")
def parse_corrupted_configurations(context, count):
    source = random.Random(3)
    context.results = []
    for _ in range(count):
        document = corrupt(copy.deepcopy(CONFIGURATION), source)
        context.results.append(parse_rules(document))


@then("each was parsed or rejected with an error")
def check_corrupted_configurations(context):
    assert any(result.is_err() for result in context.results)
    for result in context.results:
        assert result.is_ok() or result.unwrap_err().step == "read configuration"


def get_route(context, text):
    host, port = text.split(":")
    endpoint = socket.inet_aton(host) + int(port).to_bytes(2, "big")
    return context.rules.routes[endpoint]


@then("the route {endpoint} is split {first} {a:d} to {second} {b:d}")
def check_split(context, endpoint, first, a, second, b):
    targets = get_route(context, endpoint).targets
    assert [(t.service, t.weight) for t in targets] == [(first, a), (second, b)]


@then("the route {endpoint} goes to {service} only")
def check_single_target(context, endpoint, service):
    assert [t.service for t in get_route(context, endpoint).targets] == [service]


@then("a cold {service} server is limited to {rate:d} flows per second")
def check_cold_rate(context, service, rate):
    assert context.rules.services[service].cold_rate == rate


@given("a heartbeat with {field} set to {value}")
def set_heartbeat(context, field, value):
    context.heartbeat = dict(HEARTBEAT)
    if value == "missing":
        del context.heartbeat[field]
    else:
        context.heartbeat[field] = json.loads(value)


@when("the heartbeat is parsed")
def parse_heartbeat(context):
    body = json.dumps(context.heartbeat).encode()
    context.result = parse_report(HttpRequest("POST", HEARTBEAT_PATH + "i-1", body))


@then("the heartbeat is rejected")
def check_heartbeat_rejected(context):
    assert context.result.is_err(), context.result


@then(
    "it reports server {server} of {service} as ready with {slots:d} slots and "
    "{cold:f} s of cold time"
)
def check_report(context, server, service, slots, cold):
    report = context.result.unwrap()
    assert (report.server, report.service, report.slots) == (server, service, slots)
    assert report.state is ServerState.READY
    assert report.cold_left_s == cold


@when("{count:d} random bodies are sent as heartbeats")
def parse_random_bodies(context, count):
    source = random.Random(5)
    context.results = []
    for _ in range(count):
        body = source.randbytes(source.randrange(40))
        request = HttpRequest("POST", HEARTBEAT_PATH + "i-1", body)
        context.results.append(parse_report(request))


@then("each was rejected with an error")
def check_all_rejected(context):
    assert all(result.is_err() for result in context.results)


@given("the settings of an agent with an unknown field")
def set_settings(context):
    context.settings = copy.deepcopy(SETTINGS)


@given("the settings of an agent without {field}")
def set_incomplete_settings(context, field):
    set_settings(context)
    del context.settings[field]


@given("the settings of an agent with {field} set to {value}")
def set_odd_settings(context, field, value):
    set_settings(context)
    context.settings[field] = json.loads(value)


@then("the settings are rejected")
def check_odd_settings(context):
    assert context.result.is_err(), context.result


@when("the settings are read")
def load_settings(context):
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "node.json"
        path.write_text(json.dumps(context.settings), encoding="utf-8")
        context.result = read_settings(str(path), 0)


@then("packets arrive at {packets} and the store is at {store}")
def check_settings(context, packets, store):
    settings = context.result.unwrap()
    assert "{}:{}".format(*settings.packet_address) == packets
    assert "{}:{}".format(*settings.store_address) == store


@then("the settings are rejected and the error names {field}")
def check_settings_rejected(context, field):
    assert field in str(context.result.unwrap_err())


@then("no module outside the adapter contains a name of the platform")
def check_boundary(context):
    pattern = re.compile("|".join(map(re.escape, PLATFORM_NAMES)))
    modules = [
        path
        for path in SOURCES.rglob("*.py")
        if SOURCES / "platform" not in path.parents
    ]
    assert len(modules) > 100
    found = [
        (path.name, match.group())
        for path in modules
        for match in pattern.finditer(path.read_text(encoding="utf-8"))
    ]
    assert not found, found
    # The pattern must find the names in the adapter, or the check would prove nothing.
    adapter = "".join(
        path.read_text(encoding="utf-8") for path in (SOURCES / "platform").glob("*.py")
    )
    assert pattern.search(adapter)


@then("the flow was opened {age:g} s ago")
def check_age(context, age):
    assert context.segment.age_s == age


def find_level(context, address, port):
    endpoint = socket.inet_aton(address) + port.to_bytes(2, "big")
    return context.rules.routes[endpoint].level


@then(
    "the callers of {address}:{port:d} expect {objective:g} s, wait {deadline:g} s and"
    " have priority {priority:d}"
)
def check_level(context, address, port, objective, deadline, priority):
    level = find_level(context, address, port)
    assert level == ServiceLevel(priority, objective, deadline), level


@given("a configuration whose {field} is {value}")
def change_level(context, field, value):
    context.configuration = copy.deepcopy(CONFIGURATION)
    context.configuration["Routes"][0][field] = json.loads(value)


@then("the configuration is rejected")
def check_configuration_rejected(context):
    assert parse_rules(context.configuration).is_err()
