import random

import attrs
from behave import given, then, when
from flows_fleet import (
    ACK,
    FIN,
    PUSH,
    RST,
    SYN,
    WARM,
    Fleet,
    build_flow,
    build_members,
    build_segment,
    build_udp,
)
from hypothesis import given as generate
from hypothesis import settings
from hypothesis import strategies as st

from bramleystair.actions import Count, Send
from bramleystair.flows import (
    CloseFlow,
    Deliver,
    DeliveryFailed,
    DrainRequested,
    FlowController,
    FlowSettings,
    LimitAdvised,
    MessageArrived,
    OutboundPacketSent,
    OutcomeObserved,
    ResetCaller,
    ResetServer,
    Tick,
    ViewChanged,
)
from bramleystair.flows._member_ranking import MemberLoad, compute_shares
from bramleystair.packets import read_headers, reverse_flow
from bramleystair.routing import find_home
from bramleystair.tables import AgentAnnouncement, AgentState, Protocol, Table, ZoneMark
from bramleystair.views import View
from bramleystair.wire import (
    FlowQuery,
    FlowQueryReply,
    Forward,
    PlaceReply,
    RedirectDrop,
    RedirectPut,
)

COLD = FlowSettings()


def build_view(members, zones=(), agents=None, version=1):
    table = Table("feed", "10.9.0.1", 80, Protocol.TCP, tuple(members), version)
    datagrams = attrs.evolve(table, service="datagrams", protocol=Protocol.UDP)
    agents = agents or [member.server for member in build_members(4)]
    announcements = {
        server: AgentAnnouncement(server, "z1", "127.0.0.1", 9000, 1)
        for server in agents
    }
    marks = {zone: ZoneMark(zone, False) for zone in zones}
    return View({"feed": table, "datagrams": datagrams}, marks, announcements)


def build_agent(server="b0", view=None, flow_settings=WARM, now=0.0):
    agent = FlowController(server, "z1", flow_settings, random.Random(1))
    agent.handle(ViewChanged(view or build_view(build_members(4, ("z1",)))), now)
    # Without ticks the agent would conclude that it was paused.
    run_ticks(agent, now, 0.0, step=0.5)
    return agent


def build_forward(flow, flags=SYN, place=False, version=1, hops=0):
    is_tcp = flow[0] == Protocol.TCP
    packet = build_segment(flow, 100, 0, flags) if is_tcp else build_udp(flow)
    table = build_view(()).tables["feed" if is_tcp else "datagrams"]
    return Forward(table.service_id, version, flow, hops, place, packet)


def send_forward(agent, now, flow, *args, sender="balancer", **options):
    event = MessageArrived(sender, build_forward(flow, *args, **options))
    return agent.handle(event, now)


def select(actions, kind):
    found = [action for action in actions if isinstance(action, kind)]
    sent = [action.message for action in actions if isinstance(action, Send)]
    return found or [message for message in sent if isinstance(message, kind)]


def run_ticks(agent, start, end, step=0.1):
    actions, now = [], start
    while now < end:
        now += step
        new = agent.handle(Tick(), now)
        actions += new
        for put in select(new, RedirectPut):
            reply = attrs.evolve(put, flows=(), is_reply=True)
            agent.handle(MessageArrived("home", reply), now)
    return actions


# Fleet simulations.


@given(
    "a fleet of {count:d} agents that loses {loss:d} % and duplicates {duplicated:d} %"
    " of messages, with {protocol}"
)
def create_lossy_fleet(context, count, loss, duplicated, protocol):
    context.fleet = Fleet(
        5,
        build_members(count),
        loss / 100,
        duplicated / 100,
        protocol=Protocol[protocol],
    )


@given("a fleet of {count:d} agents with weights {weights}")
def create_weighted_fleet(context, count, weights):
    weights = [float(weight) for weight in weights.split(",")]
    context.fleet = Fleet(2, build_members(count, weights=weights))


@given("a cold fleet of {count:d} agents with a cap of {cap:d}")
def create_cold_fleet(context, count, cap):
    context.fleet = Fleet(1, build_members(count, cap=cap), settings=COLD)


@when("{flows:d} flows stay open over {changes:d} planned changes")
def run_planned_changes(context, flows, changes):
    fleet = context.fleet
    fleet.open_flows(flows)
    fleet.run(10)
    for _ in range(changes):
        fleet.apply_planned_change()
        for _ in range(3):
            fleet.send_data()
            fleet.run(fleet.random.choice((0.5, 1, 3)))
    fleet.run(10)


@then("no flow was broken and every flow is still open")
def check_no_flow_broken(context):
    assert not context.fleet.violations
    states = {caller.state for caller in context.fleet.callers.values()}
    assert states == {"open"}, states
    assert context.fleet.sent_counts["RedirectPut"] > 100


CHANGES = st.sampled_from(
    (
        *("plan", "plan", "plan", "fail", "zone", "open", "cap", "wait"),
        *("crash", "false down", "refute", "close", "reopen"),
    )
)


@when("{count:d} generated histories of {changes:d} changes run on fleets with losses")
def run_histories(context, count, changes):
    context.fleets = []

    @settings(max_examples=count)
    @generate(
        st.integers(0, 2**16),
        st.sampled_from(list(Protocol)),
        st.sampled_from((0.0, 0.05)),
        st.lists(CHANGES, min_size=changes, max_size=changes),
    )
    def run(seed, protocol, loss, history):
        members = build_members(6, cap=30)
        settings = FlowSettings(initial_fraction=0.3, warm_up_s=20.0)
        fleet = Fleet(seed, members, loss, 0.1, settings=settings, protocol=protocol)
        context.fleets.append(fleet)
        for change in history:
            apply_change(fleet, change)
            for _ in range(3):
                fleet.send_data()
                fleet.run(fleet.random.choice((0.5, 1, 3)))

    run()


def apply_change(fleet, change):
    live = sorted(set(fleet.members) & set(fleet.agents))
    match change:
        case "plan" if live:
            fleet.apply_planned_change()
        case "fail" if len(live) > 3:
            fleet.fail_server(fleet.random.choice(live))
        case "zone":
            zone = fleet.random.choice(("z1", "z2"))
            mark = fleet.zone_marks.get(zone)
            fleet.mark_zone(zone, mark is not None and not mark.is_in_service)
        case "cap":
            server = fleet.random.choice(sorted(fleet.members))
            fleet.change_row(server, max_flows=fleet.random.choice((30, 60)))
        case "crash" if live:
            fleet.crash_server(fleet.random.choice(live))
        case "false down" if live:
            fleet.report_down(fleet.random.choice(live))
        case "refute":
            fleet.refute_down_reports()
        case "close" if fleet.protocol is Protocol.TCP:
            fleet.close_flows(10)
        case "reopen":
            fleet.reopen_flows()
        case "open":
            fleet.open_flows(20)


@then("each invariant held after every step")
def check_histories(context):
    assert len(context.fleets) >= 50
    assert not any(fleet.violations for fleet in context.fleets)
    states = [c.state for fleet in context.fleets for c in fleet.callers.values()]
    assert {"open", "lost", "refused"} <= set(states)


@when("{count:d} flows are opened within {seconds:d} s")
def open_flows_within(context, count, seconds):
    for _ in range(seconds):
        context.fleet.open_flows(count // seconds)
        context.fleet.run(1.0)


@then("no agent exceeded its cold limit or its cap, and refusals give the reason cold")
def check_cold_limits(context):
    fleet = context.fleet
    assert not fleet.violations
    assert fleet.counts["flow_refused", "cold"] > 100
    age_s = fleet.now - max(fleet.cold_started_s.values())
    for server, agent in fleet.agents.items():
        limit = 200 * (0.1 + 0.9 * age_s / 60)
        assert 0.7 * limit < agent.flow_count <= limit + 1, server


@given("a cold agent that admits 200 flows a second when warm")
def create_cold_agent(context):
    context.agent = build_agent(flow_settings=COLD)


@when("{rate:d} placements arrive in every other second for {seconds:d} s")
def place_in_bursts(context, rate, seconds):
    context.admitted = dict.fromkeys(range(0, seconds, 2), 0)
    for number in range(rate * seconds):
        now = number / rate
        if int(now) in context.admitted:
            actions = send_forward(context.agent, now, build_flow(number), place=True)
            context.admitted[int(now)] += len(select(actions, Deliver))


@then("no second has over 110 % of 200 times the warm fraction, or under 80 %")
def check_rate(context):
    for second, admitted in context.admitted.items():
        limit = 200 * (0.1 + 0.9 * (second + 1) / 60)
        assert 0.8 * limit < admitted <= 1.1 * limit, (second, admitted, limit)


@when("{count:d} flows are opened at a steady rate")
def open_steadily(context, count):
    for _ in range(count // 40):
        context.fleet.open_flows(20)
        context.fleet.run(0.5)


@when(
    "{count:d} flows are open, a member joins, and {rate:d} flows a second are"
    " replaced for {seconds:d} s"
)
def replace_flows(context, count, rate, seconds):
    fleet = context.fleet
    open_steadily(context, count * 2)
    fleet.add_member("n1")
    for _ in range(2 * seconds):
        fleet.open_flows(rate // 2)
        opened = [c for c in fleet.callers.values() if c.state == "open"]
        for caller in fleet.random.sample(opened, rate // 2):
            caller.state = "closed"
            fleet.send_packet(caller, RST)
        fleet.run(0.5)


@then("every member's flows are within 10 % of its share")
def check_shares(context):
    fleet = context.fleet
    total = sum(agent.flow_count for agent in fleet.agents.values())
    weights = sum(member.weight for member in fleet.members.values())
    assert total > 900
    for server, member in fleet.members.items():
        share = total * member.weight / weights
        flow_count = fleet.agents[server].flow_count
        assert abs(flow_count / share - 1) <= 0.1, (server, flow_count, share)


@when("{count:d} flows are open and zone z1 is marked out, in, out and in")
def change_zone_marks(context, count):
    fleet = context.fleet
    fleet.open_flows(count)
    fleet.run(10)
    context.kept = {
        caller.flow: caller.server
        for caller in fleet.callers.values()
        if fleet.members[caller.server].zone != "z1"
    }
    for is_in, seconds in ((False, 10), (True, 0.5), (False, 8), (True, 15)):
        fleet.mark_zone("z1", is_in)
        fleet.open_flows(60)
        for _ in range(int(seconds * 2)):
            fleet.send_data()
            fleet.run(0.5)


@then("its flows were aborted, others kept, and it accepts new flows again")
def check_returned_zone(context):
    fleet = context.fleet
    assert 0 < len(context.kept) < 300
    assert fleet.counts["zone_given_up", "z1"] >= 300 - len(context.kept)
    for flow, server in context.kept.items():
        assert (fleet.callers[flow].state, fleet.callers[flow].server) == (
            "open",
            server,
        )
    fleet.open_flows(100)
    fleet.run(5)
    zone = [s for s, member in fleet.members.items() if member.zone == "z1"]
    assert all(fleet.agents[server].flow_count > 0 for server in zone)


# Single agents.


@when(
    "shares of {total:d} flows are computed for weights {weights} and limits {limits}"
)
def compute_limited_shares(context, total, weights, limits):
    pairs = zip(weights.split(","), limits.split(","), strict=True)
    loads = [
        MemberLoad(str(index), float(weight), 0, int(limit))
        for index, (weight, limit) in enumerate(pairs)
    ]
    context.shares = compute_shares(loads, total)


@then("the shares are {expected}")
def check_limited_shares(context, expected):
    shares = [context.shares[server] for server in sorted(context.shares)]
    expected = [float(share) for share in expected.split(", ")]
    assert all(abs(a - b) < 0.01 for a, b in zip(shares, expected, strict=True))


@when("a flow is placed at an agent with {faults}")
def place_at_refusing_agent(context, faults):
    faults = faults.split(", ")
    cap = 1 if "full" in faults else 20
    members = build_members(4, ("z1",), cap=cap)
    view = build_view(members[1:] if "no row" in faults else members)
    agent = build_agent("b0", view, WARM if "cold" not in faults else COLD)
    send_forward(agent, 0.0, build_flow(1), place=True, sender="b1")
    if "cold" in faults:
        send_forward(agent, 0.0, build_flow(2), place=True, sender="b1")
    if "announced draining" in faults:
        agents = dict(view.agents)
        agents["b0"] = attrs.evolve(agents["b0"], state=AgentState.DRAINING)
        agent.handle(ViewChanged(attrs.evolve(view, agents=agents)), 0.0)
    if "draining" in faults:
        agent.handle(DrainRequested(), 0.0)
    if "zone out" in faults:
        zones = ("z1",)
        table = view.tables["feed"].members
        agent.handle(ViewChanged(build_view(table, zones)), 0.0)
    context.actions = [
        send_forward(agent, now, build_flow(9), place=True, sender="b1")
        for now in (0, 1)
    ]


@then("it is refused with {reason}, counted, and refused again when repeated")
def check_refusal(context, reason):
    assert Count("flow_refused", reason) in context.actions[0]
    for actions in context.actions:
        assert [reply.reason for reply in select(actions, PlaceReply)] == [reason]
        assert not select(actions, Deliver)


def find_flow(home, candidates, protocol=Protocol.TCP):
    for number in range(1000):
        flow = build_flow(number, protocol)
        if find_home(flow, candidates).server == home:
            return flow
    raise AssertionError(home)


@when("a zone with a half-open and an established flow is marked out")
def mark_zone_with_half_open(context):
    agent = build_agent(now=-20.0)
    context.flows = half_open, established = [build_flow(n) for n in (1, 2)]
    send_forward(agent, 0.0, half_open, place=True, sender="b1")
    open_flow(agent, established)
    view = build_view(build_members(4, ("z1",)), zones=("z1",))
    context.actions = agent.handle(ViewChanged(view), 1.0)


@then("both are closed, and only the established one's caller is reset")
def check_closed_with_zone(context):
    actions, (_, established) = context.actions, context.flows
    assert {action.flow for action in select(actions, CloseFlow)} == set(context.flows)
    assert [action.flow for action in select(actions, ResetCaller)] == [established]
    assert len(select(actions, ResetServer)) == 2


def finish_handshake(context, acknowledgement):
    context.agent = agent = build_agent(now=-20.0)
    context.flow = flow = build_flow(1)
    send_forward(agent, 0.0, flow, place=True, sender="b1")
    answer = build_segment(reverse_flow(flow), 700, 101, SYN | ACK)
    agent.handle(OutboundPacketSent(flow, answer), 0.1)
    packet = build_segment(flow, 101, acknowledgement, ACK | PUSH)
    message = attrs.evolve(build_forward(flow), packet=packet)
    context.actions = send_message(agent, "balancer", message, 0.2)


@when("a half-open flow's caller acknowledges a sequence number of another server")
def acknowledge_other_server(context):
    finish_handshake(context, 900_000_301)


@when("a half-open flow's caller acknowledges the sequence number of its server")
def acknowledge_own_server(context):
    finish_handshake(context, 701)


@then("the segment is not delivered, the server is reset and the members are queried")
def check_members_queried(context):
    assert not select(context.actions, Deliver)
    assert [a.flow for a in select(context.actions, ResetServer)] == [context.flow]
    assert not select(context.actions, ResetCaller)
    assert len(select(context.actions, FlowQuery)) == 3
    assert context.agent.list_flows() == ()


@then("the segment is delivered and the flow is kept")
def check_established(context):
    assert len(select(context.actions, Deliver)) == 1
    assert context.agent.list_flows() == (context.flow,)


@when("a home sends its placement request to another member three times")
def repeat_placement(context):
    members = build_members(2, ("z1",))
    view = build_view(members)
    context.agent = build_agent("b1", view, now=-20.0)
    context.flow = build_flow(1, Protocol.UDP)
    context.actions = [
        send_forward(context.agent, now, context.flow, place=True, sender="b0")
        for now in (0.0, 0.3, 0.6)
    ]


@then("that member owns the flow once and sent the same reply each time")
def check_repeated(context):
    assert context.agent.list_flows() == (context.flow,)
    assert [len(select(actions, Deliver)) for actions in context.actions] == [1, 0, 0]
    for actions in context.actions:
        assert [reply.accepted for reply in select(actions, PlaceReply)] == [True]


def send_message(agent, sender, message, now=0.0):
    return agent.handle(MessageArrived(sender, message), now)


def build_home(*down):
    view = build_view(build_members(3, ("z1",)), agents=("b0", "b1", "b2"))
    agent = build_agent("b0", view, now=-20.0)
    flow = find_flow("b0", view.list_candidates(view.tables["feed"].service_id))
    return agent, flow, attrs.evolve(view, down=frozenset((b, 1) for b in down))


def list_forward_peers(actions):
    sends = [send for send in actions if isinstance(send, Send)]
    return [send.peer for send in sends if isinstance(send.message, Forward)]


@when("a placement request is forwarded to an owner that drops it, and then repeated")
def repeat_forwarded_placement(context):
    agent, flow, _ = build_home()
    service_id = build_forward(flow).service_id
    send_message(agent, "b2", RedirectPut(service_id, (flow,), "b2"))
    context.first = send_forward(agent, 0.0, flow, place=True, sender="b1")
    send_message(agent, "b2", RedirectDrop(service_id, (flow,), "b2"))
    context.repeated = send_forward(agent, 0.3, flow, place=True, sender="b1")


@then("the repetition gets the same reply and nothing is delivered")
def check_forwarded_placement(context):
    assert list_forward_peers(context.first) == ["b2"]
    assert select(context.first, PlaceReply) == select(context.repeated, PlaceReply)
    assert not select(context.first + context.repeated, Deliver)


@when("the owner of a redirect is reported down and a segment arrives")
def report_owner_down(context):
    agent, flow, view = build_home("b2")
    service_id = build_forward(flow).service_id
    send_message(agent, "b2", RedirectPut(service_id, (flow,), "b2"))
    agent.handle(ViewChanged(view), 0.0)
    context.first = send_forward(agent, 20.0, flow, ACK)
    send_message(agent, "b1", FlowQueryReply(service_id, flow), 20.0)
    context.before = run_ticks(agent, 20.0, 22.5)
    reply = FlowQueryReply(service_id, flow, "b2", True)
    context.after = send_message(agent, "b2", reply, 22.5)


@then("the owner is queried, and the segment is forwarded after its reply")
def check_reported_owner(context):
    queried = {send.peer for send in select(context.first, Send)}
    assert queried == {"b1", "b2"}
    assert not select(context.before, ResetCaller)
    assert list_forward_peers(context.after) == ["b2"]


@when("a member names an owner that is reported down and silent")
def name_silent_owner(context):
    agent, flow, view = build_home("b2")
    service_id = build_forward(flow).service_id
    agent.handle(ViewChanged(view), 0.0)
    send_forward(agent, 20.0, flow, ACK)
    send_message(agent, "b1", FlowQueryReply(service_id, flow, "b2"), 20.0)
    context.before = run_ticks(agent, 20.0, 22.5)
    reply = FlowQueryReply(service_id, flow, "b2", True)
    context.after = send_message(agent, "b2", reply, 22.5)


@then("the caller is not reset for {seconds:g} s, and its late reply gets the segment")
def check_silent_owner(context, seconds):
    assert not select(context.before, ResetCaller)
    assert list_forward_peers(context.after) == ["b2"]


def build_home_with_zone(is_out):
    """Return an agent, a flow of which it is the home, and the view with zone z2 out.

    Of the other members, b1 is in the agent's zone and b2 in z2.
    """
    members = build_members(3, ("z1", "z1", "z2"))
    names = ("b0", "b1", "b2")
    out = build_view(members, zones=("z2",), agents=names)
    agents = out.agents | {"b2": attrs.evolve(out.agents["b2"], zone="z2")}
    out = attrs.evolve(out, agents=agents)
    back = attrs.evolve(build_view(members, agents=names), agents=agents)
    agent = build_agent("b0", out if is_out else back, now=-20.0)
    flow = find_flow("b0", out.list_candidates(out.tables["feed"].service_id))
    return agent, flow, out, back


@when("members that are reported down reply that they do not own a flow")
def reply_from_down_members(context):
    agent, flow, out, back = build_home_with_zone(is_out=True)
    service_id = build_forward(flow).service_id
    down = attrs.evolve(out, down=frozenset({("b1", 1)}))
    agent.handle(ViewChanged(down), 0.0)
    send_forward(agent, 20.0, flow, ACK)
    context.before = send_message(agent, "b1", FlowQueryReply(service_id, flow), 20.0)
    context.before += run_ticks(agent, 20.0, 22.0)
    context.changed = agent.handle(ViewChanged(back), 22.0)
    reply = FlowQueryReply(service_id, flow, "b2", True)
    context.after = send_message(agent, "b2", reply, 22.1)


@then("the caller is not reset before the view changes, and new members are queried")
def check_reply_from_down(context):
    assert not select(context.before, ResetCaller)
    queried = [s.peer for s in context.changed if isinstance(s, Send)]
    assert "b2" in queried, context.changed
    assert list_forward_peers(context.after) == ["b2"]


@when(
    "a member reports a half-open flow and its zone is marked out before other replies"
)
def report_half_open_before_mark(context):
    agent, flow, out, _ = build_home_with_zone(is_out=False)
    service_id = build_forward(flow).service_id
    send_forward(agent, 20.0, flow, ACK)
    send_message(agent, "b2", FlowQueryReply(service_id, flow, "b2"), 20.0)
    agent.handle(ViewChanged(out), 20.1)
    context.actions = send_message(agent, "b1", FlowQueryReply(service_id, flow), 20.1)
    context.actions += run_ticks(agent, 20.1, 24.0)


@then("the segment is not forwarded and the caller is reset")
def check_reset_without_forward(context):
    assert not list_forward_peers(context.actions)
    assert len(select(context.actions, ResetCaller)) == 1


@when("an owner in a zone that is out registers a flow and a segment arrives")
def register_out_owner(context):
    agent, flow, _, _ = build_home_with_zone(is_out=True)
    service_id = build_forward(flow).service_id
    send_message(agent, "b2", RedirectPut(service_id, (flow,), "b2"), 20.0)
    context.actions = send_forward(agent, 20.0, flow, ACK)


@then("the segment is not forwarded and the other members are queried")
def check_queried_without_forward(context):
    assert not list_forward_peers(context.actions)
    assert [s.peer for s in context.actions if isinstance(s, Send)] == ["b1"]


@when("the target of a placement is reported down before its reply")
def report_target_down(context):
    agent, flow, _ = build_home()
    agent.handle(DrainRequested(), 0.0)
    context.target, *_ = list_forward_peers(send_forward(agent, 0.0, flow))
    agent.handle(ViewChanged(build_home(context.target)[2]), 0.1)
    context.actions = run_ticks(agent, 0.1, 0.9)
    reply = PlaceReply(build_forward(flow).service_id, flow, True)
    context.actions += send_message(agent, context.target, reply, 0.9)
    context.actions += send_forward(agent, 1.0, flow, ACK)


@then("the flow is placed at that target only")
def check_single_target(context):
    assert set(list_forward_peers(context.actions)) <= {context.target}
    assert not select(context.actions, RedirectDrop)


@when("an agent handles a first segment after {seconds:g} s without any event")
def handle_after_pause(context, seconds):
    context.agent, context.flow, _ = build_home()
    context.actions = send_forward(context.agent, seconds, context.flow)


@then("it queries the other members before it places the flow")
def check_queried_first(context):
    assert len(select(context.actions, FlowQuery)) == 2
    assert not select(context.actions, Deliver)
    assert not list_forward_peers(context.actions)


@then("it places the flow at once")
def check_placed_at_once(context):
    assert not select(context.actions, FlowQuery)
    assert select(context.actions, Deliver) or list_forward_peers(context.actions)


@when("a member first replies that it has no flow and then names itself")
def reply_negative_first(context):
    agent, flow, _ = build_home()
    service_id = build_forward(flow).service_id
    send_forward(agent, 0.0, flow, ACK)
    send_message(agent, "b1", FlowQueryReply(service_id, flow))
    context.actions = send_message(
        agent, "b1", FlowQueryReply(service_id, flow, "b1", True)
    )


@then("the packet is forwarded to that member")
def check_forwarded_to_member(context):
    assert list_forward_peers(context.actions) == ["b1"]


@when("two agents with different views receive the first packet at the same time")
def look_up_at_two_members(context):
    members = build_members(2, ("z1",))
    agents = {
        server: build_agent(server, build_view(members, version=1 + number))
        for number, server in enumerate(("b0", "b1"))
    }
    flow, queue = build_flow(1), []
    for server, agent in agents.items():
        actions = send_forward(agent, 1.0, flow, version=9)
        queue += [(server, send) for send in select(actions, Send)]
    context.delivered = []
    while queue:
        sender, send = queue.pop(0)
        event = MessageArrived(sender, send.message)
        actions = agents[send.peer].handle(event, 1.1)
        context.delivered += [send.peer] * len(select(actions, Deliver))
        queue += [(send.peer, answer) for answer in select(actions, Send)]
    context.agents = agents


@then("exactly one of them places the flow")
def check_one_owner(context):
    assert sorted(a.flow_count for a in context.agents.values()) == [0, 1]
    assert len(set(context.delivered)) == 1 and len(context.delivered) == 2


@when("{count:d} segments of an unknown flow arrive while members do not reply")
def fill_queue(context, count):
    context.agent = build_agent(now=-20.0)
    flow = build_flow(1)
    context.early = [
        action
        for _ in range(count)
        for action in send_forward(context.agent, 0.0, flow, ACK | PUSH)
    ]
    context.early += run_ticks(context.agent, 0.0, 2.8)
    context.late = run_ticks(context.agent, 2.8, 10.0)


@then(
    "{queued:d} are queued, {dropped:d} counted as dropped, and after 3 s the caller"
    " is reset once"
)
def check_queue(context, queued, dropped):
    assert context.early.count(Count("packet_dropped", "queue_packets")) == dropped
    assert len(select(context.early, FlowQuery)) > 3
    assert not select(context.early, ResetCaller)
    assert len(select(context.late, ResetCaller)) == 1
    assert context.late.count(Count("flow_broken", "unknown")) == 1


def open_flow(agent, flow, now=0.0):
    send_forward(agent, now, flow, place=True, sender="b1")
    send_from_server(agent, flow, now, SYN | ACK, 200)
    send_acknowledgement(agent, flow, now, 201)


def send_acknowledgement(agent, flow, now, number):
    message = build_forward(flow, ACK)
    if flow[0] == Protocol.TCP:
        packet = build_segment(flow, 101, number, ACK)
        message = attrs.evolve(message, packet=packet)
    return agent.handle(MessageArrived("b1", message), now)


def send_from_server(agent, flow, now, flags=ACK | PUSH, sequence=201, payload=b"data"):
    if flow[0] == Protocol.UDP:
        packet = build_udp(reverse_flow(flow))
    else:
        packet = build_segment(reverse_flow(flow), sequence, 101, flags)
        if not flags & SYN:
            size = (len(packet) + len(payload)).to_bytes(2, "big")
            packet = packet[:2] + size + packet[4:] + payload
    return agent.handle(OutboundPacketSent(flow, packet), now)


@when("a backend server sends {count:d} unanswered segments on a flow of each protocol")
def send_unanswered_segments(context, count):
    agent = build_agent(now=-20.0)
    view = build_view(build_members(4, ("z1",)))
    candidates = view.list_candidates(view.tables["feed"].service_id)
    context.flows = [find_flow("b2", candidates, protocol) for protocol in Protocol]
    for flow in context.flows:
        open_flow(agent, flow)
    run_ticks(agent, 0.0, 5.0)
    for number in range(count):
        for flow in context.flows:
            send_from_server(agent, flow, 5.0 + number, sequence=201 + 4 * number)
    context.before = run_ticks(agent, 8.0, 24.0)
    context.repair = run_ticks(agent, 24.0, 28.0)
    context.idle = run_ticks(agent, 28.0, 60.0)
    for flow in context.flows:
        send_from_server(agent, flow, 60.0)
    context.waiting = run_ticks(agent, 60.0, 79.0)
    context.after = run_ticks(agent, 79.0, 83.0)


@then("both are registered again after 20 s")
def check_registered_again(context):
    def list_registered(actions):
        return {flow for put in select(actions, RedirectPut) for flow in put.flows}

    assert Count("flow_repaired", "silent") not in context.before
    assert context.repair.count(Count("flow_repaired", "silent")) == 2
    assert list_registered(context.repair) == set(context.flows)


@then("only the TCP flow is reset, after 20 s more with an unanswered segment")
def check_silent_reset(context):
    quiet = context.before + context.repair + context.idle + context.waiting
    assert not select(quiet, ResetCaller)
    resets = select(context.after, ResetCaller)
    assert [reset.flow for reset in resets] == [context.flows[0]]
    # The caller expects the sequence number that follows the last segment sent to it.
    assert read_headers(resets[0].packet).unwrap().acknowledgement == 201 + 4 * 4
    assert context.after.count(Count("flow_reset", "silent")) == 1


@when("feeds with an update every 1, 15 and 300 minutes run for {hours:d} h")
def run_rare_updates(context, hours):
    agent, context.actions = build_agent(now=-20.0), []
    feeds = {build_flow(number): 60 * m for number, m in enumerate((1, 15, 300))}
    datagrams = {build_flow(9, Protocol.UDP): 600}
    for flow in feeds | datagrams:
        open_flow(agent, flow)
    numbers = dict.fromkeys(feeds, 201)
    for second in range(1, hours * 3600):
        for flow, period_s in (feeds | datagrams).items():
            if second % period_s:
                continue
            for _ in range(4):
                context.actions += send_from_server(
                    agent, flow, second, sequence=numbers.get(flow, 0)
                )
                if flow in feeds:
                    numbers[flow] += 4
            if flow in feeds:
                context.actions += send_acknowledgement(
                    agent, flow, second, numbers[flow]
                )
        if second % 2 == 0:
            context.actions += agent.handle(Tick(), second)
    context.agent = agent


@then("no flow was reset, removed or broken")
def check_feeds_open(context):
    assert context.agent.flow_count == 4
    assert not select(context.actions, ResetCaller)
    assert not select(context.actions, CloseFlow)


@when("flows end by reset, by FIN, by a refused delivery and half-open")
def end_flows(context):
    agent = context.agent = build_agent(now=-20.0)
    context.flows = [build_flow(number) for number in range(4)]
    reset, closed, refused, half_open = context.flows
    for flow in (reset, closed, refused):
        open_flow(agent, flow)
    send_forward(agent, 0.0, half_open, place=True, sender="b1")
    actions = run_ticks(agent, 0.0, 3.0)
    actions += send_forward(agent, 3.0, reset, RST)
    actions += send_forward(agent, 3.0, closed, FIN | ACK)
    actions += send_from_server(agent, closed, 3.0, FIN | ACK)
    actions += agent.handle(DeliveryFailed(refused), 3.0)
    context.open_count = agent.flow_count
    context.late = send_forward(agent, 4.0, closed, ACK)
    actions += run_ticks(agent, 4.0, 70.0)
    context.actions = actions


@then(
    "their entries are removed, their homes are notified and their ports are reusable"
)
def check_entries_removed(context):
    agent, (_, closed, refused, _) = context.agent, context.flows
    assert context.open_count == 1
    assert len(select(context.late, Deliver)) == 1
    assert agent.flow_count == 0
    closed_flows = {action.flow for action in select(context.actions, CloseFlow)}
    assert closed_flows == set(context.flows)
    resets = select(context.actions, ResetCaller)
    assert [action.flow for action in resets] == [refused]
    assert Count("flow_expired", "half_open") in context.actions
    notified = {f for drop in select(context.actions, RedirectDrop) for f in drop.flows}
    assert notified and notified <= set(context.flows)
    actions = send_forward(agent, 80.0, closed, place=True, sender="b1")
    assert len(select(actions, Deliver)) == 1 and agent.list_flows() == (closed,)


@when("a warm backend server answers in 10 ms and then {change}")
def report_outcomes(context, change):
    agent = build_agent(flow_settings=FlowSettings(warm_up_s=60.0))
    for number in range(100):
        agent.handle(OutcomeObserved(0.010, False), 100 + number * 0.1)
    words = change.split()
    for number in range(200):
        is_shed = words[0] == "sheds" and number % 4 == 0
        latency_s = float(words[2]) / 1000 if words[0] == "answers" else 0.010
        agent.handle(OutcomeObserved(latency_s, is_shed), 120.0)
    if "advised" in words:
        agent.handle(LimitAdvised(float(words[-1])), 120.0)
    context.limit = agent.list_loads()[0].flow_limit


@then("its limit is {percent:d} % of the cap")
def check_limit(context, percent):
    assert context.limit == 2000 * percent // 100, context.limit


@when("exported state is truncated and altered at every byte")
def import_damaged_state(context):
    agent = build_agent()
    for number in range(3):
        open_flow(agent, build_flow(number))
    state = agent.export_state()
    assert build_agent().import_state(state).unwrap() == 3
    damaged = [state[:length] for length in range(len(state))]
    for index in range(len(state)):
        changed = bytes((state[index] ^ 1,))
        damaged.append(state[:index] + changed + state[index + 1 :])
    context.results = [build_agent().import_state(data) for data in damaged]


@then('every import is refused with step "{step}"')
def check_import_refused(context, step):
    assert context.results
    assert all(result.unwrap_err().step == step for result in context.results)


@when("an agent that owns a flow receives {packet}")
def receive_wrong_packet(context, packet):
    agent, flow = build_agent(now=-20.0), build_flow(1)
    open_flow(agent, flow)
    message = build_forward(flow, ACK)
    if packet.startswith("a flow to"):
        message = build_forward(build_flow(2, service="sheet"))
    elif packet.startswith("its flow"):
        other = build_view(()).tables["datagrams"].service_id
        message = attrs.evolve(message, service_id=other)
    else:
        message = attrs.evolve(message, packet=build_segment(build_flow(2), 1, 1, ACK))
    context.actions = agent.handle(MessageArrived("balancer", message), 1.0)


@then("nothing is delivered and {counter} is counted with {reason}")
def check_packet_dropped(context, counter, reason):
    assert context.actions == [Count(counter, reason)]
