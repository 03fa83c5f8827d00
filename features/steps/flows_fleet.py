"""Simulation of agents, balancers, callers and backend servers on a lossy network."""

import heapq
import itertools
import random
import struct

import attrs

from bramleystair.actions import Count, Send
from bramleystair.flows import (
    CloseFlow,
    Deliver,
    FlowController,
    FlowSettings,
    MessageArrived,
    OutboundPacketSent,
    ResetCaller,
    ResetServer,
    Tick,
    ViewChanged,
)
from bramleystair.packets import build_segment, reverse_flow
from bramleystair.routing import Route, Router
from bramleystair.tables import (
    AgentAnnouncement,
    AgentState,
    Member,
    Protocol,
    Table,
    ZoneMark,
    compute_service_id,
)
from bramleystair.views import View
from bramleystair.wire import Forward, LoadReport

SYN, ACK, FIN, RST, PUSH = 2, 16, 1, 4, 8
WARM = FlowSettings(initial_fraction=1.0)
ENDPOINTS = {"feed": ("10.9.0.1", 80), "sheet": ("10.9.0.2", 81)}


def build_udp(flow, payload=b"data"):
    size = 28 + len(payload)
    head = struct.pack("!BBHHHBBH", 0x45, 0, size, 0, 0, 64, 17, 0)
    return head + flow[1:] + struct.pack("!HH", 8 + len(payload), 0) + payload


def build_flow(number, protocol=Protocol.TCP, service="feed"):
    address, port = ENDPOINTS[service]
    destination = bytes(int(part) for part in address.split("."))
    source = struct.pack("!I", 0x0A000000 + number)
    ports = struct.pack("!HH", 1024 + number % 60000, port)
    return bytes((protocol,)) + source + destination + ports


@attrs.define(eq=False)
class Caller:
    flow: bytes
    service: str
    server: str = ""
    state: str = "opening"
    sent_s: float = 0.0
    is_awaiting_reply: bool = False


class Fleet:
    """Simulated fleet on a manual clock; `violations` lists broken invariants."""

    def __init__(
        self, seed, members, loss=0.0, duplication=0.0, max_view_delay_s=2.0, **options
    ):
        self.random = random.Random(seed)
        self.loss, self.duplication = loss, duplication
        self.max_view_delay_s = max_view_delay_s
        self.settings = options.get("settings", WARM)
        self.protocol = options.get("protocol", Protocol.TCP)
        self.now = 0.0
        self.events, self.sequence = [], itertools.count()
        self.members = {member.server: member for member in members}
        self.zone_marks, self.zone_marked_s = {}, {}
        self.announcements, self.agents, self.down_reports = {}, {}, set()
        self.routers = [Router() for _ in range(options.get("routers", 3))]
        self.view_generations, self.version, self.generation = {}, 1, 0
        self.incarnations = itertools.count(1)
        self.callers, self.connections, self.removed_members = {}, {}, {}
        self.cold_started_s, self.zone_out_servers, self.zone_out_s = {}, set(), {}
        self.state_announced_s = {}
        self.violations, self.counts, self.sent_counts = [], {}, {}
        for member in members:
            self.start(member.server)
        self.publish_view(max_view_delay_s=0.0)
        self.run(20.0)

    # Changes.

    def start(self, server):
        member = self.members[server]
        number = next(self.incarnations)
        self.announcements[server] = AgentAnnouncement(
            server, member.zone, "127.0.0.1", 9000, number, services=("feed",)
        )
        self.agents[server] = FlowController(
            server, member.zone, self.settings, random.Random(number)
        )
        self.view_generations.pop(server, None)

    def fail_server(self, server):
        self.agents.pop(server)
        self.drop_connections(server)
        self.down_reports.add((server, self.announcements[server].incarnation))
        self.publish_view(delay_s=3.0)

    def crash_server(self, server):
        self.drop_connections(server)
        self.start(server)
        self.publish_view()

    def drop_connections(self, server):
        self.connections = {
            key: value for key, value in self.connections.items() if key[0] != server
        }
        for caller in self.callers.values():
            if caller.server == server:
                caller.state = "lost"

    def report_down(self, server):
        self.down_reports.add((server, self.announcements[server].incarnation))
        self.publish_view()

    def refute_down_reports(self):
        self.down_reports -= {
            (server, self.announcements[server].incarnation) for server in self.agents
        }
        self.publish_view()

    def close_flows(self, count):
        opened = [c for c in self.callers.values() if c.state == "open"]
        for caller in self.random.sample(opened, min(count, len(opened))):
            self.send_packet(caller, RST)
            caller.state, caller.server = "closed", ""

    def reopen_flows(self):
        for caller in self.callers.values():
            # By then no packet of the earlier flow can still arrive.
            if caller.state == "closed" and self.now - caller.sent_s > 5.0:
                caller.state = "opening"
                self.send_packet(caller)

    def upgrade_agent(self, server):
        state = self.agents[server].export_state()
        cold_s = self.cold_started_s.get(server, self.now)
        self.start(server)
        self.view_generations[server] = 0
        self.cold_started_s[server] = cold_s
        self.agents[server].import_state(state).unwrap()
        self.publish_view()

    def announce_state(self, server, state):
        known = self.announcements[server]
        self.announcements[server] = attrs.evolve(known, state=state)
        if state is not known.state:
            self.state_announced_s[server] = self.now
        self.publish_view()

    def change_row(self, server, **values):
        self.members[server] = attrs.evolve(self.members[server], **values)
        self.publish_view(new_table=True)

    def mark_zone(self, zone, is_in):
        self.zone_marks[zone] = ZoneMark(zone, is_in)
        self.zone_marked_s[zone] = self.now
        if not is_in:
            self.zone_out_s[zone] = self.now
        for caller in self.callers.values():
            if self.is_aborted_by_zone(caller):
                caller.state = "lost"
        # Zone marks take effect within 3 s, even where other changes take longer.
        self.publish_view(max_view_delay_s=min(2.0, self.max_view_delay_s))

    def add_member(self, server, **values):
        self.members[server] = Member(server, "z1", 1.0, 2000, 9)
        if server not in self.agents:
            self.start(server)
        self.change_row(server, **values)

    def remove_member(self, server):
        self.removed_members[server] = self.members.pop(server)
        self.publish_view(new_table=True)

    def apply_planned_change(self):
        server = self.random.choice(sorted(self.members))
        match self.random.randrange(6):
            case 0:
                self.announce_state(server, AgentState.DRAINING)
            case 1:
                self.announce_state(server, AgentState.READY)
            case 2:
                self.change_row(server, weight=self.random.choice((0, 1.0, 2.0, 4.0)))
            case 3 if len(self.members) > 3:
                self.remove_member(server)
            case 4 if self.removed_members:
                server, member = self.removed_members.popitem()
                self.members[server] = member
                self.publish_view(new_table=True)
            case 4:
                self.add_member(f"n{next(self.sequence)}")
            case 5 if server in self.agents:
                self.upgrade_agent(server)

    def is_aborted_by_zone(self, caller):
        owner = self.announcements.get(caller.server)
        if owner is None or owner.zone not in self.zone_out_s:
            return False
        mark = self.zone_marks[owner.zone]
        # Flows placed before an agent received the mark are aborted when it does.
        is_recent = self.now - self.zone_out_s[owner.zone] <= 2 * self.max_view_delay_s
        return not mark.is_in_service or is_recent

    def publish_view(self, new_table=False, max_view_delay_s=None, delay_s=0.0):
        self.version += new_table
        self.generation += 1
        tables = {}
        for service in ENDPOINTS:
            members = tuple(self.members.values()) if service == "feed" else ()
            tables[service] = Table(
                service, *ENDPOINTS[service], self.protocol, members, self.version
            )
        view = View(
            tables,
            dict(self.zone_marks),
            dict(self.announcements),
            {},
            frozenset(self.down_reports),
            self.generation,
        )
        for node in [*self.agents, *range(len(self.routers))]:
            limit = (
                self.max_view_delay_s if max_view_delay_s is None else max_view_delay_s
            )
            due = delay_s + self.random.uniform(0, limit)
            self.schedule(due, lambda node=node: self.deliver_view(node, view))

    def deliver_view(self, node, view):
        if view.generation <= self.view_generations.get(node, 0):
            return
        if isinstance(node, int):
            self.view_generations[node] = view.generation
            self.routers[node].set_view(view)
        elif node in self.agents:
            self.record_cold_start(node, view)
            self.view_generations[node] = view.generation
            self.handle(node, ViewChanged(view))

    def record_cold_start(self, server, view):
        is_out = not view.is_in_service(self.announcements[server].zone)
        if server not in self.view_generations or (
            server in self.zone_out_servers and not is_out
        ):
            self.cold_started_s[server] = self.now
        (self.zone_out_servers.add if is_out else self.zone_out_servers.discard)(server)

    # Callers.

    def open_flows(self, count, start=None):
        first = len(self.callers) if start is None else start
        for number in range(first, first + count):
            flow = build_flow(number, self.protocol)
            caller = self.callers[flow] = Caller(flow, "feed")
            self.send_packet(caller)

    def send_packet(self, caller, flags=None):
        caller.sent_s, caller.is_awaiting_reply = self.now, True
        if self.protocol is Protocol.UDP:
            packet = build_udp(caller.flow)
        elif caller.state == "opening":
            packet = build_segment(caller.flow, 100, 0, SYN)
        else:
            packet = build_segment(caller.flow, 101, 201, flags or ACK | PUSH)
        self.route_packet(packet)

    def route_packet(self, packet, router=None):
        router = router or self.random.choice(self.routers)
        route = router.route(packet)
        if not isinstance(route, Route):
            return
        forward = Forward(
            route.service_id, route.table_version, route.flow, 0, False, packet
        )
        self.transmit("balancer", route.server, forward)

    def send_data(self, fraction=0.3):
        for caller in self.callers.values():
            if caller.state == "open" and self.random.random() < fraction:
                self.send_packet(caller)

    # Network.

    def schedule(self, delay_s, call):
        heapq.heappush(self.events, (self.now + delay_s, next(self.sequence), call))

    def transmit(self, sender, peer, message):
        if isinstance(message, Forward):
            self.check_zone_in_service(peer)
        event = MessageArrived(sender, message)
        copies = 1 + (self.random.random() < self.duplication)
        for _ in range(copies):
            if self.random.random() < self.loss:
                continue
            delay_s = self.random.choice((0.001, 0.001, 0.001, 0.05, 0.3))
            self.schedule(delay_s, lambda: self.handle(peer, event))

    def check_zone_in_service(self, peer):
        zone = self.announcements[peer].zone
        mark = self.zone_marks.get(zone)
        if mark and not mark.is_in_service and self.now > self.zone_marked_s[zone] + 3:
            self.violations.append(("packet to a zone out of service", peer, self.now))

    def handle(self, server, event):
        agent = self.agents.get(server)
        if agent is None:
            return
        for action in agent.handle(event, self.now):
            match action:
                case Send(peer, message):
                    kind = type(message).__name__
                    self.sent_counts[kind] = self.sent_counts.get(kind, 0) + 1
                    self.transmit(server, peer, message)
                case Count(name, reason, amount):
                    key = (name, reason)
                    self.counts[key] = self.counts.get(key, 0) + amount
                case Deliver(service_id, flow, packet):
                    self.receive(server, service_id, flow, packet)
                case ResetCaller(flow):
                    self.reset_caller(server, flow)
                case CloseFlow(flow) | ResetServer(flow):
                    self.connections.pop((server, flow), None)

    def run(self, seconds, period_s=0.5):
        end = self.now + seconds
        while self.now < end:
            until = min(end, self.now + period_s)
            while self.events and self.events[0][0] <= until:
                due, _, call = heapq.heappop(self.events)
                self.now = max(self.now, due)
                call()
            self.now = until
            self.run_timers()
            assert not self.violations, self.violations

    def run_timers(self):
        is_second = int(self.now) != int(self.now - 0.5)
        for server in sorted(self.agents):
            self.handle(server, Tick())
            if is_second and server in self.agents:
                report = LoadReport(self.agents[server].list_loads())
                for peer in self.agents:
                    if peer != server:
                        self.transmit(server, peer, report)
        for caller in list(self.callers.values()):
            is_due = caller.is_awaiting_reply and self.now - caller.sent_s >= 1.0
            if is_due and caller.state in ("opening", "open"):
                self.send_packet(caller)

    # Backend servers.

    def receive(self, server, service_id, flow, packet):
        caller = self.callers.get(flow)
        if service_id != compute_service_id("feed"):
            self.violations.append(("wrong service", flow, server))
        if caller is None:
            return
        key = (server, flow)
        is_syn = self.protocol is Protocol.TCP and packet[33] & (SYN | ACK) == SYN
        if is_syn or (self.protocol is Protocol.UDP and not caller.server):
            if key not in self.connections:
                self.check_drain(server)
            self.connections[key] = True
            self.check_limit(server)
        elif caller.state == "open" and caller.server != server:
            if self.is_aborted_by_zone(caller):
                caller.state = "lost"
                return
            self.violations.append(
                ("packet at another server than the owner", server, caller, self.now)
            )
            return
        if caller.state == "opening":
            caller.state, caller.server = "open", server
            if is_syn:
                self.schedule(0.002, lambda: self.send_packet(caller, ACK))
        caller.is_awaiting_reply = False
        if self.protocol is Protocol.UDP:
            answer = build_udp(reverse_flow(flow))
        else:
            flags = SYN | ACK if is_syn else ACK
            answer = build_segment(reverse_flow(flow), 200, 101, flags)
        self.schedule(0, lambda: self.handle(server, OutboundPacketSent(flow, answer)))

    def check_drain(self, server):
        is_draining = self.announcements[server].state is AgentState.DRAINING
        drained_s = self.now - self.state_announced_s.get(server, self.now)
        # An agent that has not received the view yet is not at fault.
        if is_draining and drained_s > max(3.0, self.max_view_delay_s):
            self.violations.append(("new work while draining", server, self.now))

    def check_limit(self, server):
        agent, row = self.agents[server], self.members.get(server)
        if row is None:
            return
        initial, warm_up_s = self.settings.initial_fraction, self.settings.warm_up_s
        age_s = self.now - self.cold_started_s.get(server, 0.0)
        fraction = min(1.0, initial + (1 - initial) * age_s / warm_up_s)
        if agent.flow_count > max(1, int(row.max_flows * fraction)):
            self.violations.append(("flow limit exceeded", server, agent.flow_count))

    def reset_caller(self, server, flow):
        caller = self.callers.get(flow)
        if caller is None or caller.state == "lost":
            return
        if self.is_aborted_by_zone(caller):
            caller.state = "lost"
            return
        if caller.state == "open":
            self.violations.append(("reset of an open flow", server, caller, self.now))
        caller.state = "refused"


def build_members(count, zones=("z1", "z2", "z3"), weights=(1.0,), cap=2000):
    return [
        Member(f"b{n}", zones[n % len(zones)], weights[n % len(weights)], cap, 9)
        for n in range(count)
    ]


DRAINING, READY = AgentState.DRAINING, AgentState.READY
