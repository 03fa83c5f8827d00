import time

from behave import given, then, when
from nodes_steps import run_until
from restored_store_steps import run_for, start_store

from bramleystair.loop import EventLoop
from bramleystair.platform import _settings
from bramleystair.platform._configuration import CONFIG_KIND, EVACUATION_KIND
from bramleystair.platform._main import _build_agent, _build_balancer
from bramleystair.platform.standins import _settings as standin_settings
from bramleystair.platform.standins._server import BackendServer
from bramleystair.timers import MonotonicClock
from support.networks import NETWORK

STORE = (f"{NETWORK}.2.1", standin_settings.STORE_PORT)
START_LIMIT_S = 5.0


def read_settings(name, ip, zone, is_agent):
    document = standin_settings.build_settings(name, ip, zone, STORE, (), is_agent)
    return _settings._parse_document(document, 0)


@given("a store with {count:d} balancers")
def start_store_and_balancers(context, count):
    context.objects = start_store(context, STORE)
    configuration = standin_settings.build_configuration(1)
    context.objects.write(CONFIG_KIND, "main", configuration, None, True)
    context.loop = EventLoop(MonotonicClock())
    context.add_cleanup(context.loop.close)
    context.balancers, context.agents, context.servers = [], {}, {}
    for number in range(count):
        ip = f"{NETWORK}.3.{number + 1}"
        settings = read_settings(f"balancer-{number}", ip, "zone-a", False)
        balancer = _build_balancer(context.loop, settings)
        context.add_cleanup(balancer.close)
        balancer.start()
        context.balancers.append(balancer)


@given("an agent in {zone} with a server")
def start_agent(context, zone):
    number = len(context.agents) + 1
    ip = f"{NETWORK}.4.{number}"
    name = f"s{number}"
    agent = _build_agent(context.loop, read_settings(name, ip, zone, True))
    context.add_cleanup(agent.close)
    context.agents[name] = agent
    server = BackendServer(
        context.loop, standin_settings.build_server_options(name, ip, zone)
    )
    context.add_cleanup(server.close)
    context.servers[name] = server
    agent.start()
    assert run_until(
        context,
        lambda: all(count_listed(b) == number for b in context.balancers),
        START_LIMIT_S,
    )


def count_listed(balancer):
    """Return the number of members with an entry that can be used."""
    return sum(not member.is_unlisted for member in balancer._steering.members)


@when("the store loses its responses for {loss:f} s")
def lose_responses(context, loss):
    # Watches that are answered at once, for changes made before, must not end the wait.
    run_for(context, 0.5)
    context.lost_until_s = time.monotonic() + loss
    context.objects.lose_responses(loss)


@when("the operator evacuates {zone} {delay:f} s later")
def evacuate(context, zone, delay):
    run_for(context, delay)
    context.objects.write(EVACUATION_KIND, zone, {}, None, True)


@when("the operator writes a configuration {delay:f} s later")
def write_configuration(context, delay):
    run_for(context, delay)
    configuration = standin_settings.build_configuration(2)
    context.objects.write(CONFIG_KIND, "main", configuration, None, False)


def run_until_after_loss(context, condition, limit_s):
    wait_s = context.lost_until_s + limit_s - time.monotonic()
    assert run_until(context, lambda: all(map(condition, context.balancers)), wait_s)


@then("each balancer opens no flows in {zone} at most {limit:f} s after the last loss")
def check_evacuated(context, zone, limit):
    def is_evacuated(balancer):
        members = balancer._steering.members
        candidates = members.list_candidates(standin_settings.SERVICE_NAME)
        return candidates and all(m.entry.zone != zone for m in candidates)

    run_until_after_loss(context, is_evacuated, limit)


@then(
    "each balancer has the latest configuration at most {limit:f} s after the last loss"
)
def check_configuration(context, limit):
    run_until_after_loss(context, lambda b: b._steering.rules.version == 2, limit)
