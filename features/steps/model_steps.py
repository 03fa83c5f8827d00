import random

from behave import given, then, when

from bramleystair.model import (
    CallerSettings,
    Fleet,
    FleetSettings,
    Outcome,
    ServerSettings,
)
from bramleystair.model._patterns import PATTERNS, POLICIES

FAST, SLOW = ServerSettings(), ServerSettings(speed=0.5)


@given(
    "a modelled deployment of {servers:d} servers of which {slow:d} have half the speed"
)
def create_fleet(context, servers, slow):
    settings = (SLOW,) * slow + (FAST,) * (servers - slow)
    context.slow = slow
    context.fleet = Fleet(FleetSettings(servers=settings))


@given("a modelled deployment whose callers request twice the capacity")
def create_overloaded_fleet(context):
    context.fleet = Fleet(
        FleetSettings(
            servers=(FAST,) * 3,
            callers=(CallerSettings(callers=350, period_s=0.4),),
        )
    )
    # Three servers with five slots each and a mean service time of 60 ms.
    context.capacity = 3 * 5 / 0.06


@given("a modelled deployment whose cold servers accept {rate:d} new flows per second")
def create_cold_fleet(context, rate):
    server = ServerSettings(cold_s=4.0)
    callers = CallerSettings(keeps_flows=False, callers=130)
    context.fleet = Fleet(
        FleetSettings(servers=(server,) * 3, cold_rate=rate, callers=(callers,))
    )
    context.cold_opens = []
    for fleet_server in context.fleet.servers:
        record_opens_while_cold(context, fleet_server)


def record_opens_while_cold(context, server):
    original = server._handle_syn

    def record_open(segment):
        if server.is_cold() and server.incarnation > 0:
            context.cold_opens.append((server.name, context.fleet.events.now))
        original(segment)

    server._handle_syn = record_open


@when("it runs for {seconds:d} s")
def run(context, seconds):
    context.fleet.run_until(context.fleet.events.now + seconds)


@when("each balancer is restarted for {down:f} s in turn, {gap:d} s apart")
def restart_balancers(context, down, gap):
    fleet = context.fleet
    for number in range(fleet.settings.balancers):
        fleet.stop_balancer(number)
        fleet.run_until(fleet.events.now + down)
        fleet.start_balancer(number)
        fleet.run_until(fleet.events.now + gap)


@when("each agent is restarted for {down:f} s in turn, {gap:d} s apart")
def restart_agents(context, down, gap):
    fleet = context.fleet
    for number in range(len(fleet.servers)):
        fleet.stop_agent(number)
        fleet.run_until(fleet.events.now + down)
        fleet.start_agent(number)
        fleet.run_until(fleet.events.now + gap)


@when("all processes lose power for {seconds:f} s")
def lose_power(context, seconds):
    context.fleet.lose_power(seconds)


@when(
    "the VM of server {number:d} is removed while all processes lose power for"
    " {seconds:f} s"
)
def remove_vm(context, number, seconds):
    context.fleet.lose_power(seconds)
    context.fleet.remove_vm(number)


@when("server {number:d} crashes for {seconds:d} s")
def crash(context, number, seconds):
    fleet = context.fleet
    fleet.servers[number].crash()
    fleet.run_until(fleet.events.now + seconds)
    fleet.servers[number].restart()


@when("{count:d} random faults are injected with seed {seed:d}")
def inject_faults(context, count, seed):
    source = random.Random(seed)
    fleet = context.fleet = Fleet(
        FleetSettings(servers=(FAST, SLOW, FAST, FAST, FAST, FAST), seed=seed)
    )
    fleet.run_until(5)
    for _ in range(count):
        inject_fault(fleet, source)
        fleet.run_until(fleet.events.now + source.uniform(0.2, 3))
    fleet.run_until(fleet.events.now + 12)


def inject_fault(fleet, source):
    number = source.randrange(len(fleet.servers))
    balancer = source.randrange(fleet.settings.balancers)
    delay_s = source.uniform(0.1, 2)
    call_after = fleet.events.call_after
    match source.choice(("balancer", "agent", "cut", "crash", "evacuate")):
        case "balancer":
            fleet.stop_balancer(balancer)
            call_after(delay_s, lambda: fleet.start_balancer(balancer))
        case "agent":
            fleet.stop_agent(number)
            call_after(min(1.0, delay_s), lambda: fleet.start_agent(number))
        case "cut":
            fleet.partition(number)
            call_after(delay_s, lambda: fleet.heal_partition(number))
        case "crash":
            server = fleet.servers[number]
            server.crash()
            call_after(1 + delay_s, server.restart)
        case "evacuate":
            fleet.evacuate({f"zone-{source.randrange(3)}"})
            call_after(delay_s, lambda: fleet.evacuate(set()))


@then("at least {percent:d} % of the requests from {start:d} s on are in time")
def check_in_time(context, percent, start):
    share = context.fleet.report.compute_share(Outcome.IN_TIME, start)
    assert share >= percent / 100, share


@then("at least {percent:d} % of the last {seconds:d} s of requests are in time")
def check_last_in_time(context, percent, seconds):
    start = context.fleet.events.now - seconds
    share = context.fleet.report.compute_share(Outcome.IN_TIME, start)
    assert share >= percent / 100, share


@then("each slow server processed fewer requests than each fast one")
def check_slow_servers(context):
    runs = [server.processed for server in context.fleet.servers]
    assert max(runs[: context.slow]) < min(runs[context.slow :]), runs


@when('the pattern "{pattern}" runs with seed {seed:d}')
def run_pattern(context, pattern, seed):
    context.fleet = PATTERNS[pattern](POLICIES[0], seed)


def compute_class_share(context, first_group, outcomes, start):
    """Return the share of a class; its groups of callers have every second number."""
    groups = context.fleet.report.groups
    reports = [groups[number] for number in sorted(groups)[first_group::2]]
    counts = {
        outcome: sum(report.count(outcome, start) for report in reports)
        for outcome in Outcome
    }
    return sum(counts[outcome] for outcome in outcomes) / sum(counts.values())


@then(
    "at least {percent:d} % of the first class's requests from {start:d} s on are"
    " served"
)
def check_first_class(context, percent, start):
    served = (Outcome.IN_TIME, Outcome.LATE)
    share = compute_class_share(context, 0, served, start)
    assert share >= percent / 100, share


@then(
    "at least {percent:d} % of the second class's requests from {start:d} s on are in"
    " time"
)
def check_second_class(context, percent, start):
    share = compute_class_share(context, 1, (Outcome.IN_TIME,), start)
    assert share >= percent / 100, share


@then("no open flow was broken")
def check_no_broken_flow(context):
    assert context.fleet.report.broken_flows == 0, context.fleet.report.broken_flows


@then("no open flow was broken by planned work")
def check_no_broken_flow_by_planned_work(context):
    # Partitions of up to 2 s are shorter than the silence after which a member is taken
    # for lost, so they must not break flows either.
    assert context.fleet.report.broken_flows == 0, context.fleet.report.broken_flows


@then("requests in time are at least {percent:d} % of the capacity from {start:d} s on")
def check_goodput(context, percent, start):
    fleet = context.fleet
    end = int(fleet.events.now) - 2
    in_time = fleet.report.count(Outcome.IN_TIME, start, end) / (end - start)
    share = in_time / context.capacity
    assert share >= percent / 100, share


@then("no cold server accepted more than {limit:d} new flows in any second")
def check_cold_servers(context, limit):
    times = {}
    for name, now in context.cold_opens:
        times.setdefault(name, []).append(now)
    assert times
    for opened in times.values():
        for index, start in enumerate(opened):
            # Slightly under 1 s, because sums of floats differ in the last bit.
            count = sum(now < start + 0.999 for now in opened[index:])
            assert count <= limit, (count, opened)
