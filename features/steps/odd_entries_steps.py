import json
import random
import re

from behave import step, then, when
from lost_responses_steps import (
    NETWORK,
    read_settings,
    start_agent,
)
from nodes_steps import run_until
from restored_store_steps import run_for

from bramleystair.nodes._settings import MEMBER_KIND
from bramleystair.platform._configuration import CONFIG_KIND, EVACUATION_KIND
from bramleystair.platform._main import _build_balancer
from bramleystair.platform._packets import SYN
from bramleystair.platform.standins import _settings as standin_settings
from bramleystair.platform.standins._packets import build_packet
from bramleystair.platform.standins._server import pack_endpoint
from bramleystair.platform.standins._store import RawJson

ODD_HOST = f"{NETWORK}.4.99"
ENTRY = {
    "host": ODD_HOST,
    "port": standin_settings.PACKET_PORT,
    "zone": "zone-a",
    "service": standin_settings.SERVICE_NAME,
    "state": "ready",
    "slots": 5,
    "server": "odd",
    "started_ms": 1,
}


def build_odd_content(oddity, fields):
    """Return JSON text, valid or not, for content that no node writes."""
    levels = 300 if "300" in oddity else 100_000
    match oddity.split():
        case ["arrays", *_]:
            return "[" * levels + "]" * levels
        case ["objects", *_] | ["an", "object", *_]:
            return '{"a":' * levels + "1" + "}" * levels
        case ["a", "number", *_]:
            return "7" * 5000
        case ["the", "number", "NaN"]:
            return "NaN"
        case ["a", "truncated", *_]:
            return '"\\u00"'
        case ["null"]:
            return "null"
        case ["no", "fields"]:
            return "{}"
    name, _, text = oddity.partition(" ")
    document = json.dumps(fields | {name: None})
    return document.replace(f'"{name}": null', f'"{name}": {text}')


@when("another writer adds a member with {oddity}")
def add_odd_member(context, oddity):
    content = RawJson(build_odd_content(oddity, ENTRY))
    context.objects.write(MEMBER_KIND, ODD_HOST, content, None, True)


@when("another writer adds a member for each of these oddities")
def add_odd_members(context):
    for number, row in enumerate(context.table):
        name = f"{NETWORK}.4.{100 + number}"
        content = RawJson(build_odd_content(row["oddity"], ENTRY | {"host": name}))
        context.objects.write(MEMBER_KIND, name, content, None, True)


@when("another writer adds an object in 100,000 levels as the entry of the next agent")
def add_object_of_next_agent(context):
    content = RawJson(build_odd_content("objects in 100,000 levels", ENTRY))
    name = f"{NETWORK}.4.{len(context.agents) + 1}"
    context.objects.write(MEMBER_KIND, name, content, None, True)


@when("another writer adds a configuration named {name} with {oddity}")
def add_odd_configuration(context, name, oddity):
    fields = standin_settings.build_configuration(99)
    fields["Routes"][0]["Service"] = "other"
    content = RawJson(build_odd_content(oddity, fields))
    context.objects.write(CONFIG_KIND, name, content, None, name != "main")
    run_for(context, 1.0)


@when("another writer adds an evacuated zone with {oddity}")
def add_odd_evacuation(context, oddity):
    content = RawJson(build_odd_content(oddity, ENTRY))
    context.objects.write(EVACUATION_KIND, "zone-odd", content, None, True)
    run_for(context, 0.5)


@when("an agent in {zone} with a server joins")
def join_agent(context, zone):
    start_agent(context, zone)


@when("callers open {count:d} flows at each balancer")
def open_flows(context, count):
    service = pack_endpoint(
        standin_settings.SERVICE_HOST, standin_settings.SERVICE_PORT
    )
    for balancer in context.balancers:
        for _ in range(count):
            port = random.randrange(1024, 65_000)
            caller = pack_endpoint(f"{NETWORK}.5.1", port)
            packet = build_packet(caller, service, SYN, 100, 0)
            balancer._handle_packet_datagram(packet, ("127.0.0.1", 1))
        run_for(context, 0.3)


@then("all agents hold flows and no handler failed")
def check_flows(context):
    assert run_until(
        context,
        lambda: all(a._steering.flow_count for a in context.agents.values()),
        5,
    ), [a._steering.flow_count for a in context.agents.values()]
    check_handlers(context)


@step("no handler failed")
def check_handlers(context):
    assert not context.loop.handler_errors
    for node in (*context.balancers, *context.agents.values()):
        assert "handler_failed" not in node.metrics.render()[0].decode()


@then("the balancer has counted {count:d} ignored objects")
def check_ignored(context, count):
    (balancer,) = context.balancers
    text = balancer.metrics.render()[0].decode()
    numbers = re.findall(r"object_ignored_total{.*} (\d+)", text)
    assert sum(map(int, numbers)) == count, numbers


@when("each balancer is replaced")
def replace_balancers(context):
    for number, balancer in enumerate(context.balancers):
        balancer.close()
        ip = f"{NETWORK}.3.{number + 1}"
        settings = read_settings(f"balancer-{number}", ip, "zone-a", False)
        balancer = _build_balancer(context.loop, settings)
        context.add_cleanup(balancer.close)
        balancer.start()
        context.balancers[number] = balancer
        assert run_until(context, balancer.is_ready, 5)


@then("each balancer uses the operator's configuration")
def check_operator_configuration(context):
    for balancer in context.balancers:
        assert balancer._steering.rules.version == 2, balancer._steering.rules
