import random
from unittest import mock

from behave import then, when
from flows_fleet import build_flow, build_members, build_segment, build_udp

from bramleystair.routing import Route, Router, find_home, rank_candidates
from bramleystair.tables import AgentAnnouncement, Protocol, Table, ZoneMark
from bramleystair.views import Candidate, View


def build_view(members, version=1, zones=None, down=()):
    table = Table("feed", "10.9.0.1", 80, Protocol.TCP, tuple(members), version)
    empty = Table("sheet", "10.9.0.2", 81, Protocol.TCP, (), version)
    agents = {
        member.server: AgentAnnouncement(
            member.server, member.zone, "127.0.0.1", 9000, 1
        )
        for member in members
    }
    tables = {"feed": table, "sheet": empty}
    return View(tables, zones or {}, agents, {}, frozenset(down), version)


@when("{flows:d} flows are routed twice under each of {views:d} generated views")
def route_flows(context, flows, views):
    generator, router = random.Random(3), Router()
    context.routes = []
    for version in range(1, views + 1):
        members = generator.sample(build_members(9, weights=(1.0, 4.0)), 6)
        zones = {"z1": ZoneMark("z1", generator.random() < 0.5)}
        view = build_view(members, version, zones, {(members[0].server, 1)})
        router.set_view(view)
        for number in [*range(flows), *range(flows)]:
            flow = build_flow(number)
            packet = build_segment(flow, 1, 1, 16)
            context.routes.append((view, flow, router.route(packet)))


@then("each route is the first candidate in rendezvous order, with the view's version")
def check_routes(context):
    assert len({route.server for _, _, route in context.routes}) > 5
    for view, flow, route in context.routes:
        table = view.tables["feed"]
        ranked = rank_candidates(flow, view.list_candidates(table.service_id))
        assert route.server == ranked[0].server
        assert view.is_live(route.server)
        assert view.is_in_service(view.agents[route.server].zone)
        assert (route.flow, route.table_version) == (flow, table.version)
        assert route.service_id == table.service_id


@when("packets of {flows:d} flows are routed with a cache of {limit:d} routes")
def fill_route_cache(context, flows, limit):
    context.router = Router(limit)
    context.router.set_view(build_view(build_members(4)))
    context.max_cached = 0
    for number in range(flows):
        context.router.route(build_segment(build_flow(number), 1, 1, 16))
        context.max_cached = max(context.max_cached, context.router.cached_count)


@then("the cache holds at most {limit:d} routes and the last {flows:d} flows")
def check_cache_limit(context, limit, flows):
    assert flows <= context.max_cached <= limit
    with mock.patch("bramleystair.routing._router.find_home") as find_mock:
        for number in range(5000 - flows, 5000):
            context.router.route(build_segment(build_flow(number), 1, 1, 16))
    assert not find_mock.called


@when("a fragment of a cached flow and packets without service or member are routed")
def route_refused(context):
    context.router = Router()
    context.router.set_view(build_view(build_members(4)))
    packet = bytearray(build_segment(build_flow(1), 1, 1, 16))
    assert isinstance(context.router.route(bytes(packet)), Route)
    packet[6] = 0x20
    packets = [
        bytes(packet),
        build_udp(build_flow(1, Protocol.UDP)),
        build_segment(build_flow(1, service="sheet"), 1, 1, 16),
    ]
    context.reasons = [context.router.route(packet).reason for packet in packets]


@then("the reasons are {reasons}")
def check_reasons(context, reasons):
    assert context.reasons == reasons.split(", ")


@then("{count:d} random packets are refused without an exception")
def route_random(context, count):
    generator = random.Random(1)
    for _ in range(count):
        packet = b"\x45" + generator.randbytes(generator.randrange(60))
        assert not isinstance(context.router.route(packet), Route)


@when("the homes of {count:d} flows are compared before and after a weight change")
def compare_homes(context, count):
    flows = [build_flow(number) for number in range(count)]
    before = [Candidate(f"b{n}", 1.0 + 3 * (n % 2), "z1", 1) for n in range(6)]
    after = [*before[:5], Candidate("b5", 1.0, "z1", 1)]
    context.homes = [
        (find_home(flow, before).server, find_home(flow, after).server)
        for flow in flows
    ]


@then("only flows of the changed member move, and shares follow the weights")
def check_homes(context):
    moved = [pair for pair in context.homes if pair[0] != pair[1]]
    assert moved and all(old == "b5" for old, _ in moved)
    for number, weight in enumerate((1, 4, 1, 4, 1, 1)):
        share = sum(new == f"b{number}" for _, new in context.homes) / 20000
        assert abs(share / (weight / 12) - 1) < 0.1, (number, share)
