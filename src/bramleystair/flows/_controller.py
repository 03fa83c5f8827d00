"""State machine that decides what an agent does with flows."""

import random as random_module

from bramleystair.actions import Count, Send
from bramleystair.flows import _events as events
from bramleystair.flows._admission import Admission
from bramleystair.flows._cold_start import ColdStart
from bramleystair.flows._entries import FlowEntry, WaitingFlow
from bramleystair.flows._events import FlowAction, FlowEvent
from bramleystair.flows._placement import Load, rank_targets
from bramleystair.flows._settings import FlowSettings
from bramleystair.packets import PacketHeaders, read_headers
from bramleystair.packets._headers import TCP
from bramleystair.routing import find_home
from bramleystair.tables import Member
from bramleystair.views import View
from bramleystair.wire import (
    FlowQuery,
    FlowQueryReply,
    Forward,
    LoadReport,
    Message,
    PlaceReply,
    RedirectDrop,
    RedirectPut,
    ServiceLoad,
)


class FlowController:
    """Own the flows of one backend server and the redirects registered here.

    Parameters
    ----------
    server, zone : str
        Name of the backend server and its availability zone.
    incarnation : int
        Number of this lifetime of the agent.
    settings : FlowSettings
        Limits and intervals.
    random : random.Random
        Source of the random choice of candidates.
    """

    def __init__(
        self,
        server: str,
        zone: str,
        incarnation: int,
        settings: FlowSettings,
        random: random_module.Random,
    ) -> None:
        self._server = server
        self._zone = zone
        self._incarnation = incarnation
        self._settings = settings
        self._random = random
        self._view = View()
        self._cold_start = ColdStart(settings.initial_fraction, settings.warm_up_s)
        self._admission = Admission(settings, self._cold_start)
        self._flows: dict[bytes, FlowEntry] = {}
        self._flow_counts: dict[int, int] = {}
        self._redirects: dict[bytes, tuple[int, str]] = {}
        self._waiting: dict[bytes, WaitingFlow] = {}
        self._loads: dict[tuple[int, str], tuple[float, ServiceLoad]] = {}
        self._unsettled_until_s = 0.0
        self._now = 0.0
        self._actions: list[FlowAction] = []

    @property
    def flow_count(self) -> int:
        """Number of flows owned."""
        return len(self._flows)

    def list_flows(self) -> tuple[bytes, ...]:
        """Return the keys of the flows owned."""
        return tuple(self._flows)

    def list_loads(self) -> tuple[ServiceLoad, ...]:
        """Return flows and present limit for each service of this server."""
        return tuple(
            ServiceLoad(
                service_id,
                flows=self._flow_counts.get(service_id, 0),
                flow_limit=self._compute_limit(member),
            )
            for service_id, member in self._list_rows()
        )

    def handle(self, event: FlowEvent, now: float) -> list[FlowAction]:
        """Return the actions that `event` at time `now` in seconds calls for."""
        self._now = now
        self._actions = []
        match event:
            case events.MessageArrived(sender, message):
                self._handle_message(sender, message)
            case events.OutboundSeen(flow, packet):
                self._record_outbound(flow, packet)
            case events.DeliveryFailed(flow):
                self._fail_delivery(flow)
            case events.ViewChanged(view):
                self._change_view(view)
            case events.DrainRequested():
                self._admission.is_draining = True
            case events.Tick():
                self._run_timers()
        return self._actions

    def _handle_message(self, sender: str, message: Message) -> None:
        match message:
            case Forward():
                self._handle_forward(sender, message)
            case PlaceReply():
                self._handle_place_reply(sender, message)
            case FlowQuery(service_id, flow):
                owner = self._find_owner(service_id, flow)
                self._send(sender, FlowQueryReply(service_id, flow, owner))
            case FlowQueryReply():
                self._handle_query_reply(sender, message)
            case RedirectPut(service_id, flows, owner):
                self._put_redirects(service_id, flows, owner)
            case RedirectDrop(service_id, flows, owner):
                self._drop_redirects(service_id, flows, owner)
            case LoadReport(loads):
                for load in loads:
                    self._loads[load.service_id, sender] = (self._now, load)

    def _handle_forward(self, sender: str, message: Forward) -> None:
        result = read_headers(message.packet)
        if result.is_err() or result.unwrap().flow != message.flow:
            self._count("packet_dropped", "malformed")
            return
        headers = result.unwrap()
        entry = self._flows.get(message.flow)
        if entry is not None and entry.service_id == message.service_id:
            self._deliver(entry, headers, message.packet)
            if message.place:
                self._reply_place(sender, message, "")
            return
        table = self._view.tables_by_id.get(message.service_id)
        if table is None or table.get_member(self._server) is None:
            self._count("flow_refused", "wrong_service")
            if message.place:
                self._reply_place(sender, message, "wrong_service")
            return
        if message.place:
            self._accept_placement(sender, message, headers)
            return
        redirect = self._redirects.get(message.flow)
        if redirect is not None and redirect[0] == message.service_id:
            self._pass_on(redirect[1], message)
            return
        self._start_flow(message, headers)

    def _deliver(self, entry: FlowEntry, headers: PacketHeaders, packet: bytes) -> None:
        entry.last_seen_s = self._now
        entry.unanswered = 0
        self._actions.append(events.Deliver(entry.service_id, headers.flow, packet))
        if headers.is_fin:
            entry.has_caller_fin = True
        if headers.is_reset:
            self._end_flow(headers.flow)

    def _pass_on(self, owner: str, message: Forward) -> None:
        if message.hops + 1 > self._settings.max_hops:
            self._count("packet_dropped", "hops")
            return
        self._send(
            owner,
            Forward(
                message.service_id,
                message.table_version,
                message.flow,
                message.hops + 1,
                False,
                message.packet,
            ),
        )

    def _start_flow(self, message: Forward, headers: PacketHeaders) -> None:
        waiting = self._waiting.get(message.flow)
        if waiting is not None:
            self._queue_packet(waiting, message.packet)
            return
        if len(self._waiting) >= self._settings.queue_flows:
            self._count("packet_dropped", "queue_flows")
            return
        is_first = headers.is_first or headers.protocol != TCP
        waiting = WaitingFlow(
            message.service_id,
            is_first,
            self._now + self._settings.query_timeout_s,
            self._now + self._settings.place_retry_s,
            [message.packet],
        )
        self._waiting[message.flow] = waiting
        if is_first and self._is_settled(message):
            self._place_flow(message.flow, waiting)
            return
        self._query_members(message.flow, waiting)

    def _is_settled(self, message: Forward) -> bool:
        table = self._view.tables_by_id[message.service_id]
        if self._now < self._unsettled_until_s:
            return False
        return message.table_version == table.version

    def _queue_packet(self, waiting: WaitingFlow, packet: bytes) -> None:
        if len(waiting.packets) >= self._settings.queue_packets_per_flow:
            self._count("packet_dropped", "queue_packets")
            return
        waiting.packets.append(packet)

    def _query_members(self, flow: bytes, waiting: WaitingFlow) -> None:
        waiting.members = {
            member.server
            for member in self._view.list_reachable(waiting.service_id)
            if member.server != self._server
        }
        for server in sorted(waiting.members):
            self._send(server, FlowQuery(waiting.service_id, flow))
        if not waiting.members:
            self._end_query(flow, waiting)

    def _end_query(self, flow: bytes, waiting: WaitingFlow) -> None:
        if waiting.is_first:
            self._place_flow(flow, waiting)
            return
        del self._waiting[flow]
        self._actions.append(events.ResetCaller(flow, waiting.packets[-1]))
        self._count("flow_broken", "unknown")

    def _place_flow(self, flow: bytes, waiting: WaitingFlow) -> None:
        waiting.deadline_s = self._now + self._settings.place_timeout_s
        waiting.targets = self._choose_targets(waiting.service_id)
        self._try_target(flow, waiting)

    def _choose_targets(self, service_id: int) -> list[str]:
        candidates = self._view.list_candidates(service_id)
        loads = [
            self._read_load(service_id, candidate.server, candidate.weight)
            for candidate in candidates
        ]
        others = [load.server for load in loads if load.server != self._server]
        considered = self._random.sample(others, min(2, len(others)))
        if len(others) < len(loads):
            considered.append(self._server)
        if not considered:
            return []
        return rank_targets(
            self._server, considered, loads, self._settings.place_margin
        )

    def _read_load(self, service_id: int, server: str, weight: float) -> Load:
        member = self._view.tables_by_id[service_id].get_member(server)
        if server == self._server:
            flows = self._flow_counts.get(service_id, 0)
            return Load(server, weight, flows, self._compute_limit(member))
        known = self._loads.get((service_id, server))
        if known is None or self._now - known[0] > self._settings.load_fresh_s:
            return Load(server, weight, member.max_flows, member.max_flows)
        limit = min(member.max_flows, known[1].flow_limit)
        return Load(server, weight, known[1].flows, limit)

    def _try_target(self, flow: bytes, waiting: WaitingFlow) -> None:
        while waiting.targets and waiting.targets[0] == self._server:
            reason = self._check_admission(waiting.service_id)
            if not reason:
                self._take_waiting(flow, waiting)
                return
            self._count("place_refused", reason)
            waiting.targets.pop(0)
        if not waiting.targets:
            del self._waiting[flow]
            self._refuse_flow(flow, waiting.packets[0], "no_candidate")
            return
        self._send_placement(flow, waiting)

    def _send_placement(self, flow: bytes, waiting: WaitingFlow) -> None:
        waiting.retry_s = self._now + self._settings.place_retry_s
        table = self._view.tables_by_id[waiting.service_id]
        self._send(
            waiting.targets[0],
            Forward(
                waiting.service_id, table.version, flow, 0, True, waiting.packets[0]
            ),
        )

    def _take_waiting(self, flow: bytes, waiting: WaitingFlow) -> None:
        del self._waiting[flow]
        entry = self._create_entry(waiting.service_id, flow)
        for packet in waiting.packets:
            self._deliver(entry, read_headers(packet).unwrap(), packet)

    def _accept_placement(
        self, sender: str, message: Forward, headers: PacketHeaders
    ) -> None:
        reason = self._check_admission(message.service_id)
        self._reply_place(sender, message, reason)
        if reason:
            self._count("flow_refused", reason)
            return
        entry = self._create_entry(message.service_id, message.flow)
        self._deliver(entry, headers, message.packet)

    def _reply_place(self, sender: str, message: Forward, reason: str) -> None:
        self._send(
            sender,
            PlaceReply(message.service_id, message.flow, not reason, reason),
        )

    def _handle_place_reply(self, sender: str, message: PlaceReply) -> None:
        flow = message.flow
        waiting = self._waiting.get(flow)
        if waiting is None or waiting.targets[:1] != [sender]:
            return
        if not message.accepted:
            waiting.targets.pop(0)
            self._try_target(flow, waiting)
            return
        del self._waiting[flow]
        self._redirects[flow] = (waiting.service_id, sender)
        for packet in waiting.packets[1:]:
            self._send(sender, Forward(waiting.service_id, 0, flow, 1, False, packet))

    def _find_owner(self, service_id: int, flow: bytes) -> str:
        entry = self._flows.get(flow)
        if entry is not None and entry.service_id == service_id:
            return self._server
        redirect = self._redirects.get(flow)
        if redirect is not None and redirect[0] == service_id:
            return redirect[1]
        return ""

    def _handle_query_reply(self, sender: str, message: FlowQueryReply) -> None:
        flow = message.flow
        waiting = self._waiting.get(flow)
        if waiting is None or sender not in waiting.members:
            return
        if message.owner and message.owner != self._server:
            del self._waiting[flow]
            self._redirects[flow] = (waiting.service_id, message.owner)
            for packet in waiting.packets:
                forward = Forward(waiting.service_id, 0, flow, 1, False, packet)
                self._send(message.owner, forward)
            return
        waiting.members.discard(sender)
        if not waiting.members:
            self._end_query(flow, waiting)

    def _put_redirects(
        self, service_id: int, flows: tuple[bytes, ...], owner: str
    ) -> None:
        for flow in flows:
            if flow not in self._flows and owner != self._server:
                self._redirects[flow] = (service_id, owner)

    def _drop_redirects(
        self, service_id: int, flows: tuple[bytes, ...], owner: str
    ) -> None:
        for flow in flows:
            if self._redirects.get(flow) == (service_id, owner):
                del self._redirects[flow]

    def _check_admission(self, service_id: int) -> str:
        table = self._view.tables_by_id.get(service_id)
        member = table.get_member(self._server) if table else None
        in_service = member is not None and self._is_member_in_service(member)
        flows = self._flow_counts.get(service_id, 0)
        return self._admission.check(member, in_service, flows, self._now)

    def _is_member_in_service(self, member: Member) -> bool:
        return self._view.is_in_service(member.zone) and self._view.is_in_service(
            self._zone
        )

    def _compute_limit(self, member: Member) -> int:
        if self._admission.is_draining or not self._is_member_in_service(member):
            return 0
        return self._cold_start.compute_limit(member.max_flows, self._now)

    def _list_rows(self) -> list[tuple[int, Member]]:
        rows = []
        for service_id, table in self._view.tables_by_id.items():
            member = table.get_member(self._server)
            if member is not None:
                rows.append((service_id, member))
        return rows

    def _create_entry(self, service_id: int, flow: bytes) -> FlowEntry:
        home = find_home(flow, self._view.list_candidates(service_id))
        place = (home.server, home.incarnation) if home else None
        entry = FlowEntry(service_id, place, self._now)
        self._flows[flow] = entry
        self._redirects.pop(flow, None)
        self._flow_counts[service_id] = self._flow_counts.get(service_id, 0) + 1
        return entry

    def _end_flow(self, flow: bytes) -> None:
        entry = self._flows.pop(flow)
        self._flow_counts[entry.service_id] -= 1
        self._actions.append(events.CloseFlow(flow))
        if entry.home is not None and entry.home[0] != self._server:
            drop = RedirectDrop(entry.service_id, (flow,), self._server)
            self._send(entry.home[0], drop)

    def _refuse_flow(self, flow: bytes, packet: bytes, reason: str) -> None:
        self._count("flow_refused", reason)
        self._actions.append(events.ResetCaller(flow, packet))

    def _record_outbound(self, flow: bytes, packet: bytes) -> None:
        entry = self._flows.get(flow)
        if entry is None:
            return
        entry.last_seen_s = self._now
        entry.is_established = True
        entry.unanswered += 1

    def _fail_delivery(self, flow: bytes) -> None:
        if flow not in self._flows:
            return
        self._end_flow(flow)
        self._actions.append(events.ResetCaller(flow, b""))
        self._count("flow_broken", "delivery_failed")

    def _change_view(self, view: View) -> None:
        self._view = view
        self._unsettled_until_s = self._now + self._settings.change_window_s
        self._register_flows()

    def _register_flows(self) -> None:
        moved: dict[tuple[int, str], list[bytes]] = {}
        for flow, entry in self._flows.items():
            home = find_home(flow, self._view.list_candidates(entry.service_id))
            place = (home.server, home.incarnation) if home else None
            if place == entry.home:
                continue
            entry.home = place
            if place is not None and place[0] != self._server:
                moved.setdefault((entry.service_id, place[0]), []).append(flow)
        for (service_id, home), flows in moved.items():
            self._send(home, RedirectPut(service_id, tuple(flows), self._server))

    def _run_timers(self) -> None:
        for flow, waiting in list(self._waiting.items()):
            if waiting.is_placing:
                self._run_placement(flow, waiting)
            elif self._now >= waiting.deadline_s:
                self._end_query(flow, waiting)

    def _run_placement(self, flow: bytes, waiting: WaitingFlow) -> None:
        if self._now >= waiting.deadline_s:
            del self._waiting[flow]
            self._refuse_flow(flow, waiting.packets[0], "place_timeout")
            return
        if self._now >= waiting.retry_s:
            self._send_placement(flow, waiting)

    def _send(self, peer: str, message: Message) -> None:
        self._actions.append(Send(peer, message))

    def _count(self, name: str, reason: str) -> None:
        self._actions.append(Count(name, reason))
