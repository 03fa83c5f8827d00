import re

from behave import then, when
from nodes_steps import run_until
from restored_store_steps import NETWORK, read_settings, run_for

from bramleystair.nodes._settings import MEMBER_KIND
from bramleystair.platform._main import _build_agent

CHANGE_INTERVAL_S = 0.4
OTHER_PORT = 9
HOSTS = {"early": f"{NETWORK}.4.1", "late": f"{NETWORK}.4.2"}


def read_entry(context, name):
    _, listing = context.objects.list_items(MEMBER_KIND)
    specs = {item["meta"]["Name"]: item["spec"] for item in listing["items"]}
    return specs.get(HOSTS[name])


def write_entry(context, name, spec):
    is_new = read_entry(context, name) is None
    if spec is not None or not is_new:
        status, _ = context.objects.write(MEMBER_KIND, HOSTS[name], spec, None, is_new)
        assert status == 200, status


@when(
    "another writer puts {content} in place of the {name} agent's entry {times:d} times"
)
def contradict(context, content, name, times):
    context.own_entry = own = read_entry(context, name)
    for _ in range(times):
        match content:
            case "an odd object":
                odd = {"state": 1, "zone": 7, "host": HOSTS[name]}
                write_entry(context, name, odd)
            case "a sound object":
                changes = {"port": OTHER_PORT, "service": "other", "state": "draining"}
                write_entry(context, name, own | changes)
            case "nothing":
                write_entry(context, name, None)
        if times > 1:
            run_for(context, CHANGE_INTERVAL_S)


def is_back(context, name):
    return read_entry(context, name) == context.own_entry


@then("the {name} agent's entry is back within {limit:f} s")
def check_entry(context, name, limit):
    assert run_until(context, lambda: is_back(context, name), limit), read_entry(
        context, name
    )


@then(
    "the {name} agent's entry is back within {limit:f} s, and the balancer has "
    "{count:d} members"
)
def check_entry_and_members(context, name, limit, count):
    def is_restored():
        members = context.balancer._steering.members
        assert len(members) == count, list(members)
        return is_back(context, name)

    assert run_until(context, is_restored, limit), read_entry(context, name)


@then("the {name} agent has counted contradictions and repeated writes")
def check_counters(context, name):
    text = context.agents[name].metrics.render()[0].decode()
    for counter in ("entry_contradicted", "entry_written_again"):
        assert re.search(counter + r"_total{.*} [1-9]", text), text


@when("the store's responses are lost for {seconds:f} s")
def lose_all_responses(context, seconds):
    run_for(context, 0.5)
    context.objects.lose_responses(seconds)


@when("the {name} agent restarts")
def restart_agent(context, name):
    context.agents[name].close()
    settings = read_settings(name, HOSTS[name], True)
    agent = _build_agent(context.loop, settings)
    context.add_cleanup(agent.close)
    context.agents[name] = agent
    agent.start()


@when("the store executes no write of the {name} agent")
def refuse_writes(context, name):
    context.agents[name]._publisher._reconcile = lambda: None


@when("the balancer announces no changes")
def suppress_announcements(context):
    context.balancer._steering._announce_change = lambda *arguments: None


@when("the {name} agent checks its entry")
def check_own_entry(context, name):
    context.agents[name]._check_entry()


@then("the balancer has {count:d} member within {seconds:d} s")
def check_balancer_members(context, count, seconds):
    members = context.balancer._steering.members
    assert run_until(context, lambda: len(members) == count, seconds), list(members)
