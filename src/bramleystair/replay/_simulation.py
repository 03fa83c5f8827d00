"""Simulated deployment that applies the events of a trace on a manual clock."""

import random

import attrs

from bramleystair.actions import Count
from bramleystair.flows import FlowSettings
from bramleystair.replay._backend_model import Backend
from bramleystair.replay._deployments import Deployment, build_deployment
from bramleystair.replay._flow_callers import FlowCallers, build_forward
from bramleystair.replay._measures import Measures
from bramleystair.replay._nodes import (
    AgentNode,
    BalancerNode,
    Node,
    NodeFactories,
    create_rng,
)
from bramleystair.replay._platform_model import PlatformModel
from bramleystair.replay._request_callers import RequestCallers
from bramleystair.replay._scheduler import EventScheduler
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
    decode_object,
    encode_object,
    replace_version,
)
from bramleystair.views import View
from bramleystair.wire import Forward, Message, Objects, StoredObject

DEFAULT_FACTORIES = NodeFactories()
# Traces start after the warm-up, in which the nodes start and agents become warm.
WARM_UP_S = 75.0
# Period of the timers of a node.
TICK_S = 0.25
# Time after which no packet may go to a zone out of service, and time within which all
# nodes must hold an accepted change.
ZONE_OUT_LIMIT_S = 3.0
PROPAGATION_LIMIT_S = 5.0
# Time after a start, a pause or a partition within which a node catches up with others.
RECOVERY_S = 10.0
# Length of a pause after which other nodes regard an agent as failed.
FAILURE_DETECTION_S = 2.5
# Time for which the fabric still sends packets to a failed balancer.
FABRIC_FAILOVER_S = 1.0
# Time after which a failed connection to a peer is reported.
PEER_LOSS_DETECTION_S = 0.5
# Number of balancers to which the operator's client pushes a change.
PUSH_FANOUT = 2
FIRST_PORT = 20_000


class Simulation:
    """Deployment, callers, network and platform under the events of a trace.

    Parameters
    ----------
    setup : dict
        Fields of the trace's setup line.
    seed : int
        Seed of all random number generators.
    factories : NodeFactories
        Constructors of the decision modules.

    Attributes
    ----------
    scheduler : EventScheduler
        Clock, timers and message delivery.
    measures : Measures
        Measured values, counters and violations.
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
        self.scheduler = EventScheduler(create_rng(seed, "carrier"))
        self.measures = Measures()
        self._rng = create_rng(seed, "world")
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
            self.scheduler, create_rng(seed, "platform"), self._deliver_objects
        )
        self.balancers: dict[str, BalancerNode] = {}
        self.agents: dict[str, AgentNode] = {}
        self._zones_by_name: dict[str, str] = {}
        self._failed_balancers: dict[str, float] = {}
        self._incarnation = 0
        self._ports: dict[str, int] = {}
        self._tables: dict[str, Table] = {}
        self._zone_marks: dict[str, ZoneMark] = {}
        self._zone_marked_s: dict[str, float] = {}
        self._partition_ended_s: dict[str, float] = {}
        self.flows = FlowCallers(self, create_rng(seed, "flows"))
        self.requests = RequestCallers(self, create_rng(seed, "requests"))
        self._start_all(int(setup.get("balancers_per_zone", 1)))

    # Interface for nodes.

    def create_rng(self, name: str) -> random.Random:
        """Return the random number generator of one component of a node."""
        return create_rng(self.seed, f"{name} {self._incarnation}")

    def send(self, node: Node, peer: str, message: Message) -> None:
        """Send a datagram from `node` to the process named `peer`."""
        if isinstance(message, Forward):
            self._check_zone_in_service(node, peer)
        kind = type(message).__name__
        self.scheduler.send_datagram(kind, self._receive, node.name, peer, message)

    def send_stream(self, node: Node, peer: str, message: Message) -> None:
        """Send a message on a connection, which neither loses nor doubles it."""
        delay_s = self.scheduler.sample_delay()
        if self._find_node(peer) is None:
            self.scheduler.schedule(PEER_LOSS_DETECTION_S, self._lose_peer, node, peer)
            return
        self.scheduler.schedule(delay_s, self._receive, node.name, peer, message)

    def record_count(self, action: Count) -> None:
        """Add the count of a decision module to the counters."""
        key = f"{action.name}{{{action.reason}}}"
        self.measures.counters[key] += action.amount

    def renew_lease(self, node: Node, announcement) -> None:
        """Write the announcement of `node` to the platform and renew its lease."""

        def is_alive() -> bool:
            return self._find_node(node.name) is node

        delay_s = self.scheduler.sample_delay()
        lease_s = 3 * ReplicaSettings().lease_renew_s
        if self._is_partitioned_from_platform(node.name):
            return
        self.scheduler.schedule(
            delay_s, self.platform.renew, announcement, lease_s, is_alive
        )

    def check_view(self, node: Node, view: View) -> None:
        """Check that no version in a node's view decreases."""
        for collection in ("tables", "zones"):
            for key, item in getattr(node.view, collection).items():
                newer = getattr(view, collection).get(key)
                if newer is not None and newer.version < item.version:
                    detail = f"{node.name} {key} {item.version} to {newer.version}"
                    self.measures.record_violation("version_reverted", detail)

    def execute_flow_action(self, node: AgentNode, action) -> None:
        """Execute an action of a flow controller."""
        if isinstance(action, Count):
            self.record_count(action)
        elif hasattr(action, "peer"):
            self.send(node, action.peer, action.message)
        else:
            self.flows.execute_action(node, action)

    def execute_ledger_action(self, node: AgentNode, ledger, action) -> None:
        """Execute an action of a request ledger."""
        self.requests.execute_ledger_action(node, ledger, action)

    def execute_dispatcher_action(self, node: BalancerNode, action) -> None:
        """Execute an action of a request dispatcher."""
        self.requests.execute_dispatcher_action(node, action)

    # Interface for callers.

    def send_caller_packet(self, zone: str, packet: bytes) -> None:
        """Deliver a packet from a caller in `zone` to a balancer through the fabric."""
        node = self.choose_balancer(zone)
        if (
            node is not None
            and self._rng.random() >= self.scheduler.faults.loss_probability
        ):
            delay_s = self.scheduler.sample_delay()
            self.scheduler.schedule(delay_s, self._route_packet, node, packet)

    def choose_balancer(self, zone: str) -> BalancerNode | None:
        """Return a random reachable balancer, or None for one that just failed.

        The fabric sends packets to a failed balancer for `FABRIC_FAILOVER_S` seconds.
        """
        now = self.scheduler.now
        recently_failed = [
            name
            for name, time_s in self._failed_balancers.items()
            if now - time_s < FABRIC_FAILOVER_S and name not in self.balancers
        ]
        names = [
            name
            for name in (*self.balancers, *recently_failed)
            if not self.is_unreachable(zone, name)
        ]
        return self.balancers.get(self._rng.choice(names)) if names else None

    def is_unreachable(self, zone: str, name: str) -> bool:
        """Return whether callers in `zone` are partitioned from a process."""
        return self.scheduler.faults.is_partitioned(f"callers {zone}", name)

    def is_disrupted(self, zone: str, server: str) -> bool:
        """Return whether a network or agent fault explains the lack of responses."""
        if self.find_disruption(zone, server) == "cut":
            return True
        node = self.agents.get(server)
        return node is not None and self._is_recovering(node)

    def find_disruption(self, zone: str, server: str) -> str:
        """Return ``cut`` if a partition may end flows between the two, otherwise ""."""
        if self.is_unreachable(zone, server) or self._was_partitioned(
            f"callers {zone}"
        ):
            return "cut"
        return "cut" if self._was_partitioned(server) else ""

    def find_removal_cause(self, node: Node) -> str:
        """Return ``server`` for a failed agent, ``zone`` for a zone out of service."""
        if self.agents.get(node.name) is not node:
            return "server"
        mark = self._zone_marks.get(node.zone)
        return "" if mark is None or mark.is_in_service else "zone"

    # Trace events.

    def apply(self, event: Event) -> None:
        """Apply an event of the trace."""
        match event.place, event.name:
            case "operator", _:
                self._apply_operator(event)
            case "platform", "down":
                self.platform.set_available(False)
            case "platform", "up":
                self.platform.set_available(True)
            case "platform", "lose_answers":
                self.platform.responses_to_lose = int(event.values["count"])
            case "platform", "restored":
                self.platform.restore(float(event.values["age_s"]))
            case "network", _:
                self._apply_network(event)
            case "callers", _:
                self._apply_callers(event)
            case "trace", "measure_balance":
                self._measure_balance(str(event.values["service"]))
            case place, _ if place.startswith("balancer-"):
                self._apply_balancer(event)
            case place, _ if place in self._zones_by_name:
                self._apply_server(event)
            case _:
                raise ValueError(
                    f"line {event.line}: unknown {event.place} {event.name}"
                )

    def finish(self) -> None:
        """Record the measures that are taken at the end of a trace."""
        self.flows.record_totals()
        self.requests.record_totals()

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
        faults = self.scheduler.faults
        match event.name:
            case "set":
                faults.loss_probability = float(
                    event.get("loss", faults.loss_probability)
                )
                faults.duplication_probability = float(
                    event.get("doubled", faults.duplication_probability)
                )
                faults.extra_delay_s = float(
                    event.get("extra_delay_s", faults.extra_delay_s)
                )
                faults.dropped_kinds = set(event.get("dropped_kinds", ()))
            case "cut":
                zones = set(event.values["zones"])
                for name, zone in self._zones_by_name.items():
                    if zone in zones:
                        faults.partition_of[name] = "cut"
                for zone in zones:
                    faults.partition_of[f"callers {zone}"] = "cut"
            case "heal":
                for name in faults.partition_of:
                    self._partition_ended_s[name] = self.scheduler.now
                faults.partition_of.clear()
            case _:
                raise ValueError(f"line {event.line}: unknown event {event.name}")

    def _apply_callers(self, event: Event) -> None:
        service = str(event.values["service"])
        match event.name:
            case "open":
                count, spread_s = int(event.values["count"]), event.get("spread_s", 1.0)
                self.flows.open_flows(self._tables[service], count, float(spread_s))
            case "close":
                self.flows.close_flows(service, int(event.values["count"]))
            case "requests":
                self.requests.schedule_requests(
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
                self._failed_balancers[name] = self.scheduler.now
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
                self.scheduler.schedule(
                    FAILURE_DETECTION_S, self._expect_ends_of_paused, node
                )
            case "resume" if node is not None:
                node.resume()

    def _expect_ends_of_paused(self, node: Node) -> None:
        # Other nodes regard an agent that is paused this long as failed, so that its
        # flows may end.
        if node.is_paused:
            self.flows.expect_flow_ends(node.name, "server")

    def _set_row(self, event: Event) -> None:
        values = dict(event.values)
        table = self._tables[str(values.pop("service"))]
        server = str(values.pop("server"))
        rows = {row.server: row for row in table.members}
        existing = rows.get(server) or Member(
            server, self._zones_by_name[server], 1.0, 2_000, 3
        )
        rows[server] = attrs.evolve(existing, **values)
        self._write(attrs.evolve(table, members=tuple(rows.values())))

    def _mark_zone(self, zone: str, is_in_service: bool) -> None:
        self._zone_marks[zone] = ZoneMark(zone, is_in_service)
        if self._write(self._zone_marks[zone]) is None:
            return
        self._zone_marked_s[zone] = self.scheduler.now
        if not is_in_service:
            for name, node_zone in self._zones_by_name.items():
                if node_zone == zone:
                    self.flows.expect_flow_ends(name, "zone")

    def _write(self, item: Table | ZoneMark) -> StoredObject | None:
        """Write an object as the operator's client does, and push it to balancers.

        Returns None, and counts a refused change, while the platform is unavailable.
        """
        if not self.platform.is_available:
            self.measures.increment("refused_changes")
            return None
        if isinstance(item, Table):
            self._tables[item.service] = item
        stored = self.platform.write(build_key(item), encode_object(item))
        names = sorted(self.balancers)
        for name in self._rng.sample(names, min(PUSH_FANOUT, len(names))):
            message = Objects((stored,))
            self.scheduler.send_datagram(
                "Objects", self._receive, "operator", name, message
            )
        self.measures.increment("accepted_changes")
        self.scheduler.schedule(
            PROPAGATION_LIMIT_S, self._check_propagation, stored, self.scheduler.now
        )
        return stored

    def _check_propagation(self, stored: StoredObject, accepted_s: float) -> None:
        """Record a violation for each node that lacks an accepted change.

        The content is compared as well, since a restored platform may assign a version
        again, unless the object was written again since.
        """
        prefix, _, name = stored.key.partition("/")
        collection = "tables" if prefix == "table" else "zones"
        is_latest = self.platform.objects.get(stored.key) is stored
        written = decode_object(stored.key, stored.body).unwrap()
        for node in (*self.balancers.values(), *self.agents.values()):
            if node.started_s > accepted_s - RECOVERY_S or self._is_recovering(node):
                continue
            if collection == "tables" and not self._needs_table(node, name):
                continue
            held = getattr(node.view, collection).get(name)
            is_held = held is not None and held.version >= stored.version
            if is_held and is_latest:
                is_held = held == replace_version(written, held.version)
            if not is_held:
                detail = f"{node.name} lacks {stored.key} version {stored.version}"
                self.measures.record_violation("late_changes", detail)

    def _needs_table(self, node: Node, service: str) -> bool:
        if isinstance(node, BalancerNode):
            return True
        return self._tables[service].get_member(node.name) is not None

    # Processes.

    def _start_all(self, balancers_per_zone: int) -> None:
        for server in self._deployment.servers:
            self._zones_by_name[server.name] = server.zone
        count = balancers_per_zone * len(self.zones)
        for number in range(count):
            self._zones_by_name[f"balancer-{number}"] = self.zones[
                number % len(self.zones)
            ]
        for number in range(count):
            self._start_balancer(f"balancer-{number}", "")
        for server in self._deployment.servers:
            self._start_agent(server.name)
        for table in self._deployment.tables:
            self._tables[table.service] = table
            self.platform.write(build_key(table), encode_object(table))
        self.scheduler.schedule_periodic(1.0, self.platform.check_leases)
        self.scheduler.schedule_periodic(0.25, self.flows.run_timers)

    def _start_balancer(self, name: str, zone: str) -> None:
        self._zones_by_name.setdefault(name, zone or self.zones[0])
        self._incarnation += 1
        node = BalancerNode(
            name,
            self._zones_by_name[name],
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
            self.scheduler,
            self.create_rng(name + " backend"),
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
        self.flows.expect_flow_ends(name, "server")
        self.flows.drop_connections(name)

    def _start_ticks(self, node: Node) -> None:
        def tick() -> None:
            if self._find_node(node.name) is node:
                node.tick()
                self.scheduler.schedule(self._tick_s, tick)

        self.scheduler.schedule(self._tick_s * self._rng.random(), tick)

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
        if node is not None and not self.scheduler.faults.is_partitioned(sender, peer):
            node.dispatch(node.handle_message, sender, message)

    def _lose_peer(self, node: Node, peer: str) -> None:
        if isinstance(node, BalancerNode) and self._find_node(node.name) is node:
            node.dispatch(node.handle_dispatcher_event, PeerDisconnected(peer))

    def _deliver_objects(self, name: str, objects: tuple[StoredObject, ...]) -> None:
        node = self.balancers.get(name)
        if node is not None and not self._is_partitioned_from_platform(name):
            node.dispatch(node.handle_platform_objects, objects)

    def _route_packet(self, node: BalancerNode, packet: bytes) -> None:
        if self.balancers.get(node.name) is node:
            node.dispatch(self._forward_packet, node, packet)

    def _forward_packet(self, node: BalancerNode, packet: bytes) -> None:
        route = node.router.route(packet)
        if isinstance(route, Route):
            self.send(node, route.server, build_forward(route, packet))
        else:
            self.measures.counters[f"packet_refused{{{route.reason}}}"] += 1

    def _check_zone_in_service(self, node: Node, peer: str) -> None:
        zone = self._zones_by_name.get(peer, "")
        mark = self._zone_marks.get(zone)
        if mark is None or mark.is_in_service:
            return
        late_s = self.scheduler.now - self._zone_marked_s[zone]
        if late_s > ZONE_OUT_LIMIT_S and not self._is_recovering(node):
            detail = f"{node.name} to {peer}, {late_s:.3f} s after the mark"
            self.measures.record_violation("late_zone_packets", detail)

    def _is_recovering(self, node: Node) -> bool:
        """Return whether `node` is paused, partitioned or has just recovered."""
        now = self.scheduler.now
        is_new = now - max(node.started_s, node.resumed_s) < RECOVERY_S
        is_new = is_new and now > WARM_UP_S
        return is_new or node.is_paused or self._was_partitioned(node.name)

    def _was_partitioned(self, name: str) -> bool:
        if name in self.scheduler.faults.partition_of:
            return True
        ended_s = self._partition_ended_s.get(name)
        return ended_s is not None and self.scheduler.now - ended_s < RECOVERY_S

    def _is_partitioned_from_platform(self, name: str) -> bool:
        return self.scheduler.faults.is_partitioned(name, "platform")

    # Measures.

    def _measure_balance(self, service: str) -> None:
        """Record how far the flows of each candidate differ from its weight's share."""
        table = self._tables[service]
        rows = [row for row in table.members if self._is_candidate(row)]
        counts = self.flows.count_open(service)
        total = sum(counts.get(row.server, 0) for row in rows)
        weights = sum(row.weight for row in rows)
        for row in rows:
            share = total * row.weight / weights
            found = counts.get(row.server, 0)
            if share:
                self.measures.record_maximum("imbalance", abs(found - share) / share)

    def _is_candidate(self, row: Member) -> bool:
        node = self.agents.get(row.server)
        mark = self._zone_marks.get(row.zone)
        is_zone_out = mark is not None and not mark.is_in_service
        if node is None or is_zone_out or row.weight <= 0:
            return False
        return node.replica.local_member.announcement.state is AgentState.READY

    @staticmethod
    def _read_deployment(setup: dict[str, object]) -> Deployment:
        name = str(setup.get("deployment", "tres_lunas"))
        return build_deployment(name, max_flows=int(setup.get("max_flows", 2_000)))
