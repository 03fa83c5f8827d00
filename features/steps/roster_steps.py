import re

from behave import given, step, then, when
from contradicted_entries_steps import HOSTS, write_entry
from nodes_steps import run_until
from restored_store_steps import replace_balancer, run_for
from roster_fleet import PORT, SimulatedFleet, get_host

from bramleystair.nodes._settings import MEMBER_KIND
from bramleystair.steering import (
    EntryChanged,
    EntryWithdrawn,
    LoadReport,
    SendMessage,
    ServerReport,
    ServerShutdown,
    ServerState,
    Subscribe,
    is_node_host,
)
from bramleystair.steering.agent import AgentSteering, AgentSteeringSettings
from bramleystair.steering.balancer import Roster, RosterCopy

COPIES = ("roster-0-0", "roster-1-0", "roster-2-0")
MAX_SENT = 100
# An agent forgets a subscription after 3 s.
MAX_PERIOD_S = 1.5
BALANCER = ("10.0.0.1", 7)


# Real nodes and the stand-in for the store.


def read_rosters(context):
    _, listing = context.objects.list_items(MEMBER_KIND)
    items = {item["meta"]["Name"]: item["spec"] for item in listing["items"]}
    return {name: items[name] for name in COPIES if name in items}


def are_named(context, names):
    hosts = sorted(HOSTS[name] for name in names)
    expected = {"parts": 1, "hosts": hosts, "writer": "balancer"}
    return list(read_rosters(context).values()) == [expected] * len(COPIES)


@step("the copies of the roster name the agents {names} within {limit:f} s")
def check_named(context, names, limit):
    agents = re.findall(r"early|late", names)
    assert run_until(context, lambda: are_named(context, agents), limit), read_rosters(
        context
    )


@when("another writer puts {content} in place of {count:d} copies of the roster")
def change_copies(context, content, count):
    for name in COPIES[:count]:
        match content:
            case "an odd object":
                spec = {"parts": "1", "hosts": 3}
            case "a roster without the late agent":
                spec = {"parts": 1, "hosts": [HOSTS["early"]], "writer": "x"}
            case "nothing":
                spec = None
        status, _ = context.objects.write(MEMBER_KIND, name, spec, None, False)
        assert status == 200, status


@when(
    "{times:d} times another writer removes the late agent's entry and the balancer is "
    "replaced"
)
def remove_and_replace(context, times):
    for _ in range(times):
        write_entry(context, "late", None)
        replace_balancer(context, 0.0)
        run_for(context, 0.5)


@then("the balancer knows all members on the word of the roster within {limit:f} s")
def check_complete(context, limit):
    members = context.balancer._steering.members

    def is_complete():
        return members.is_roster_complete(context.loop.clock.now())

    assert run_until(context, is_complete, limit), list(members)


# Simulated time.


@given("{balancers:d} balancers and {agents:d} agents")
def create_fleet(context, balancers, agents):
    context.fleet = SimulatedFleet(balancers, agents)


@step("{seconds:f} s pass")
def pass_time(context, seconds):
    context.fleet.run(seconds)


@when("{count:d} agents join within {seconds:d} s")
def join(context, count, seconds):
    first = len(context.fleet.alive)
    context.fleet.store.calls.clear()
    for number in range(first, first + count):
        context.fleet.join(number)
        context.fleet.run(seconds / count)


@when("the calls to the store are counted from now on")
def count_calls(context):
    context.fleet.store.calls.clear()


@then("at most {limit:d} writes of rosters were called, of which {conflicts:d} failed")
def check_calls(context, limit, conflicts):
    calls = context.fleet.store.calls
    assert len(calls) <= limit, len(calls)
    assert sum(is_conflict for _, is_conflict in calls) <= conflicts, calls


@then("at most {limit:d} writes of rosters were called")
def check_call_count(context, limit):
    assert len(context.fleet.store.calls) <= limit, len(context.fleet.store.calls)


def read_names(context):
    named = context.fleet.list_named()
    assert named
    parts = {name.split("-")[2] for name in named}
    assert len(named) == len(COPIES) * len(parts), sorted(named)
    for part in parts:
        first, *others = (named[f"roster-{n}-{part}"] for n in range(len(COPIES)))
        assert all(other == first for other in others), part
    return set().union(*named.values())


@then("all copies name the {count:d} agents")
def check_names(context, count):
    assert read_names(context) == {get_host(number) for number in range(count)}


@then("all copies name all agents but agent {number:d}")
def check_names_without(context, number):
    assert read_names(context) == context.fleet.alive - {get_host(number)}


@step("each balancer knows all members on the word of the roster")
def check_all_complete(context):
    now = context.fleet.clock.now()
    for balancer in context.fleet.balancers:
        assert balancer.members.is_roster_complete(now), list(balancer.members)


@step("no balancer knows all members on the word of the roster")
def check_none_complete(context):
    now = context.fleet.clock.now()
    for balancer in context.fleet.balancers:
        balancer.view()
        assert not balancer.members.is_roster_complete(now)


@when("another writer changes one copy: {change}")
def change_copy(context, change):
    store = context.fleet.store
    item = store.items["roster-1-0"]
    hosts = item.value["hosts"]
    match change:
        case "missing":
            value = None
        case "unreadable":
            value = item.value | {"hosts": "x"}
        case "one host less":
            value = item.value | {"hosts": hosts[1:]}
        case "one host more":
            value = item.value | {"hosts": [*hosts, "10.200.0.1"]}
        case "two parts":
            value = item.value | {"parts": 2}
    store.put("roster-1-0", value)


@when("another writer removes the entry of agent {number:d}")
def remove_entry(context, number):
    context.fleet.store.put(get_host(number), None)


@when("all balancers lose power")
def lose_power(context):
    context.fleet.balancers.clear()


@when("agent {number:d} falls silent")
def silence(context, number):
    context.fleet.alive.discard(get_host(number))


@when("a balancer starts")
def start_balancer(context):
    context.fleet.start_balancer()


@step("the last balancer has {count:d} members, one of which is agent {number:d}")
def check_member(context, count, number):
    members = context.fleet.balancers[-1].members
    assert len(members) == count, len(members)
    assert members.get((get_host(number), PORT)) is not None


@then("it has subscribed to agent {number:d} and told it that its entry is missing")
def check_told(context, number):
    address = (get_host(number), PORT)
    sent = [
        action.message
        for action in context.fleet.balancers[-1].actions
        if isinstance(action, SendMessage) and action.address == address
    ]
    assert any(isinstance(message, Subscribe) for message in sent)
    changes = [message for message in sent if isinstance(message, EntryChanged)]
    assert changes and all(change.is_missing for change in changes), sent


@then("each balancer has {count:d} members")
def check_member_count(context, count):
    counts = [len(balancer.members) for balancer in context.fleet.balancers]
    assert counts == [count] * len(counts), counts


@when("agent {number:d} says to {count:d} balancers that it has withdrawn its entry")
def withdraw(context, number, count):
    address = (get_host(number), PORT)
    for balancer in context.fleet.balancers[:count]:
        now = context.fleet.clock.now()
        balancer.steering.handle_message(address, EntryWithdrawn(), now)


@when("its entry is removed and agent {number:d} stops")
def leave(context, number):
    context.fleet.store.put(get_host(number), None)
    context.fleet.alive.discard(get_host(number))


@given("two balancers write at the same time")
def align_delays(context):
    for balancer in context.fleet.balancers:
        balancer.writer._schedule._name = "same"


@when("the responses to the next {count:d} writes are lost")
def lose_responses(context, count):
    context.fleet.store.lost_responses = count


@when("the store returns from the copy of before")
def restore(context):
    store = context.fleet.store
    store.items, store.revision = dict(context.copy[0]), context.copy[1]
    store.epoch.record(store.epoch.current + 1)
    for balancer in context.fleet.balancers:
        balancer.restore()


@when("the store is copied")
def copy_store(context):
    context.copy = dict(context.fleet.store.items), context.fleet.store.revision


@when("the agents write their entries again")
def write_again(context):
    store = context.fleet.store
    hosts = context.fleet.alive - store.items.keys()
    for number in range(len(context.fleet.alive)):
        if get_host(number) in hosts:
            context.fleet.join(number)


@when("another writer adds copies that name {count:d} hosts of no agent")
def add_odd_rosters(context, count):
    context.odd = frozenset((get_host(100_000 + n), PORT) for n in range(count))
    balancer = context.fleet.balancers[-1]
    real = balancer.members
    known = frozenset(member.entry.address for member in real)
    extra = frozenset({(get_host(90_000), PORT)})
    copies = {(n, 0): RosterCopy(9, 1, known | extra) for n in range(2)}
    copies[2, 0] = RosterCopy(9, 1, known | extra | context.odd)
    roster = Roster(copies, 9, 1, PORT)
    balancer.can_write = False
    balancer.steering.set_roster(roster, context.fleet.clock.now())


@then("it has added at most {limit:d} members, among them the one of two copies")
def check_added(context, limit):
    members = context.fleet.balancers[-1].members
    added = [m for m in members if m.is_unlisted]
    assert len(added) <= limit, len(added)
    assert members.get((get_host(90_000), PORT)) is not None
    assert not members.is_roster_complete(context.fleet.clock.now())


@then("it has heard each of the {count:d} agents in the last {limit:f} s")
def check_heard(context, count, limit):
    balancer = context.fleet.balancers[-1]
    sent = {
        action.address[0]
        for action in balancer.actions[-10 * MAX_SENT :]
        if isinstance(action, SendMessage) and isinstance(action.message, Subscribe)
    }
    now = context.fleet.clock.now()
    for number in range(count):
        member = balancer.members.get((get_host(number), PORT))
        assert now - member.last_heard_s <= limit, member
        assert get_host(number) in sent
    assert balancer.members.compute_subscription_period() <= MAX_PERIOD_S


# Encoding.


@then("rosters of {counts} members are read as they were written")
def check_encoding(context, counts):
    for count in map(int, counts.split(", ")):
        fleet = SimulatedFleet(1, count)
        fleet.run(8.0)
        named = fleet.list_named()
        hosts = [host for names in named.values() for host in names]
        assert len(hosts) == len(COPIES) * count
        assert len(fleet.balancers[0].members._roster.named) == count
        assert fleet.balancers[0].members.list_roster_changes() == []
        assert max(map(len, named.values())) <= 110, named


@then("no node takes a roster for the entry of a member")
def check_names_of_objects(context):
    assert not any(is_node_host(name) for name in COPIES)


# Agents.


@given("an agent with a server and a subscribed balancer")
def create_agent(context):
    context.now = 100.0
    context.agent = AgentSteering(
        ("10.0.1.1", PORT), "z", AgentSteeringSettings(), context.now
    )
    report = ServerReport("s", "web", "z", ServerState.READY, 2)
    context.agent.handle_report(report, context.now)
    context.agent.handle_subscription(BALANCER, Subscribe(), context.now)


@when("its entry is withdrawn")
def withdraw_entry(context):
    context.agent.remove_server(ServerShutdown("s"), context.now)
    context.sent = context.agent.set_withdrawn(True, context.now)


@when("the agent runs for {seconds:f} s")
def run_agent(context, seconds):
    end_s = context.now + seconds
    context.sent = []
    while context.now < end_s:
        context.now += 0.05
        context.agent.handle_subscription(BALANCER, Subscribe(), context.now)
        context.sent += context.agent.run_timers(context.now)


def count_sent(context, kind):
    return sum(isinstance(action.message, kind) for action in context.sent)


@then("the balancer was told of the withdrawal {least:d} to {most:d} times")
def check_withdrawals(context, least, most):
    assert least <= count_sent(context, EntryWithdrawn) <= most, context.sent


@then("the balancer got load reports only")
def check_reports_only(context):
    assert count_sent(context, LoadReport)
    assert not count_sent(context, EntryWithdrawn)


@when("its server reports again and has an entry")
def report_again(context):
    report = ServerReport("t", "web", "z", ServerState.READY, 2, started_ms=9)
    context.agent.handle_report(report, context.now)
    context.agent.set_withdrawn(False, context.now)
