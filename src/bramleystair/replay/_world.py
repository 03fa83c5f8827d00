"""Balancers, agents, callers, backend servers and the platform on a manual clock."""

import random

import attrs

from bramleystair.actions import Count
from bramleystair.flows import FlowSettings
from bramleystair.replay._backends import Backend
from bramleystair.replay._carrier import Carrier
from bramleystair.replay._deployments import Deployment, build_deployment
from bramleystair.replay._flow_callers import FlowCallers, build_forward
from bramleystair.replay._measures import Measures
from bramleystair.replay._nodes import (
    AgentNode,
    BalancerNode,
    Node,
    NodeFactories,
    create_source,
)
from bramleystair.replay._platform import PlatformModel
from bramleystair.replay._request_callers import RequestCallers
from bramleystair.replay._trace import Event
from bramleystair.replicas import Peer, ReplicaSettings
from bramleystair.requests import DispatcherSettings, LedgerSettings, PeerDisconnected
from bramleystair.routing import Route
from bramleystair.tables import (
    AgentState,
    Member,
    Table,
    ZoneMark,
    build_key,
    encode_object,
)
from bramleystair.views import View
from bramleystair.wire import Forward, Message, Objects, StoredObject

DEFAULT_FACTORIES = NodeFactories()
WARM_UP_S = 75.0
TICK_S = 0.25
ZONE_OUT_S = 3.0
IN_FORCE_S = 5.0
# What a node needs after a start, a pause or a cut before it holds what others hold.
SETTLE_S = 10.0
DOWN_AFTER_S = 2.5
FABRIC_NOTICES_S = 1.0
PEER_LOST_S = 0.5
PUSHED_TO = 2
FIRST_PORT = 20_000


class World:
    """The system under replay.

    Parameters
    ----------
    setup : dict
        Fields of the trace's setup line.
    seed : int
        Seed of every random choice.
    factories : NodeFactories
        Decision modules of the nodes.

    Attributes
    ----------
    carrier : Carrier
        Time and messages.
    measures : Measures
        Counters and violations.
    balancers, agents : dict
        Running processes by name.
    """

    def __init__(
        self,
        setup: dict[str, object],
        seed: int,
        factories: NodeFactories = DEFAULT_FACTORIES,
    ) -> None:
        self.seed = seed
        self.factories = factories
        self.carrier = Carrier(create_source(seed, "carrier"))
        self.measures = Measures()
        self._source = create_source(seed, "world")
        self._deployment = self._read_deployment(setup)
        self.zones = self._deployment.zones
        self._tick_s = float(setup.get("tick_s", TICK_S))
        self._service_s = float(setup.get("service_s", 0.4))
        self._flow_settings = FlowSettings(**setup.get("flow_settings", {}))
        self._ledger_settings = LedgerSettings(
            **{"initial_fraction": 0.1, "warm_up_s": 60.0}
            | setup.get("ledger_settings", {})
        )
        self._dispatcher_settings = DispatcherSettings(
            **setup.get("dispatcher_settings", {})
        )
        self.platform = PlatformModel(
            self.carrier, create_source(seed, "platform"), self._report_objects
        )
        self.balancers: dict[str, BalancerNode] = {}
        self.agents: dict[str, AgentNode] = {}
        self._zone_of: dict[str, str] = {}
        self._gone_balancers: dict[str, float] = {}
        self._incarnation = 0
        self._ports: dict[str, int] = {}
        self._tables: dict[str, Table] = {}
        self._marks: dict[str, ZoneMark] = {}
        self._marked_s: dict[str, float] = {}
        self._ends_of_cut: dict[str, float] = {}
        self.flows = FlowCallers(self, create_source(seed, "flows"))
        self.requests = RequestCallers(self, create_source(seed, "requests"))
        self._start_all(int(setup.get("balancers_per_zone", 1)))

    # Interface of the nodes.

    def create_source(self, name: str) -> random.Random:
        """Return the source of random choices of one part of a node."""
        return create_source(self.seed, f"{name} {self._incarnation}")

    def send(self, node: Node, peer: str, message: Message) -> None:
        """Carry a datagram from `node` to the process named `peer`."""
        if isinstance(message, Forward):
            self._check_zone(node, peer)
        kind = type(message).__name__
        self.carrier.carry(kind, self._receive, node.name, peer, message)

    def send_stream(self, node: Node, peer: str, message: Message) -> None:
        """Carry a message on a connection: it is neither lost nor doubled."""
        delay_s = self.carrier.draw_delay()
        if self._find_node(peer) is None:
            self.carrier.schedule(PEER_LOST_S, self._lose_peer, node, peer)
            return
        self.carrier.schedule(delay_s, self._receive, node.name, peer, message)

    def count(self, action: Count) -> None:
        """Count what a decision module counted."""
        key = f"{action.name}{{{action.reason}}}"
        self.measures.counters[key] += action.amount

    def renew(self, node: Node, announcement) -> None:
        """Write an announcement on behalf of `node`."""

        def is_alive() -> bool:
            return self._find_node(node.name) is node

        delay_s = self.carrier.draw_delay()
        lease_s = 3 * ReplicaSettings().lease_renew_s
        if self._is_cut_from_platform(node.name):
            return
        self.carrier.schedule(
            delay_s, self.platform.renew, announcement, lease_s, is_alive
        )

    def check_view(self, node: Node, view: View) -> None:
        """Check that no version in a node's view goes back."""
        for part in ("tables", "zones"):
            for key, item in getattr(node.view, part).items():
                newer = getattr(view, part).get(key)
                if newer is not None and newer.version < item.version:
                    detail = f"{node.name} {key} {item.version} to {newer.version}"
                    self.measures.violate("version_reverted", detail)

    def take_flow_action(self, node: AgentNode, action) -> None:
        """Carry out what a flow controller decided."""
        if isinstance(action, Count):
            self.count(action)
        elif hasattr(action, "peer"):
            self.send(node, action.peer, action.message)
        else:
            self.flows.take_action(node, action)

    def take_ledger_action(self, node: AgentNode, ledger, action) -> None:
        """Carry out what a ledger decided."""
        self.requests.take_ledger_action(node, ledger, action)

    def take_dispatcher_action(self, node: BalancerNode, action) -> None:
        """Carry out what a dispatcher decided."""
        self.requests.take_dispatcher_action(node, action)

    # Interface of the callers.

    def enter_packet(self, zone: str, packet: bytes) -> None:
        """Let the fabric bring a packet from a caller in `zone` to a balancer."""
        node = self.choose_balancer(zone)
        if node is not None and self._source.random() >= self.carrier.network.loss:
            delay_s = self.carrier.draw_delay()
            self.carrier.schedule(delay_s, self._route_packet, node, packet)

    def choose_balancer(self, zone: str) -> BalancerNode | None:
        """Return a balancer that the fabric reaches, or None for one just gone."""
        now = self.carrier.now
        gone = [
            name
            for name, time_s in self._gone_balancers.items()
            if now - time_s < FABRIC_NOTICES_S and name not in self.balancers
        ]
        names = [
            name for name in (*self.balancers, *gone) if not self.is_cut_off(zone, name)
        ]
        return self.balancers.get(self._source.choice(names)) if names else None

    def is_cut_off(self, zone: str, name: str) -> bool:
        """Return whether a caller in `zone` and a process do not reach each other."""
        return self.carrier.network.is_cut(f"callers {zone}", name)

    def is_disturbed(self, zone: str, server: str) -> bool:
        """Return whether lasting silence has a cause outside the system."""
        if self.find_excuse(zone, server) == "cut":
            return True
        node = self.agents.get(server)
        return node is not None and self._is_unsettled(node)

    def find_excuse(self, zone: str, server: str) -> str:
        """Return why a flow between a caller and a backend server may end, or ""."""
        if self.is_cut_off(zone, server) or self._was_cut(f"callers {zone}"):
            return "cut"
        return "cut" if self._was_cut(server) else ""

    def find_departure(self, node: Node) -> str:
        """Return why the flows of an agent may end from now on, or ""."""
        if self.agents.get(node.name) is not node:
            return "server"
        mark = self._marks.get(node.zone)
        return "" if mark is None or mark.is_in_service else "zone"

    # Events of a trace.

    def apply(self, event: Event) -> None:
        """Let an event of a trace happen."""
        match event.place, event.name:
            case "operator", _:
                self._apply_operator(event)
            case "platform", "down":
                self.platform.set_up(False)
            case "platform", "up":
                self.platform.set_up(True)
            case "platform", "lose_answers":
                self.platform.lost_answers = int(event.values["count"])
            case "network", _:
                self._apply_network(event)
            case "callers", _:
                self._apply_callers(event)
            case "trace", "measure_balance":
                self._measure_balance(str(event.values["service"]))
            case place, _ if place.startswith("balancer-"):
                self._apply_balancer(event)
            case place, _ if place in self._zone_of:
                self._apply_server(event)
            case _:
                raise ValueError(
                    f"line {event.line}: unknown {event.place} {event.name}"
                )

    def finish(self) -> None:
        """Take the measures of the end."""
        self.flows.summarise()
        self.requests.summarise()

    def list_services(self) -> list[str]:
        """Return the names of the services."""
        return list(self._tables)

    def list_servers(self) -> list[str]:
        """Return the names of all backend servers."""
        return [server.name for server in self._deployment.servers]

    def _apply_operator(self, event: Event) -> None:
        match event.name:
            case "zone_out" | "zone_in":
                self._mark_zone(str(event.values["zone"]), event.name == "zone_in")
            case "set_row":
                self._set_row(event)
            case "remove_row":
                table = self._tables[str(event.values["service"])]
                server = str(event.values["server"])
                rows = tuple(row for row in table.members if row.server != server)
                self._write(attrs.evolve(table, members=rows))
            case _:
                raise ValueError(f"line {event.line}: unknown event {event.name}")

    def _apply_network(self, event: Event) -> None:
        network = self.carrier.network
        match event.name:
            case "set":
                network.loss = float(event.get("loss", network.loss))
                network.doubled = float(event.get("doubled", network.doubled))
                network.extra_delay_s = float(
                    event.get("extra_delay_s", network.extra_delay_s)
                )
                network.dropped_kinds = set(event.get("dropped_kinds", ()))
            case "cut":
                zones = set(event.values["zones"])
                for name, zone in self._zone_of.items():
                    if zone in zones:
                        network.sides[name] = "cut"
                for zone in zones:
                    network.sides[f"callers {zone}"] = "cut"
            case "heal":
                for name in network.sides:
                    self._ends_of_cut[name] = self.carrier.now
                network.sides.clear()
            case _:
                raise ValueError(f"line {event.line}: unknown event {event.name}")

    def _apply_callers(self, event: Event) -> None:
        service = str(event.values["service"])
        match event.name:
            case "open":
                count, spread_s = int(event.values["count"]), event.get("spread_s", 1.0)
                self.flows.open(self._tables[service], count, float(spread_s))
            case "close":
                self.flows.close(service, int(event.values["count"]))
            case "requests":
                self.requests.start(
                    service,
                    float(event.values["rate_per_s"]),
                    float(event.values["for_s"]),
                    is_idempotent=bool(event.get("idempotent", False)),
                    deadline_s=float(event.get("deadline_s", 10.0)),
                )
            case _:
                raise ValueError(f"line {event.line}: unknown event {event.name}")

    def _apply_balancer(self, event: Event) -> None:
        name = event.place
        node = self.balancers.get(name)
        match event.name:
            case "start" if node is None:
                self._start_balancer(name, str(event.get("zone", "")))
            case "fail" if node is not None:
                del self.balancers[name]
                self._gone_balancers[name] = self.carrier.now
                self.platform.set_watch(name, False)
            case "pause" if node is not None:
                node.is_paused = True
            case "resume" if node is not None:
                node.resume()

    def _apply_server(self, event: Event) -> None:
        name = event.place
        node = self.agents.get(name)
        match event.name:
            case "start" if node is None:
                self._start_agent(name)
            case "fail" if node is not None:
                self._fail_agent(name)
            case "drain" if node is not None:
                node.drain()
            case "cold" if node is not None:
                node.backend.make_cold()
            case "advise" if node is not None:
                node.advised_fraction = float(event.values["fraction"])
            case "misreport" if node is not None:
                node.load_factor = float(event.values["factor"])
            case "speed" if node is not None:
                node.backend.speed = float(event.values["speed"])
            case "pause" if node is not None:
                node.is_paused = True
                self.carrier.schedule(DOWN_AFTER_S, self._excuse_paused, node)
            case "resume" if node is not None:
                node.resume()

    def _excuse_paused(self, node: Node) -> None:
        # An agent that is paused this long counts as failed; its flows are its own.
        if node.is_paused:
            self.flows.excuse_server(node.name, "server")

    def _set_row(self, event: Event) -> None:
        values = dict(event.values)
        table = self._tables[str(values.pop("service"))]
        server = str(values.pop("server"))
        rows = {row.server: row for row in table.members}
        known = rows.get(server) or Member(server, self._zone_of[server], 1.0, 2_000, 3)
        rows[server] = attrs.evolve(known, **values)
        self._write(attrs.evolve(table, members=tuple(rows.values())))

    def _mark_zone(self, zone: str, is_in_service: bool) -> None:
        self._marks[zone] = ZoneMark(zone, is_in_service)
        if self._write(self._marks[zone]) is None:
            return
        self._marked_s[zone] = self.carrier.now
        if not is_in_service:
            for name, place in self._zone_of.items():
                if place == zone:
                    self.flows.excuse_server(name, "zone")

    def _write(self, item: Table | ZoneMark) -> StoredObject | None:
        """Write as the operator's client does: accepted or not, then pushed."""
        if not self.platform.is_up:
            self.measures.add("refused_changes")
            return None
        if isinstance(item, Table):
            self._tables[item.service] = item
        stored = self.platform.write(build_key(item), encode_object(item))
        names = sorted(self.balancers)
        for name in self._source.sample(names, min(PUSHED_TO, len(names))):
            message = Objects((stored,))
            self.carrier.carry("Objects", self._receive, "operator", name, message)
        self.measures.add("accepted_changes")
        self.carrier.schedule(
            IN_FORCE_S, self._check_in_force, stored, self.carrier.now
        )
        return stored

    def _check_in_force(self, stored: StoredObject, accepted_s: float) -> None:
        """Count the nodes that do not hold an accepted change in time."""
        prefix, _, name = stored.key.partition("/")
        part = "tables" if prefix == "table" else "zones"
        for node in (*self.balancers.values(), *self.agents.values()):
            if node.started_s > accepted_s - SETTLE_S or self._is_unsettled(node):
                continue
            if part == "tables" and not self._needs_table(node, name):
                continue
            held = getattr(node.view, part).get(name)
            if held is None or held.version < stored.version:
                detail = f"{node.name} lacks {stored.key} version {stored.version}"
                self.measures.violate("late_changes", detail)

    def _needs_table(self, node: Node, service: str) -> bool:
        if isinstance(node, BalancerNode):
            return True
        return self._tables[service].get_member(node.name) is not None

    # Processes.

    def _start_all(self, balancers_per_zone: int) -> None:
        for server in self._deployment.servers:
            self._zone_of[server.name] = server.zone
        count = balancers_per_zone * len(self.zones)
        for number in range(count):
            self._zone_of[f"balancer-{number}"] = self.zones[number % len(self.zones)]
        for number in range(count):
            self._start_balancer(f"balancer-{number}", "")
        for server in self._deployment.servers:
            self._start_agent(server.name)
        for table in self._deployment.tables:
            self._tables[table.service] = table
            self.platform.write(build_key(table), encode_object(table))
        self.carrier.repeat(1.0, self.platform.run_leases)
        self.carrier.repeat(0.25, self.flows.run_timers)

    def _start_balancer(self, name: str, zone: str) -> None:
        self._zone_of.setdefault(name, zone or self.zones[0])
        self._incarnation += 1
        node = BalancerNode(
            name,
            self._zone_of[name],
            self,
            self._incarnation,
            self._list_seeds(),
            self._build_replica_settings(name),
            self._dispatcher_settings,
        )
        self.balancers[name] = node
        self._start_ticks(node)

    def _start_agent(self, name: str) -> None:
        self._incarnation += 1
        server = next(row for row in self._deployment.servers if row.name == name)
        backend = Backend(
            self.carrier,
            self.create_source(name + " backend"),
            server.slots,
            server.speed,
            self._service_s,
        )
        services = tuple(
            table.service
            for table in self._deployment.tables
            if table.get_member(name) is not None
        )
        node = AgentNode(
            name,
            server.zone,
            self,
            self._incarnation,
            services,
            backend,
            self._build_replica_settings(name),
            self._flow_settings,
            self._ledger_settings,
        )
        self.agents[name] = node
        self._start_ticks(node)

    def _fail_agent(self, name: str) -> None:
        node = self.agents.pop(name)
        node.backend.is_up = False
        self.flows.excuse_server(name, "server")
        self.flows.drop_connections(name)

    def _start_ticks(self, node: Node) -> None:
        def tick() -> None:
            if self._find_node(node.name) is node:
                node.tick()
                self.carrier.schedule(self._tick_s, tick)

        self.carrier.schedule(self._tick_s * self._source.random(), tick)

    def _build_replica_settings(self, name: str) -> ReplicaSettings:
        port = self._ports.setdefault(name, FIRST_PORT + len(self._ports))
        return ReplicaSettings(port=port, seeds=self._list_seeds())

    def _list_seeds(self) -> tuple[Peer, ...]:
        names = [f"balancer-{number}" for number in range(len(self.zones))]
        return tuple(
            Peer(
                name,
                "127.0.0.1",
                self._ports.setdefault(name, FIRST_PORT + len(self._ports)),
            )
            for name in names
        )

    def _find_node(self, name: str) -> Node | None:
        return self.balancers.get(name) or self.agents.get(name)

    # Messages.

    def _receive(self, sender: str, peer: str, message: Message) -> None:
        node = self._find_node(peer)
        if node is not None and not self.carrier.network.is_cut(sender, peer):
            node.call(node.take_message, sender, message)

    def _lose_peer(self, node: Node, peer: str) -> None:
        if isinstance(node, BalancerNode) and self._find_node(node.name) is node:
            node.call(node.handle_request, PeerDisconnected(peer))

    def _report_objects(self, name: str, objects: tuple[StoredObject, ...]) -> None:
        node = self.balancers.get(name)
        if node is not None and not self._is_cut_from_platform(name):
            node.call(node.take_objects, objects)

    def _route_packet(self, node: BalancerNode, packet: bytes) -> None:
        if self.balancers.get(node.name) is node:
            node.call(self._forward_packet, node, packet)

    def _forward_packet(self, node: BalancerNode, packet: bytes) -> None:
        route = node.router.route(packet)
        if isinstance(route, Route):
            self.send(node, route.server, build_forward(route, packet))
        else:
            self.measures.counters[f"packet_refused{{{route.reason}}}"] += 1

    def _check_zone(self, node: Node, peer: str) -> None:
        zone = self._zone_of.get(peer, "")
        mark = self._marks.get(zone)
        if mark is None or mark.is_in_service:
            return
        late_s = self.carrier.now - self._marked_s[zone]
        if late_s > ZONE_OUT_S and not self._is_unsettled(node):
            detail = f"{node.name} to {peer}, {late_s:.3f} s after the mark"
            self.measures.violate("late_zone_packets", detail)

    def _is_unsettled(self, node: Node) -> bool:
        """Return whether `node` was unreachable, paused or started just now."""
        now = self.carrier.now
        is_new = now - max(node.started_s, node.resumed_s) < SETTLE_S
        is_new = is_new and now > WARM_UP_S
        return is_new or node.is_paused or self._was_cut(node.name)

    def _was_cut(self, name: str) -> bool:
        if name in self.carrier.network.sides:
            return True
        ended_s = self._ends_of_cut.get(name)
        return ended_s is not None and self.carrier.now - ended_s < SETTLE_S

    def _is_cut_from_platform(self, name: str) -> bool:
        return self.carrier.network.is_cut(name, "platform")

    # Measures.

    def _measure_balance(self, service: str) -> None:
        """Compare the flows of each candidate with its share of the weights."""
        table = self._tables[service]
        rows = [row for row in table.members if self._is_candidate(row)]
        counts = self.flows.count_open(service)
        total = sum(counts.get(row.server, 0) for row in rows)
        weights = sum(row.weight for row in rows)
        for row in rows:
            share = total * row.weight / weights
            found = counts.get(row.server, 0)
            if share:
                self.measures.raise_to("imbalance", abs(found - share) / share)

    def _is_candidate(self, row: Member) -> bool:
        node = self.agents.get(row.server)
        mark = self._marks.get(row.zone)
        is_out = mark is not None and not mark.is_in_service
        if node is None or is_out or row.weight <= 0:
            return False
        return node.replica.owner.announcement.state is AgentState.READY

    @staticmethod
    def _read_deployment(setup: dict[str, object]) -> Deployment:
        name = str(setup.get("deployment", "tres_lunas"))
        return build_deployment(name, max_flows=int(setup.get("max_flows", 2_000)))
