"""Callers with TCP flows, and the backend servers' side of these flows."""

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
TALK_PERIOD_S = 5.0
RESEND_S = 1.0
# Longer than a failed owner, its detection and a query of all members take together.
STUCK_S = 30.0
NO_NEW_WORK_AFTER_S = 3.0


@attrs.define(eq=False)
class FlowCaller:
    """A caller with one flow.

    Parameters
    ----------
    flow : bytes
        Flow key.
    service, zone : str
        Service, and availability zone of the caller.
    state : str
        ``opening``, ``open``, ``closing``, ``closed``, ``refused`` or ``reset``.
    server : str
        Backend server that answered first.
    server_number : int
        Initial sequence number of that server's connection.
    excuse : str
        Why the flow may end: its backend server failed, its zone is out, it is cut off.
    waits_since_s : float or None
        Time of the oldest packet without an answer.
    """

    flow: bytes
    service: str
    zone: str
    state: str = "opening"
    server: str = ""
    server_number: int = 0
    excuse: str = ""
    waits_since_s: float | None = None
    sent_s: float = 0.0


class FlowCallers:
    """Open, use and close flows, and judge what happens to them.

    Parameters
    ----------
    world : World
        Balancers, agents, time and measures.
    source : random.Random
        Source of times and choices.
    """

    def __init__(self, world, source: random.Random) -> None:
        self._world = world
        self._source = source
        self._callers: dict[bytes, FlowCaller] = {}
        self._connections: set[tuple[str, bytes]] = set()
        self._number = 0

    def open(self, table: Table, count: int, spread_s: float) -> None:
        """Open `count` flows within `spread_s` seconds."""
        for _ in range(count):
            self._number += 1
            flow = _build_flow(self._number, table)
            zone = self._source.choice(self._world.zones)
            caller = FlowCaller(flow, table.service, zone)
            self._callers[flow] = caller
            delay_s = self._source.random() * spread_s
            self._world.carrier.schedule(delay_s, self._send, caller)

    def close(self, service: str, count: int) -> None:
        """Close `count` open flows of a service."""
        open_callers = self._list_open(service)
        for caller in self._source.sample(open_callers, min(count, len(open_callers))):
            caller.state = "closing"
            self._send(caller)

    def excuse_server(self, server: str, reason: str) -> None:
        """Note that the flows of `server` may end from now on."""
        for caller in self._callers.values():
            if caller.server == server:
                caller.excuse = reason

    def drop_connections(self, server: str) -> None:
        """Forget the connections of a backend server that failed."""
        kept = {pair for pair in self._connections if pair[0] != server}
        self._connections = kept

    def count_open(self, service: str) -> dict[str, int]:
        """Return the open flows of a service by backend server."""
        counts: dict[str, int] = {}
        for caller in self._list_open(service):
            counts[caller.server] = counts.get(caller.server, 0) + 1
        return counts

    def summarise(self) -> None:
        """Keep the number of flows in each state."""
        for caller in self._callers.values():
            self._world.measures.add(f"flows_{caller.state}")

    def run_timers(self) -> None:
        """Send and repeat packets; called four times a second."""
        now = self._world.carrier.now
        talk = 0.25 / TALK_PERIOD_S
        for caller in list(self._callers.values()):
            if caller.state not in ("opening", "open", "closing"):
                continue
            if caller.waits_since_s is None:
                if caller.state == "open" and self._source.random() < talk:
                    self._send(caller)
            elif now - caller.waits_since_s > STUCK_S:
                self._end_stuck(caller)
            elif now - caller.sent_s >= RESEND_S:
                self._send(caller)
            if caller.state == "open" and self._source.random() < talk / 2:
                self._push(caller)

    def take_action(self, node, action) -> None:
        """Carry out what the flow controller of `node` decided."""
        match action:
            case Deliver(service_id, flow, packet):
                self._deliver(node, service_id, flow, packet)
            case ResetCaller(flow):
                self._world.carrier.schedule(
                    self._world.carrier.draw_delay(), self._reset, node, flow
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
        world = self._world
        caller.sent_s = world.carrier.now
        if caller.waits_since_s is None:
            caller.waits_since_s = world.carrier.now
        next_number = caller.server_number + 1
        match caller.state:
            case "opening":
                packet = build_segment(caller.flow, 100, 0, SYN)
            case "closing":
                packet = build_segment(caller.flow, 101, next_number, FIN | ACK)
            case _:
                packet = build_segment(caller.flow, 101, next_number, ACK | PUSH)
        world.enter_packet(caller.zone, packet)

    def _push(self, caller: FlowCaller) -> None:
        """Let the backend server send, and the caller acknowledge."""
        node = self._world.agents.get(caller.server)
        if node is None or (caller.server, caller.flow) not in self._connections:
            return
        number = caller.server_number + 1
        packet = build_segment(reverse_flow(caller.flow), number, 101, ACK | PUSH)
        node.call(node.handle_flow, OutboundPacketSent(caller.flow, packet))
        if not self._world.is_cut_off(caller.zone, caller.server):
            answer = build_segment(caller.flow, 101, number, ACK)
            self._world.enter_packet(caller.zone, answer)

    def _deliver(self, node, service_id: int, flow: bytes, packet: bytes) -> None:
        caller = self._callers.get(flow)
        if caller is None:
            return
        if service_id != compute_service_id(caller.service):
            self._world.measures.violate("wrong_service", f"{node.name} {caller}")
        flags = packet[FLAGS_OFFSET]
        is_first = flags & (SYN | ACK) == SYN
        key = (node.name, flow)
        if is_first and key not in self._connections:
            self._connections.add(key)
            self._check_admission(node, caller)
        if key not in self._connections:
            node.call(node.handle_flow, DeliveryFailed(flow))
            return
        if caller.state == "open" and caller.server != node.name and not is_first:
            self._split(node, caller)
            return
        if flags & (SYN | FIN | PUSH):
            self._answer(node, caller, flags)

    def _split(self, node, caller: FlowCaller) -> None:
        """Judge a packet at a backend server that does not own the flow."""
        if caller.excuse:
            # A backend server answers a segment out of its connection by a reset.
            self._end(caller, f"reset by the backend server of {node.name}")
            return
        detail = f"{caller.flow.hex()} at {node.name}, owner {caller.server}"
        self._world.measures.violate("split_flows", detail)

    def _answer(self, node, caller: FlowCaller, flags: int) -> None:
        kind = ACK | flags & (FIN | SYN)
        number = _choose_number(node.name, caller.flow)
        packet = build_segment(reverse_flow(caller.flow), number, 101, kind)
        delay_s = self._world.carrier.draw_delay()
        node.call(node.handle_flow, OutboundPacketSent(caller.flow, packet))
        self._world.carrier.schedule(delay_s, self._take_answer, node, caller, kind)

    def _take_answer(self, node, caller: FlowCaller, kind: int) -> None:
        world = self._world
        if world.is_cut_off(caller.zone, node.name):
            return
        if caller.state == "opening" and kind & SYN:
            caller.state, caller.server = "open", node.name
            caller.server_number = _choose_number(node.name, caller.flow)
            # The backend server may have gone while its answer was on the way.
            caller.excuse = world.find_departure(node)
            world.measures.add("opened_flows")
        if caller.state == "closing" and kind & FIN:
            caller.state = "closed"
            last = build_segment(caller.flow, 102, caller.server_number + 2, ACK)
            world.enter_packet(caller.zone, last)
        if node.name == caller.server:
            caller.waits_since_s = None

    def _reset(self, node, flow: bytes) -> None:
        caller = self._callers.get(flow)
        if caller is None or self._world.is_cut_off(caller.zone, node.name):
            return
        if caller.state == "opening":
            caller.state = "refused"
            self._world.measures.add("refused_flows")
        elif caller.state in ("open", "closing"):
            self._end(caller, f"reset by {node.name}")

    def _end_stuck(self, caller: FlowCaller) -> None:
        if self._world.is_disturbed(caller.zone, caller.server):
            caller.waits_since_s = self._world.carrier.now
            return
        if caller.state == "opening":
            caller.state = "refused"
            self._world.measures.add("unanswered_opens")
            return
        if caller.state == "closing":
            # The last packets of a close may be lost together with its answer.
            caller.state = "closed"
            self._world.measures.add("unanswered_closes")
            return
        if caller.excuse:
            self._world.measures.add("silent_flows")
        self._end(caller, f"no answer for {STUCK_S:g} s")

    def _end(self, caller: FlowCaller, reason: str) -> None:
        was_closing = caller.state == "closing"
        caller.state = "reset"
        excuse = caller.excuse or self._world.find_excuse(caller.zone, caller.server)
        if excuse:
            self._world.measures.add(f"ended_flows_{excuse}")
        elif not was_closing:
            detail = f"{caller.flow.hex()} at {caller.server}: {reason}"
            self._world.measures.violate("broken_flows", detail)

    def _check_admission(self, node, caller: FlowCaller) -> None:
        world = self._world
        count = sum(
            load.flows
            for load in node.controller.list_loads()
            if load.service_id == compute_service_id(caller.service)
        )
        table = node.view.tables.get(caller.service)
        row = None if table is None else table.get_member(node.name)
        cap = 0 if row is None else row.max_flows
        if count > cap:
            world.measures.violate("over_cap", f"{node.name} {count} of {cap}")
        settings = node.flow_settings
        age = (world.carrier.now - node.started_s) / settings.warm_up_s
        fraction = settings.initial_fraction + (1 - settings.initial_fraction) * age
        if count > max(1, cap * min(1.0, fraction)):
            detail = f"{node.name} {count} of {cap} at {fraction:.2f}"
            world.measures.violate("over_cold_curve", detail)
        drained_for_s = world.carrier.now - node.drained_s
        if node.is_draining and drained_for_s > NO_NEW_WORK_AFTER_S:
            world.measures.violate("late_drain_work", f"{node.name} {caller.service}")


def build_forward(route, packet: bytes) -> Forward:
    """Return the message with which a balancer passes on a packet."""
    return Forward(route.service_id, route.table_version, route.flow, 0, False, packet)


def _choose_number(server: str, flow: bytes) -> int:
    """Return the initial sequence number of a connection, which differs by server."""
    return zlib.crc32(server.encode() + flow) >> 1


def _build_flow(number: int, table: Table) -> bytes:
    destination = bytes(int(part) for part in table.address.split("."))
    source = struct.pack("!I", 0x0A100000 + number)
    ports = struct.pack("!HH", 1024 + number % 60_000, table.port)
    return bytes((int(table.protocol),)) + source + destination + ports
