"""Callers with TCP flows, and the backend servers' ends of these flows."""

import random
import struct
import zlib

import attrs

from bramleystair.flows import (
    CloseFlow,
    Deliver,
    DeliveryFailed,
    OutboundPacketSent,
    ResetCaller,
    ResetServer,
)
from bramleystair.packets import build_segment, reverse_flow
from bramleystair.tables import Table, compute_service_id
from bramleystair.wire import Forward

FIN, SYN, RST, PUSH, ACK = 1, 2, 4, 8, 16
FLAGS_OFFSET = 33
SEND_INTERVAL_S = 5.0
RETRANSMIT_INTERVAL_S = 1.0
# Exceeds the time to detect a failed owner and to query all members.
RESPONSE_TIMEOUT_S = 30.0
DRAIN_GRACE_S = 3.0


@attrs.define(eq=False)
class FlowCaller:
    """A caller with one flow, and its state.

    Parameters
    ----------
    flow : bytes
        Flow key.
    service, zone : str
        Service, and availability zone of the caller.
    state : str
        ``opening``, ``open``, ``closing``, ``closed``, ``refused`` or ``reset``.
    server : str
        Backend server that established the flow.
    server_sequence : int
        Initial sequence number of that server's connection.
    end_cause : str
        Fault that explains an end of the flow: ``server`` when its backend server
        failed, ``zone`` when its zone was taken out of service; empty without one.
    unanswered_since_s : float or None
        Time of the oldest packet without a response.
    """

    flow: bytes
    service: str
    zone: str
    state: str = "opening"
    server: str = ""
    server_sequence: int = 0
    end_cause: str = ""
    unanswered_since_s: float | None = None
    sent_s: float = 0.0


class FlowCallers:
    """Open, use and close flows, and check that each end has a cause.

    Parameters
    ----------
    simulation : Simulation
        Balancers, agents, scheduler and measures.
    rng : random.Random
        Random numbers for times and choices.
    """

    def __init__(self, simulation, rng: random.Random) -> None:
        self._simulation = simulation
        self._rng = rng
        self._callers: dict[bytes, FlowCaller] = {}
        self._connections: set[tuple[str, bytes]] = set()
        self._number = 0

    def open_flows(self, table: Table, count: int, spread_s: float) -> None:
        """Open `count` flows at random times within `spread_s` seconds."""
        for _ in range(count):
            self._number += 1
            flow = _build_flow(self._number, table)
            zone = self._rng.choice(self._simulation.zones)
            caller = FlowCaller(flow, table.service, zone)
            self._callers[flow] = caller
            delay_s = self._rng.random() * spread_s
            self._simulation.scheduler.schedule(delay_s, self._send, caller)

    def close_flows(self, service: str, count: int) -> None:
        """Close up to `count` random established flows of a service."""
        open_callers = self._list_open(service)
        for caller in self._rng.sample(open_callers, min(count, len(open_callers))):
            caller.state = "closing"
            self._send(caller)

    def expect_flow_ends(self, server: str, reason: str) -> None:
        """Accept ends of the current flows of `server`, with `reason` as the cause."""
        for caller in self._callers.values():
            if caller.server == server:
                caller.end_cause = reason

    def drop_connections(self, server: str) -> None:
        """Remove the connections of a failed backend server."""
        remaining = {pair for pair in self._connections if pair[0] != server}
        self._connections = remaining

    def count_open(self, service: str) -> dict[str, int]:
        """Return the number of established flows of a service by backend server."""
        counts: dict[str, int] = {}
        for caller in self._list_open(service):
            counts[caller.server] = counts.get(caller.server, 0) + 1
        return counts

    def record_totals(self) -> None:
        """Record the number of flows in each state."""
        for caller in self._callers.values():
            self._simulation.measures.increment(f"flows_{caller.state}")

    def run_timers(self) -> None:
        """Send and retransmit packets; must be called four times a second."""
        now = self._simulation.scheduler.now
        send_probability = 0.25 / SEND_INTERVAL_S
        for caller in list(self._callers.values()):
            if caller.state not in ("opening", "open", "closing"):
                continue
            if caller.unanswered_since_s is None:
                if caller.state == "open" and self._rng.random() < send_probability:
                    self._send(caller)
            elif now - caller.unanswered_since_s > RESPONSE_TIMEOUT_S:
                self._handle_response_timeout(caller)
            elif now - caller.sent_s >= RETRANSMIT_INTERVAL_S:
                self._send(caller)
            if caller.state == "open" and self._rng.random() < send_probability / 2:
                self._send_from_server(caller)

    def execute_action(self, node, action) -> None:
        """Execute an action of the flow controller of `node`."""
        match action:
            case Deliver(service_id, flow, packet):
                self._deliver(node, service_id, flow, packet)
            case ResetCaller(flow):
                self._simulation.scheduler.schedule(
                    self._simulation.scheduler.sample_delay(), self._reset, node, flow
                )
            case CloseFlow(flow) | ResetServer(flow):
                self._connections.discard((node.name, flow))

    def _list_open(self, service: str) -> list[FlowCaller]:
        return [
            caller
            for caller in self._callers.values()
            if caller.state == "open" and caller.service == service
        ]

    def _send(self, caller: FlowCaller) -> None:
        simulation = self._simulation
        caller.sent_s = simulation.scheduler.now
        if caller.unanswered_since_s is None:
            caller.unanswered_since_s = simulation.scheduler.now
        acknowledgement = caller.server_sequence + 1
        match caller.state:
            case "opening":
                packet = build_segment(caller.flow, 100, 0, SYN)
            case "closing":
                packet = build_segment(caller.flow, 101, acknowledgement, FIN | ACK)
            case _:
                packet = build_segment(caller.flow, 101, acknowledgement, ACK | PUSH)
        simulation.send_caller_packet(caller.zone, packet)

    def _send_from_server(self, caller: FlowCaller) -> None:
        """Send a segment from the backend server and acknowledge it as the caller."""
        node = self._simulation.agents.get(caller.server)
        if node is None or (caller.server, caller.flow) not in self._connections:
            return
        sequence = caller.server_sequence + 1
        packet = build_segment(reverse_flow(caller.flow), sequence, 101, ACK | PUSH)
        node.dispatch(node.handle_flow_event, OutboundPacketSent(caller.flow, packet))
        if not self._simulation.is_unreachable(caller.zone, caller.server):
            acknowledgement = build_segment(caller.flow, 101, sequence, ACK)
            self._simulation.send_caller_packet(caller.zone, acknowledgement)

    def _deliver(self, node, service_id: int, flow: bytes, packet: bytes) -> None:
        caller = self._callers.get(flow)
        if caller is None:
            return
        if service_id != compute_service_id(caller.service):
            self._simulation.measures.record_violation(
                "wrong_service", f"{node.name} {caller}"
            )
        flags = packet[FLAGS_OFFSET]
        is_first = flags & (SYN | ACK) == SYN
        key = (node.name, flow)
        if is_first and key not in self._connections:
            self._connections.add(key)
            self._check_admission(node, caller)
        if key not in self._connections:
            node.dispatch(node.handle_flow_event, DeliveryFailed(flow))
            return
        if caller.state == "open" and caller.server != node.name and not is_first:
            self._handle_wrong_server(node, caller)
            return
        if flags & (SYN | FIN | PUSH):
            self._respond(node, caller, flags)

    def _handle_wrong_server(self, node, caller: FlowCaller) -> None:
        """Handle a packet at a backend server that does not own the flow."""
        if caller.end_cause:
            # A backend server resets segments that do not belong to its connection.
            self._end(caller, f"reset by the backend server of {node.name}")
            return
        detail = f"{caller.flow.hex()} at {node.name}, owner {caller.server}"
        self._simulation.measures.record_violation("split_flows", detail)

    def _respond(self, node, caller: FlowCaller, flags: int) -> None:
        response_flags = ACK | flags & (FIN | SYN)
        sequence = _compute_initial_sequence(node.name, caller.flow)
        packet = build_segment(reverse_flow(caller.flow), sequence, 101, response_flags)
        delay_s = self._simulation.scheduler.sample_delay()
        node.dispatch(node.handle_flow_event, OutboundPacketSent(caller.flow, packet))
        self._simulation.scheduler.schedule(
            delay_s, self._handle_response, node, caller, response_flags
        )

    def _handle_response(self, node, caller: FlowCaller, response_flags: int) -> None:
        simulation = self._simulation
        if simulation.is_unreachable(caller.zone, node.name):
            return
        if caller.state == "opening" and response_flags & SYN:
            caller.state, caller.server = "open", node.name
            caller.server_sequence = _compute_initial_sequence(node.name, caller.flow)
            # The backend server may have failed while its response was in transit.
            caller.end_cause = simulation.find_removal_cause(node)
            simulation.measures.increment("opened_flows")
        if caller.state == "closing" and response_flags & FIN:
            caller.state = "closed"
            acknowledgement = build_segment(
                caller.flow, 102, caller.server_sequence + 2, ACK
            )
            simulation.send_caller_packet(caller.zone, acknowledgement)
        if node.name == caller.server:
            caller.unanswered_since_s = None

    def _reset(self, node, flow: bytes) -> None:
        caller = self._callers.get(flow)
        if caller is None or self._simulation.is_unreachable(caller.zone, node.name):
            return
        if caller.state == "opening":
            caller.state = "refused"
            self._simulation.measures.increment("refused_flows")
        elif caller.state in ("open", "closing"):
            self._end(caller, f"reset by {node.name}")

    def _handle_response_timeout(self, caller: FlowCaller) -> None:
        if self._simulation.is_disrupted(caller.zone, caller.server):
            caller.unanswered_since_s = self._simulation.scheduler.now
            return
        if caller.state == "opening":
            caller.state = "refused"
            self._simulation.measures.increment("unanswered_opens")
            return
        if caller.state == "closing":
            # The last packets of a close may be lost together with the response.
            caller.state = "closed"
            self._simulation.measures.increment("unanswered_closes")
            return
        if caller.end_cause:
            self._simulation.measures.increment("silent_flows")
        self._end(caller, f"no answer for {RESPONSE_TIMEOUT_S:g} s")

    def _end(self, caller: FlowCaller, reason: str) -> None:
        was_closing = caller.state == "closing"
        caller.state = "reset"
        end_cause = caller.end_cause or self._simulation.find_disruption(
            caller.zone, caller.server
        )
        if end_cause:
            self._simulation.measures.increment(f"ended_flows_{end_cause}")
        elif not was_closing:
            detail = f"{caller.flow.hex()} at {caller.server}: {reason}"
            self._simulation.measures.record_violation("broken_flows", detail)

    def _check_admission(self, node, caller: FlowCaller) -> None:
        simulation = self._simulation
        count = sum(
            load.flows
            for load in node.controller.list_loads()
            if load.service_id == compute_service_id(caller.service)
        )
        table = node.view.tables.get(caller.service)
        member = None if table is None else table.get_member(node.name)
        limit = 0 if member is None else member.max_flows
        if count > limit:
            simulation.measures.record_violation(
                "over_cap", f"{node.name} {count} of {limit}"
            )
        settings = node.flow_settings
        warm_up_share = (simulation.scheduler.now - node.started_s) / settings.warm_up_s
        admitted_share = (
            settings.initial_fraction + (1 - settings.initial_fraction) * warm_up_share
        )
        if count > max(1, limit * min(1.0, admitted_share)):
            detail = f"{node.name} {count} of {limit} at {admitted_share:.2f}"
            simulation.measures.record_violation("over_cold_curve", detail)
        drained_for_s = simulation.scheduler.now - node.drained_s
        if node.is_draining and drained_for_s > DRAIN_GRACE_S:
            simulation.measures.record_violation(
                "late_drain_work", f"{node.name} {caller.service}"
            )


def build_forward(route, packet: bytes) -> Forward:
    """Return the message in which a balancer forwards a packet to an agent."""
    return Forward(route.service_id, route.table_version, route.flow, 0, False, packet)


def _compute_initial_sequence(server: str, flow: bytes) -> int:
    """Return the server's initial sequence number; it depends on server and flow."""
    return zlib.crc32(server.encode() + flow) >> 1


def _build_flow(number: int, table: Table) -> bytes:
    destination = bytes(int(part) for part in table.address.split("."))
    source = struct.pack("!I", 0x0A100000 + number)
    ports = struct.pack("!HH", 1024 + number % 60_000, table.port)
    return bytes((int(table.protocol),)) + source + destination + ports
