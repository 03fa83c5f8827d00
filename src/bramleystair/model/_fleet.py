"""Modelled deployment of balancers, agents and servers, with fault injection."""

import random as random_module
import struct
import zlib
from functools import partial

import attrs

from bramleystair.actions import Count
from bramleystair.model._callers import Caller, CallerSettings
from bramleystair.model._events import EventQueue
from bramleystair.model._packets import RST, decode_packet, encode_packet
from bramleystair.model._report import Report
from bramleystair.model._servers import Server, ServerSettings
from bramleystair.steering import (
    Action,
    ConfirmMembers,
    Decision,
    DeclineSlot,
    DeliverToCaller,
    DeliverToServer,
    LookupProbe,
    LookupRequest,
    Message,
    OpenFlow,
    Relay,
    ResetCaller,
    ReturnPacket,
    Route,
    RoutingRules,
    SendMessage,
    ServerReport,
    ServerState,
    ServiceLevel,
    ServiceLimits,
    Subscribe,
    Target,
)
from bramleystair.steering.agent import AgentSteering, AgentSteeringSettings
from bramleystair.steering.balancer import BalancerSteering, BalancerSteeringSettings

SERVICE_HOST = bytes((198, 18, 0, 1))
FIRST_PORT = 443
SERVICE = "feed"
# One-way delays between nodes, and between nodes and callers.
NODE_DELAY_S = 0.001
CALLER_DELAY_S = 0.001
TIMER_PERIOD_S = 0.01
PORT = 9000
# Time that a balancer needs at startup to read the store.
START_DELAY_S = 0.05

Address = tuple[str, int]


@attrs.frozen
class FleetSettings:
    """Size and settings of a modelled deployment.

    Parameters
    ----------
    callers : tuple of CallerSettings
        Groups of callers; each group has its own route.
    service_time_s : float
        Mean service time of a request in seconds, at speed 1.
    heartbeat_s : float
        Interval between the reports of servers.
    cold_rate : float
        New flows per second that a cold server accepts; 0 for no limit.
    seed : int
        Seed of the random number generator.
    """

    balancers: int = 3
    servers: tuple[ServerSettings, ...] = (ServerSettings(),) * 5
    callers: tuple[CallerSettings, ...] = (CallerSettings(),)
    service_time_s: float = 0.06
    heartbeat_s: float = 0.8
    cold_rate: float = 0.0
    seed: int = 1
    balancer_steering: BalancerSteeringSettings = BalancerSteeringSettings()
    agent_steering: AgentSteeringSettings = AgentSteeringSettings()


class Fleet:
    """Deployment simulated on a manual clock.

    Parameters
    ----------
    settings : FleetSettings
        Size and settings.
    """

    def __init__(self, settings: FleetSettings) -> None:
        self.settings = settings
        self.events = EventQueue()
        self.random = random_module.Random(settings.seed)
        self.report = Report()
        self.counts: dict[tuple[str, str], int] = {}
        self.decisions: list[tuple[float, Decision]] = []
        self._balancers: dict[Address, BalancerSteering | None] = {}
        self._agents: dict[Address, AgentSteering | None] = {}
        self._servers: dict[Address, Server] = {}
        self._server_states: dict[Address, ServerState] = {}
        self._report_sequences: dict[Address, int] = {}
        self._removed_vms: set[int] = set()
        self._partitioned: set[Address] = set()
        self._registry_entries: dict[Address, object] = {}
        self._evacuated_zones: set[str] = set()
        self._version = 1
        self._callers: dict[bytes, Caller] = {}
        for number, server in enumerate(settings.servers):
            self.add_server(server, number)
        for number in range(settings.balancers):
            self.start_balancer(number)
        self._create_callers()
        self.events.call_after(TIMER_PERIOD_S, self._run_timers)

    @property
    def servers(self) -> tuple[Server, ...]:
        """All servers in the order of their numbers."""
        return tuple(self._servers.values())

    def run_until(self, time_s: float) -> Report:
        """Advance the simulation to `time_s` and return the report so far."""
        self.events.run_until(time_s)
        self.report.processed = {
            server.name: server.processed for server in self.servers
        }
        return self.report

    def add_server(self, settings: ServerSettings, number: int) -> None:
        """Start a server and its agent."""
        address = _get_agent_address(number)
        self._servers[address] = Server(
            f"s{number}",
            settings,
            self.events,
            self.random,
            self.settings.service_time_s,
            lambda data: self._handle_server_packet(address, data),
        )
        self._server_states[address] = ServerState.READY
        self._report_sequences[address] = 0
        self.start_agent(number)
        delay_s = self.random.uniform(0, 0.2)
        self.events.call_after(delay_s, lambda: self._send_heartbeat(address))

    def start_balancer(self, number: int) -> None:
        """Start a balancer without state; it serves once it has read the store."""
        address = _get_balancer_address(number)
        self._balancers[address] = None
        self.events.call_after(START_DELAY_S, lambda: self._activate_balancer(address))

    def stop_balancer(self, number: int) -> None:
        """Stop a balancer; its state is lost."""
        self._balancers[_get_balancer_address(number)] = None

    def start_agent(self, number: int) -> None:
        """Start an agent without state."""
        address = _get_agent_address(number)
        settings = attrs.evolve(
            self.settings.agent_steering, heartbeat_s=self.settings.heartbeat_s
        )
        self._agents[address] = AgentSteering(
            address, f"zone-{number % 3}", settings, self.events.now
        )

    def stop_agent(self, number: int) -> None:
        """Stop an agent; its server keeps running."""
        self._agents[_get_agent_address(number)] = None

    def drain_server(self, number: int) -> None:
        """Make a server report the draining state."""
        address = _get_agent_address(number)
        self._server_states[address] = ServerState.DRAINING
        self._send_report(address)

    def evacuate(self, zones: set[str]) -> None:
        """Set the evacuated availability zones; the others are in service."""
        self._evacuated_zones = zones
        for balancer in self._balancers.values():
            if balancer is not None:
                balancer.set_evacuated_zones(zones)

    def partition(self, number: int) -> None:
        """Drop all messages between an agent and the balancers."""
        self._partitioned.add(_get_agent_address(number))

    def heal_partition(self, number: int) -> None:
        """End the partition of an agent."""
        self._partitioned.discard(_get_agent_address(number))

    def remove_vm(self, number: int) -> None:
        """Remove a VM without notice; its entry in the store remains."""
        self.stop_agent(number)
        self._servers[_get_agent_address(number)].crash()
        self._removed_vms.add(number)

    def lose_power(self, duration_s: float) -> None:
        """Stop all processes and restart them after `duration_s` seconds."""
        for number in range(len(self._servers)):
            self.stop_agent(number)
        for server in self.servers:
            server.crash()
        for number in range(self.settings.balancers):
            self.stop_balancer(number)
        self.events.call_after(duration_s, self._restore_power)

    def _restore_power(self) -> None:
        for number, server in enumerate(self.servers):
            if number in self._removed_vms:
                continue
            server.restart()
            delay_s = self.random.uniform(0.2, 0.5)
            self.events.call_after(delay_s, lambda n=number: self._restart_agent(n))
        for number in range(self.settings.balancers):
            self.start_balancer(number)

    def _restart_agent(self, number: int) -> None:
        address = _get_agent_address(number)
        self.start_agent(number)
        self._report_sequences[address] = 0
        self._send_report(address)

    def _create_callers(self) -> None:
        for group, settings in enumerate(self.settings.callers):
            for _ in range(settings.callers):
                number = len(self._callers)
                caller = Caller(
                    number,
                    _get_endpoint(group),
                    settings,
                    self.events,
                    self.random,
                    self._send_to_balancer,
                    partial(self.report.record, group=group),
                )
                self._callers[struct.pack("!I", 0x64400000 + number)] = caller
                caller.start()

    def _activate_balancer(self, address: Address) -> None:
        balancer = BalancerSteering(self.settings.balancer_steering, self.random)
        balancer.set_rules(self._build_routing_rules())
        balancer.set_members(self._registry_entries.values(), self.events.now)
        balancer.set_evacuated_zones(self._evacuated_zones)
        self._balancers[address] = balancer

    def _build_routing_rules(self) -> RoutingRules:
        routes = {}
        for group, callers in enumerate(self.settings.callers):
            endpoint = _get_endpoint(group)
            level = ServiceLevel(
                callers.priority, callers.objective_s, callers.deadline_s
            )
            routes[endpoint] = Route(
                f"route-{group}", endpoint, (Target(SERVICE, 1.0),), level
            )
        rules = ServiceLimits(SERVICE, self.settings.cold_rate)
        return RoutingRules(self._version, routes, {SERVICE: rules})

    def _send_heartbeat(self, address: Address) -> None:
        self._send_report(address)
        self.events.call_after(
            self.settings.heartbeat_s, lambda: self._send_heartbeat(address)
        )

    def _send_report(self, address: Address) -> None:
        agent, server = self._agents[address], self._servers[address]
        if agent is None or not server.is_up:
            return
        self._report_sequences[address] += 1
        cold_until_s = server.started_s + server.settings.cold_s
        report = ServerReport(
            f"{server.name}-{server.incarnation}",
            SERVICE,
            "",
            self._server_states[address],
            server.settings.slots,
            max(0.0, cold_until_s - self.events.now),
            self._report_sequences[address],
            int(server.started_s * 1000),
        )
        self._execute_actions(address, agent.handle_report(report, self.events.now))
        entry = agent.build_entry()
        if entry == self._registry_entries.get(address):
            return
        self._registry_entries[address] = entry
        for balancer in self._balancers.values():
            if balancer is not None:
                balancer.set_members(self._registry_entries.values(), self.events.now)

    def _send_to_balancer(self, data: bytes) -> None:
        running = [a for a, balancer in self._balancers.items() if balancer is not None]
        if not running:
            return
        flow = decode_packet(data).flow
        # Rendezvous hashing: when a balancer stops, only its flows move.
        address = max(running, key=lambda a: zlib.crc32(a[0].encode() + flow))
        self.events.call_after(
            CALLER_DELAY_S, lambda: self._handle_caller_packet(address, data)
        )

    def _handle_caller_packet(self, address: Address, data: bytes) -> None:
        balancer = self._balancers[address]
        if balancer is None:
            return
        actions = balancer.handle_segment(decode_packet(data), self.events.now)
        self._execute_actions(address, actions)

    def _handle_server_packet(self, address: Address, data: bytes) -> None:
        agent = self._agents[address]
        if agent is None:
            return
        actions = agent.handle_server_segment(decode_packet(data), self.events.now)
        self._execute_actions(address, actions)

    def _receive_message(
        self, receiver: Address, sender: Address, message: Message
    ) -> None:
        now = self.events.now
        agent = self._agents.get(receiver)
        balancer = self._balancers.get(receiver)
        if agent is not None:
            match message:
                case DeclineSlot():
                    actions = agent.handle_decline(sender, now)
                case Subscribe():
                    actions = agent.handle_subscription(sender, message, now)
                case Relay(data):
                    actions = agent.handle_relay(sender, decode_packet(data), now)
                case OpenFlow():
                    segment = decode_packet(message.data)
                    actions = agent.handle_open(sender, message, segment, now)
                case LookupRequest():
                    actions = agent.handle_lookup(sender, message, now)
                case LookupProbe():
                    segment = decode_packet(message.data)
                    actions = agent.handle_lookup_probe(sender, message, segment, now)
            self._execute_actions(receiver, actions)
        elif balancer is not None:
            if isinstance(message, ReturnPacket):
                segment = decode_packet(message.data)
                actions = balancer.handle_returned_packet(sender, segment, now)
            else:
                actions = balancer.handle_message(sender, message, now)
            self._execute_actions(receiver, actions)

    def _execute_actions(self, node: Address, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case SendMessage(address, message):
                    self._send_message(node, address, message)
                case DeliverToServer(data):
                    server = self._servers[node]
                    self.events.call_after(
                        0, lambda s=server, d=data: s.handle_packet(d)
                    )
                case DeliverToCaller(_, data):
                    self._send_to_caller(data)
                case ConfirmMembers():
                    # All balancers of the model learn of member changes immediately,
                    # so the membership is confirmed without a lookup.
                    balancer = self._balancers[node]
                    self._execute_actions(
                        node, balancer.confirm_members(self.events.now)
                    )
                case ResetCaller(flow, sequence):
                    if sequence and any(s.has_flow(flow) for s in self.servers):
                        self.report.broken_flows += 1
                    self._send_to_caller(encode_packet(flow, RST, sequence, 0))
                case Decision():
                    self.decisions.append((self.events.now, action))
                case Count(name, reason, amount):
                    previous = self.counts.get((name, reason), 0)
                    self.counts[name, reason] = previous + amount

    def _send_message(
        self, sender: Address, receiver: Address, message: Message
    ) -> None:
        if self._partitioned & {sender, receiver}:
            return
        self.events.call_after(
            NODE_DELAY_S, lambda: self._receive_message(receiver, sender, message)
        )

    def _send_to_caller(self, data: bytes) -> None:
        segment = decode_packet(data)
        caller = self._callers[segment.flow[:4]]
        self.events.call_after(CALLER_DELAY_S, lambda: caller.handle_segment(segment))

    def _run_timers(self) -> None:
        now = self.events.now
        for address, node in [*self._balancers.items(), *self._agents.items()]:
            if node is not None and node.compute_wait(now) <= 0:
                self._execute_actions(address, node.run_timers(now))
        self.events.call_after(TIMER_PERIOD_S, self._run_timers)


def _get_endpoint(group: int) -> bytes:
    return SERVICE_HOST + struct.pack("!H", FIRST_PORT + group)


def _get_balancer_address(number: int) -> Address:
    return f"10.0.0.{number + 1}", PORT


def _get_agent_address(number: int) -> Address:
    return f"10.0.1.{number + 1}", PORT
