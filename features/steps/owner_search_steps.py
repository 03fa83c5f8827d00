import random
from collections import Counter

from behave import given, then, when
from steering_samples import ENDPOINT, make_entry, make_segment

from bramleystair.steering import (
    LookupProbe,
    LookupReply,
    LookupRequest,
    OpenFlow,
    Ownership,
    Relay,
    Route,
    RoutingRules,
    SendMessage,
    Target,
)
from bramleystair.steering.balancer import BalancerSteering, BalancerSteeringSettings

ZONE = "zone-0"


# A fifth of a link of 2 Mbit/s.
SETTINGS = BalancerSteeringSettings(lookup_bytes_per_s=50_000.0)


def create_balancer(number, members, seed, now):
    steering = BalancerSteering(
        SETTINGS, random.Random(seed), ZONE, f"balancer-{number}"
    )
    route = Route("r", ENDPOINT, (Target("web", 1.0),))
    steering.set_rules(RoutingRules(9, {ENDPOINT: route}))
    steering.set_evacuated_zones(())
    steering.set_members([make_entry(n, ZONE) for n in range(members)], now)
    steering.run_timers(now)
    return steering


def make_flow(number):
    caller = bytes((100, 64)) + number.to_bytes(2, "big")
    return caller + ENDPOINT[:4] + bytes((156, 65)) + ENDPOINT[4:]


def list_messages(actions, kind):
    return [
        (action.address, action.message)
        for action in actions
        if isinstance(action, SendMessage) and isinstance(action.message, kind)
    ]


@given("two balancers of one zone that know {members:d} idle members")
def create_balancers(context, members):
    context.now = 50.0
    context.balancers = [
        create_balancer(n, members, seed=n, now=context.now) for n in range(2)
    ]


@when("both place {count:d} flows")
def place_flows(context, count):
    context.choices = [
        [place_flow(steering, n, context.now) for n in range(count)]
        for steering in context.balancers
    ]


def place_flow(steering, number, now):
    segment = make_segment(make_flow(number), first=True)
    ((address, _),) = list_messages(steering.handle_segment(segment, now), OpenFlow)
    # Neither flow counts as load of the member, as if it was answered and ended.
    steering.members.get(address).flows_since_report = 0
    return address


@then("both have chosen the same member for each flow")
def check_choices(context):
    first, second = context.choices
    assert first == second


@then("each member got between {least:d} and {most:d} flows")
def check_spread(context, least, most):
    counts = Counter(context.choices[0])
    assert len(counts) == 12
    assert least <= min(counts.values()) <= max(counts.values()) <= most, counts


@given(
    "a balancer that has just started beside {count:d} agents that have just started"
)
def create_restarted_balancer(context, count):
    context.now = 50.0
    context.members = count
    context.steering = create_balancer(0, count, seed=1, now=context.now)
    context.owners = {}
    context.silent = None
    # Time, flow and receiver of each probe, and of each packet that was relayed.
    context.probes, context.relays = [], []
    context.batches = Counter()


@given("{count:d} open flows that were placed when all members were idle")
def place_earlier_flows(context, count):
    earlier = create_balancer(0, context.members, seed=2, now=context.now)
    for number in range(count):
        context.owners[make_flow(number)] = place_flow(earlier, number, context.now)


@given("{count:d} open flows that no server holds")
def lose_flows(context, count):
    context.owners = {make_flow(number): None for number in range(count)}


@given("one of the agents does not answer and its server holds a flow")
def silence_owner(context):
    place_earlier_flows(context, 1)
    (context.silent,) = context.owners.values()


@when("a packet of each flow reaches the balancer")
def send_packets(context):
    for number, flow in enumerate(context.owners):
        # Callers have started to send again after different times.
        exchange(context, context.now + number / 1000)
        send_packet(context, flow)
    exchange(context, context.now + 10)


@when("a packet of this flow reaches the balancer each {period:g} s for {seconds:g} s")
def send_copies(context, period, seconds):
    (flow,) = context.owners
    for _ in range(round(seconds / period)):
        send_packet(context, flow)
        exchange(context, context.now + period)


def send_packet(context, flow):
    segment = make_segment(flow, sequence=7000, ack=9000, size=200)
    deliver(context, context.steering.handle_segment(segment, context.now))


def exchange(context, until):
    """Run the timers of the balancer until then."""
    while context.now < until:
        context.now = min(until, context.now + 0.01)
        deliver(context, context.steering.run_timers(context.now))


def deliver(context, actions):
    """Answer all messages at once, as agents that were restarted do."""
    queue = [a for a in actions if isinstance(a, SendMessage)]
    probed_together = Counter(
        a.message.data[:12] for a in queue if isinstance(a.message, LookupProbe)
    )
    context.batches |= probed_together
    for action in queue:
        answer = choose_answer(context, action.address, action.message)
        if answer is not None and action.address != context.silent:
            reply = LookupReply(action.message.token, answer)
            deliver(
                context,
                context.steering.handle_message(action.address, reply, context.now),
            )


def choose_answer(context, address, message):
    match message:
        case LookupRequest():
            return Ownership.UNSURE
        case LookupProbe(data=data):
            context.probes.append((context.now, data[:12], address, len(data)))
            is_owner = context.owners[data[:12]] == address
            return Ownership.CERTAIN if is_owner else Ownership.RETURNED
        case Relay(data=data):
            context.relays.append((data[:12], address))
    return None


@then("at most {limit:d} servers are probed at the same time for a flow")
def check_batches(context, limit):
    assert 0 < max(context.batches.values()) <= limit, context.batches


@then("every owner is found")
def check_owners(context):
    for flow, owner in context.owners.items():
        member = context.steering.members.get(owner)
        assert member is not None
        assert find_owner(context, flow) == owner


def find_owner(context, flow):
    """Return the member to which the balancer sends the next packet of a flow."""
    context.relays.clear()
    segment = make_segment(flow, sequence=7000, ack=9000, size=200)
    deliver(context, context.steering.handle_segment(segment, context.now))
    return dict(context.relays).get(flow)


@then("{share:d} of {total:d} owners are found by the first probes")
def check_first_probes(context, share, total):
    first = {}
    for _, flow, address, _ in context.probes:
        first.setdefault(flow, []).append(address)
    found = sum(
        context.owners[flow] in addresses[:8] for flow, addresses in first.items()
    )
    assert found >= len(context.owners) * share / total, found


@then(
    "in no second more bytes of probes are sent than the limit and one batch of lookups"
)
def check_probe_bytes(context):
    size = max(size for _, _, _, size in context.probes)
    headers = 33
    total = sum(size + headers for _, _, _, size in context.probes)
    assert total > 2 * SETTINGS.lookup_bytes_per_s
    # Lookups that have started are not delayed any more.
    started = SETTINGS.lookup_batch * context.members * (size + headers)
    times = [time for time, *_ in context.probes]
    for start in times:
        sent = sum(
            size + headers
            for time, _, _, size in context.probes
            if start <= time < start + 1
        )
        assert sent <= SETTINGS.lookup_bytes_per_s + started, sent


@then("in any {seconds:g} s at most {limit:d} packets of the flow are sent to servers")
def check_probe_rate(context, seconds, limit):
    times = [time for time, *_ in context.probes]
    assert len(times) > limit
    for start in times:
        sent = [t for t in times if start <= t < start + seconds]
        assert len(sent) <= limit, sent
