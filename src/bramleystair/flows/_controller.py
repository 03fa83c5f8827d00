"""State machine that decides what an agent does with flows."""

import random as random_module
from collections import deque

import attrs
from result import Err, Ok, Result

from bramleystair.errors import StepError
from bramleystair.flows import _events as events
from bramleystair.flows._admission import Admission
from bramleystair.flows._cold_start import ColdStart
from bramleystair.flows._entries import FlowEntry, WaitingFlow
from bramleystair.flows._events import FlowAction, FlowEvent
from bramleystair.flows._flow_table import FlowTable
from bramleystair.flows._outbox import Outbox
from bramleystair.flows._outcomes import OutcomeMonitor
from bramleystair.flows._placement import Load, Placement
from bramleystair.flows._redirects import Owner, Redirects
from bramleystair.flows._registration import Registrar
from bramleystair.flows._services import Service, Services
from bramleystair.flows._settings import TICK_PERIOD_S, FlowSettings
from bramleystair.flows._state import (
    SavedRedirect,
    SavedState,
    pack_state,
    unpack_state,
)
from bramleystair.packets import TCP, UDP, PacketHeaders, get_endpoint, read_headers
from bramleystair.tables import AgentState
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

# Ten ticks: an agent that heard nothing for so long was paused.
PAUSE_S = 10 * TICK_PERIOD_S


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
        self._services = Services(server, zone, settings.change_window_s)
        self._cold_start = ColdStart(settings.initial_fraction, settings.warm_up_s)
        self._outcomes = OutcomeMonitor()
        self._admission = Admission(settings, self._cold_start)
        self._outbox = Outbox()
        self._flows = FlowTable(server, settings, self._outbox)
        self._redirects = Redirects()
        self._registrar = Registrar(server, settings)
        self._rotated_s: float | None = None
        self._waiting: dict[bytes, WaitingFlow] = {}
        self._early: deque[tuple[float, str, Forward]] = deque()
        self._placement = Placement(server, settings, random)
        self._decisions: dict[bytes, tuple[float, str]] = {}
        self._inquiries: dict[bytes, tuple[float, str]] = {}
        self._now = 0.0
        self._down: frozenset[str] = frozenset()
        self._is_zone_out = False
        self._is_leaving = False
        self._settled_s: float | None = None

    @property
    def flow_count(self) -> int:
        """Number of flows owned."""
        return self._flows.open_count

    def list_flows(self) -> tuple[bytes, ...]:
        """Return the keys of the flows owned."""
        return self._flows.list_open()

    def list_loads(self) -> tuple[ServiceLoad, ...]:
        """Return flows and present limit for each service of this server."""
        return tuple(
            ServiceLoad(
                service.service_id,
                flows=self._flows.count(service.service_id),
                flow_limit=self._compute_limit(service),
            )
            for service in self._services.list_member_services()
        )

    def export_state(self) -> bytes:
        """Return what a planned upgrade preserves: flows, redirects, cold start."""
        redirects = tuple(
            SavedRedirect(service_id, flow, owner)
            for flow, (service_id, owner) in self._redirects.list_items()
        )
        age_s = self._cold_start.compute_age(self._now)
        return pack_state(SavedState(age_s, self._flows.save(), redirects))

    def import_state(self, data: bytes) -> Result[int, StepError]:
        """Take over exported state before the first event.

        Returns
        -------
        Result of int or StepError
            Number of flows; the error covers damaged and unknown bytes.
        """
        result = unpack_state(data)
        if result.is_err():
            return Err(result.unwrap_err())
        state = result.unwrap()
        self._cold_start.resume(state.age_s)
        for saved in state.flows:
            self._flows.restore(saved)
        for saved in state.redirects:
            self._redirects.put(saved.service_id, saved.flow, saved.owner)
        return Ok(len(state.flows))

    def handle(self, event: FlowEvent, now: float) -> list[FlowAction]:
        """Return the actions that `event` at time `now` in seconds calls for."""
        if now - self._now > PAUSE_S:
            # Others may have placed this agent's flows while it did not run.
            self._services.unsettle(now)
        self._now = now
        if type(event) is events.MessageArrived:
            # Compared by type first, because this is the path of each packet.
            if type(event.message) is Forward:
                self._handle_forward(event.sender, event.message)
            else:
                self._handle_message(event.sender, event.message)
            return self._outbox.take()
        match event:
            case events.OutboundSeen(flow, packet):
                self._record_outbound(flow, packet)
            case events.DeliveryFailed(flow):
                self._fail_delivery(flow)
            case events.OutcomeSeen(latency_s, is_shed):
                self._record_outcome(latency_s, is_shed)
            case events.LimitAdvised(fraction):
                self._cold_start.advise(fraction, now)
            case events.ViewChanged(view):
                self._change_view(view)
            case events.DrainRequested():
                self._is_leaving = True
                self._admission.is_draining = True
            case events.Tick():
                self._run_timers()
        return self._outbox.take()

    def _handle_message(self, sender: str, message: Message) -> None:
        match message:
            case PlaceReply():
                self._handle_place_reply(sender, message)
            case FlowQuery(service_id, flow):
                self._answer_query(sender, service_id, flow)
            case FlowQueryReply():
                self._handle_query_reply(sender, message)
            case RedirectPut():
                self._handle_registration(sender, message)
            case RedirectDrop(service_id, flows, owner):
                self._drop_redirects(service_id, flows, owner)
            case LoadReport(loads):
                self._placement.take_report(sender, loads, self._now)

    def _handle_forward(self, sender: str, message: Forward) -> None:
        headers = read_headers(message.packet).ok()
        if headers is None or headers.flow != message.flow:
            self._outbox.count("packet_dropped", "malformed")
            return
        entry = self._flows.entries.get(message.flow)
        if entry is not None and entry.service_id == message.service_id:
            if not (headers.is_first or message.place):
                self._deliver(entry, headers, message.packet)
                return
            if entry.ended_s is None or not headers.is_first:
                self._handle_repeated(sender, entry, message, headers)
                return
            # The caller uses its port again for a new flow.
            self._flows.end(message.flow)
        service = self._services.get(message.service_id)
        if (
            service is None
            or service.row is None
            or service.endpoint != get_endpoint(message.flow)
        ):
            self._refuse_or_keep(sender, service, message)
            return
        if message.place:
            self._accept_placement(sender, message, headers)
            return
        owner = self._redirects.get(message.service_id, message.flow)
        if owner and owner not in self._down:
            self._pass_on(owner, message)
            return
        if service.is_zone_out:
            # No reset: a member elsewhere may own the flow.
            self._outbox.count("flow_refused", "zone_out")
            return
        self._hold_unknown(sender, service, message, headers)

    def _handle_repeated(
        self, sender: str, entry: FlowEntry, message: Forward, headers: PacketHeaders
    ) -> None:
        if message.place:
            self._reply_place(sender, message, "")
            if headers.protocol == UDP:
                # A repeated placement; the datagram was delivered with the first one.
                return
        self._deliver(entry, headers, message.packet)

    def _refuse_or_keep(
        self, sender: str, service: Service | None, message: Forward
    ) -> None:
        owner = self._redirects.get(message.service_id, message.flow)
        if owner and not message.place:
            # Its row was removed, but not all balancers have the new table yet.
            self._pass_on(owner, message)
            return
        version = service.table.version if service else 0
        is_early = message.table_version > version and not message.place
        if not is_early or len(self._early) >= self._settings.queue_flows:
            self._refuse_service(sender, message)
            return
        due_s = self._now + self._settings.early_timeout_s
        self._early.append((due_s, sender, message))

    def _retry_early(self) -> None:
        early, self._early = self._early, deque()
        for due_s, sender, message in early:
            if self._now >= due_s:
                self._refuse_service(sender, message)
            else:
                self._handle_forward(sender, message)

    def _refuse_service(self, sender: str, message: Forward) -> None:
        self._outbox.count("flow_refused", "wrong_service")
        if message.place:
            self._reply_place(sender, message, "wrong_service")

    def _deliver(self, entry: FlowEntry, headers: PacketHeaders, packet: bytes) -> None:
        self._flows.record_inbound(entry, headers, self._now)
        self._outbox.add(events.Deliver(entry.service_id, headers.flow, packet))
        if entry.is_established or headers.is_first or headers.protocol != TCP:
            return
        self._establish(headers.flow, entry)

    def _establish(self, flow: bytes, entry: FlowEntry) -> None:
        if entry.is_established:
            return
        entry.is_established = True
        service = self._services.get(entry.service_id)
        if entry.home is None and service is not None:
            entry.home = service.find_home(flow)
            self._registrar.enqueue(flow)

    def _pass_on(self, owner: str, message: Forward) -> None:
        if message.hops >= self._settings.max_hops:
            # Redirects form a loop; without this one, the next packet is looked up.
            self._redirects.remove(message.flow)
            self._outbox.count("packet_dropped", "hops")
            return
        self._send_packet(owner, message, message.packet)

    def _send_packet(self, owner: str, message: Forward, packet: bytes) -> None:
        self._outbox.send(
            owner,
            Forward(
                message.service_id,
                message.table_version,
                message.flow,
                message.hops + 1,
                False,
                packet,
            ),
        )

    def _hold_unknown(
        self, sender: str, service: Service, message: Forward, headers: PacketHeaders
    ) -> None:
        flow = message.flow
        waiting = self._waiting.get(flow)
        if waiting is not None:
            self._queue_packet(waiting, message.packet)
            return
        if message.hops > 0 and not self._redirects.get(service.service_id, flow):
            # The sender's redirect is out of date.
            drop = RedirectDrop(service.service_id, (flow,), self._server)
            self._outbox.send(sender, drop)
        if len(self._waiting) >= self._settings.queue_flows:
            self._outbox.count("packet_dropped", "queue_flows")
            return
        is_opening = headers.is_first or headers.protocol == UDP
        waiting = WaitingFlow(service.service_id, is_opening, self._now)
        waiting.former_owner = self._redirects.get(service.service_id, flow)
        waiting.packets.append(message.packet)
        self._waiting[flow] = waiting
        if is_opening and self._is_settled(service, message):
            self._place_flow(flow, waiting)
            return
        self._query_members(flow, waiting)

    def _is_settled(self, service: Service, message: Forward) -> bool:
        # Otherwise another member may have placed the flow under another view.
        if message.hops > 0 or self._now < service.unsettled_until_s:
            return False
        if message.flow in self._inquiries:
            return False
        if self._redirects.get(service.service_id, message.flow):
            # The owner is reported down, which may be wrong.
            return False
        if message.table_version != service.table.version:
            return False
        home = service.find_home(message.flow)
        return home is not None and home[0] == self._server

    def _queue_packet(self, waiting: WaitingFlow, packet: bytes) -> None:
        if len(waiting.packets) >= self._settings.queue_packets_per_flow:
            self._outbox.count("packet_dropped", "queue_packets")
            return
        waiting.packets.append(packet)

    def _query_members(self, flow: bytes, waiting: WaitingFlow) -> None:
        timeout_s = self._settings.query_timeout_s
        if waiting.is_opening and flow[0] == TCP:
            timeout_s = self._settings.first_query_timeout_s
        waiting.deadline_s = self._now + timeout_s
        waiting.retry_s = self._now + self._settings.query_retry_s
        service = self._services.get(waiting.service_id)
        # A member that asked for the flow may not be in this agent's view yet.
        _, inquirer = self._inquiries.get(flow, (0.0, ""))
        for server in dict.fromkeys((*service.peers, inquirer)):
            if server:
                self._ask(flow, waiting, server)
        if self._has_all_answers(service, waiting):
            self._end_query(flow, waiting)

    def _has_all_answers(self, service: Service, waiting: WaitingFlow) -> bool:
        # Just after its start, the agent may not know where the other members are.
        is_new = self._now < (self._settled_s or 0.0)
        return not waiting.members and (service.is_complete or not is_new)

    def _ask(self, flow: bytes, waiting: WaitingFlow, server: str) -> None:
        waiting.asked.add(server)
        waiting.members.add(server)
        self._outbox.send(server, FlowQuery(waiting.service_id, flow))

    def _answer_query(self, sender: str, service_id: int, flow: bytes) -> None:
        entry = self._flows.get(service_id, flow)
        if entry is not None:
            is_owner, owner = entry.is_established, self._server
        else:
            is_owner, owner = False, self._find_owner(sender, service_id, flow)
            self._record_inquiry(sender, flow)
        self._outbox.send(sender, FlowQueryReply(service_id, flow, owner, is_owner))

    def _record_inquiry(self, sender: str, flow: bytes) -> None:
        self._inquiries.pop(flow, None)
        if len(self._inquiries) < self._settings.queue_flows:
            until_s = self._now + self._settings.place_timeout_s
            self._inquiries[flow] = (until_s, sender)

    def _find_owner(self, sender: str, service_id: int, flow: bytes) -> str:
        waiting = self._waiting.get(flow)
        if waiting is None or waiting.service_id != service_id:
            return self._redirects.get(service_id, flow)
        if waiting.is_placing:
            return self._server
        if not waiting.is_opening:
            return ""
        # Two members look up the same new flow: the lower name goes on with it.
        if self._server < sender:
            return self._server
        self._hand_over(flow, waiting, sender)
        return ""

    def _hand_over(self, flow: bytes, waiting: WaitingFlow, owner: str) -> None:
        del self._waiting[flow]
        self._redirects.put(waiting.service_id, flow, owner)
        service = self._services.get(waiting.service_id)
        version = service.table.version if service else 0
        first = Forward(waiting.service_id, version, flow)
        for packet in waiting.packets:
            self._send_packet(owner, first, packet)

    def _handle_query_reply(self, sender: str, message: FlowQueryReply) -> None:
        flow = message.flow
        waiting = self._waiting.get(flow)
        # An answer that names the sender counts even after an earlier one did not.
        if waiting is None or sender not in (*waiting.members, message.owner):
            return
        if waiting.is_placing:
            self._take_late_reply(sender, waiting, message)
            return
        if message.is_owner:
            self._hand_over(flow, waiting, sender)
            return
        waiting.members.discard(sender)
        if message.owner == sender:
            waiting.claims.append(sender)
        elif message.owner not in ("", self._server, *waiting.hints):
            # Its own answer may have preceded the event that the sender knows of.
            waiting.hints.append(message.owner)
            self._ask(flow, waiting, message.owner)
        service = self._services.get(waiting.service_id)
        if self._has_all_answers(service, waiting):
            self._end_query(flow, waiting)

    def _take_late_reply(
        self, sender: str, waiting: WaitingFlow, message: FlowQueryReply
    ) -> None:
        if message.is_owner and waiting.targets[0] != sender:
            self._abandon(waiting.targets[0], waiting.service_id, message.flow)
            self._hand_over(message.flow, waiting, sender)

    def _end_query(self, flow: bytes, waiting: WaitingFlow) -> None:
        silent = waiting.members - self._down
        unconfirmed = [hint for hint in waiting.hints if hint in silent]
        owners = [*waiting.claims, *unconfirmed]
        if owners:
            self._hand_over(flow, waiting, owners[0])
            return
        self._redirects.remove(flow)
        if waiting.is_opening:
            self._place_flow(flow, waiting)
            return
        del self._waiting[flow]
        self._reset_unknown(flow, waiting)

    def _reset_unknown(self, flow: bytes, waiting: WaitingFlow) -> None:
        for packet in waiting.packets:
            if not read_headers(packet).unwrap().is_reset:
                self._outbox.add(events.ResetCaller(flow, packet))
                self._outbox.count("flow_broken", "unknown")
                return
        self._outbox.count("packet_dropped", "unknown_reset")

    def _place_flow(self, flow: bytes, waiting: WaitingFlow) -> None:
        service = self._services.get(waiting.service_id)
        own = self._find_own_load(service)
        waiting.started_s = self._now
        waiting.deadline_s = self._now + self._settings.place_timeout_s
        waiting.targets = self._placement.rank(service, own, self._now)
        self._try_target(flow, waiting)

    def _find_own_load(self, service: Service) -> Load | None:
        if service.row is None or service.row.weight <= 0:
            return None
        if self._admission.is_draining or service.is_zone_out:
            return None
        flows = self._flows.count(service.service_id)
        limit = self._compute_limit(service)
        return Load(self._server, service.row.weight, flows, limit)

    def _try_target(self, flow: bytes, waiting: WaitingFlow) -> None:
        while waiting.targets and waiting.targets[0] == self._server:
            reason = self._check_admission(self._services.get(waiting.service_id))
            if not reason:
                self._take_waiting(flow, waiting)
                return
            self._outbox.count("flow_refused", reason)
            waiting.targets.pop(0)
        if not waiting.targets:
            del self._waiting[flow]
            self._reject_flow(flow, waiting.packets[0], "no_candidate")
            return
        self._send_placement(flow, waiting)

    def _send_placement(self, flow: bytes, waiting: WaitingFlow) -> None:
        waiting.retry_s = self._now + self._settings.place_retry_s
        table = self._services.get(waiting.service_id).table
        self._outbox.send(
            waiting.targets[0],
            Forward(
                waiting.service_id, table.version, flow, 0, True, waiting.packets[0]
            ),
        )

    def _take_waiting(self, flow: bytes, waiting: WaitingFlow) -> None:
        del self._waiting[flow]
        entry = self._flows.get(waiting.service_id, flow)
        if entry is None:
            service = self._services.get(waiting.service_id)
            entry = self._create_entry(service, flow, self._server)
        for packet in waiting.packets:
            self._deliver(entry, read_headers(packet).unwrap(), packet)

    def _accept_placement(
        self, sender: str, message: Forward, headers: PacketHeaders
    ) -> None:
        flow = message.flow
        until_s, reason = self._decisions.get(flow, (0.0, ""))
        if self._now < until_s:
            self._reply_place(sender, message, reason)
            return
        waiting = self._waiting.get(flow)
        owner = self._redirects.get(message.service_id, flow)
        if owner == sender or owner in self._down:
            # The sender was left the flow when both looked it up.
            owner = ""
        if owner or (waiting is not None and waiting.is_placing):
            # This agent places the flow, or has placed it, under another view.
            self._record_decision(flow, "")
            self._reply_place(sender, message, "")
            self._join_placement(owner, waiting, message)
            return
        service = self._services.get(message.service_id)
        reason = self._check_admission(service)
        self._reply_place(sender, message, reason)
        if reason:
            self._outbox.count("flow_refused", reason)
            self._record_decision(flow, reason)
            return
        entry = self._create_entry(service, flow, sender)
        self._deliver(entry, headers, message.packet)
        if waiting is not None:
            self._take_waiting(flow, waiting)

    def _join_placement(
        self, owner: str, waiting: WaitingFlow | None, message: Forward
    ) -> None:
        if owner:
            self._pass_on(owner, message)
        elif message.packet not in waiting.packets:
            self._queue_packet(waiting, message.packet)

    def _record_decision(self, flow: bytes, reason: str) -> None:
        # A repeated placement gets the same answer, whatever has changed since.
        self._decisions.pop(flow, None)
        if len(self._decisions) < self._settings.queue_flows:
            until_s = self._now + self._settings.place_timeout_s
            self._decisions[flow] = (until_s, reason)

    def _reply_place(self, sender: str, message: Forward, reason: str) -> None:
        self._outbox.send(
            sender,
            PlaceReply(message.service_id, message.flow, not reason, reason),
        )

    def _handle_place_reply(self, sender: str, message: PlaceReply) -> None:
        flow = message.flow
        waiting = self._waiting.get(flow)
        if waiting is not None and waiting.targets[:1] == [sender]:
            self._end_placement(flow, waiting, sender, message.accepted)
            return
        if message.accepted:
            self._take_late_acceptance(sender, message.service_id, flow)

    def _take_late_acceptance(self, sender: str, service_id: int, flow: bytes) -> None:
        is_owned = self._flows.get(service_id, flow) is not None
        owner = self._redirects.get(service_id, flow)
        waiting = self._waiting.get(flow)
        is_placing = waiting is not None and waiting.is_placing
        if is_owned or is_placing or owner not in ("", sender):
            # The flow was placed elsewhere before this answer.
            self._abandon(sender, service_id, flow)
        elif waiting is not None:
            self._hand_over(flow, waiting, sender)
        elif not owner:
            self._redirects.put(service_id, flow, sender)

    def _end_placement(
        self, flow: bytes, waiting: WaitingFlow, target: str, accepted: bool
    ) -> None:
        if not accepted:
            waiting.targets.pop(0)
            self._try_target(flow, waiting)
            return
        waiting.packets.pop(0)
        self._placement.record_placed(waiting.service_id, target)
        self._hand_over(flow, waiting, target)

    def _abandon(self, server: str, service_id: int, flow: bytes) -> None:
        self._outbox.send(server, RedirectDrop(service_id, (flow,), server))

    def _handle_registration(self, sender: str, message: RedirectPut) -> None:
        if message.is_reply:
            self._registrar.confirm(message.sequence)
            return
        for flow in message.flows:
            self._put_redirect(message.service_id, flow, message.owner)
        if message.sequence:
            self._outbox.send(sender, attrs.evolve(message, flows=(), is_reply=True))

    def _put_redirect(self, service_id: int, flow: bytes, owner: str) -> None:
        if owner == self._server:
            return
        entry = self._flows.get(service_id, flow)
        if entry is not None and entry.is_established:
            return
        if entry is not None:
            # The flow was placed here for a repeated first packet.
            self._give_up_unused(service_id, flow)
        self._redirects.put(service_id, flow, owner)
        waiting = self._waiting.get(flow)
        if waiting is None or waiting.service_id != service_id:
            return
        if waiting.targets[:1] == [owner]:
            # The answer to the placement is still to come.
            return
        if waiting.is_placing:
            self._abandon(waiting.targets[0], service_id, flow)
        self._hand_over(flow, waiting, owner)

    def _drop_redirects(
        self, service_id: int, flows: tuple[bytes, ...], owner: str
    ) -> None:
        for flow in flows:
            if owner == self._server:
                self._give_up_unused(service_id, flow)
            else:
                self._redirects.drop(service_id, flow, owner)

    def _give_up_unused(self, service_id: int, flow: bytes) -> None:
        # The home of a flow that it placed here has placed it elsewhere.
        entry = self._flows.get(service_id, flow)
        if entry is None or entry.is_established:
            return
        self._flows.reset_server(flow, entry)
        self._flows.end(flow)
        self._outbox.count("flow_abandoned", "placed_elsewhere")

    def _check_admission(self, service: Service) -> str:
        flows = self._flows.count(service.service_id)
        return self._admission.check(service.row, service.is_zone_out, flows, self._now)

    def _compute_limit(self, service: Service) -> int:
        if self._admission.is_draining or service.is_zone_out:
            return 0
        return self._cold_start.compute_limit(service.row.max_flows, self._now)

    def _create_entry(self, service: Service, flow: bytes, placed_by: str) -> FlowEntry:
        service_id = service.service_id
        entry = FlowEntry(service_id, service.find_home(flow), self._now)
        self._flows.add(flow, entry)
        if entry.home is not None and entry.home[0] != placed_by:
            self._registrar.enqueue(flow)
        self._redirects.remove(flow)
        return entry

    def _reject_flow(self, flow: bytes, packet: bytes, reason: str) -> None:
        self._outbox.count("flow_rejected", reason)
        self._outbox.add(events.ResetCaller(flow, packet))

    def _record_outbound(self, flow: bytes, packet: bytes) -> None:
        entry = self._flows.entries.get(flow)
        if entry is None:
            return
        self._flows.record_outbound(entry, packet, self._now)
        if flow[0] == UDP:
            self._establish(flow, entry)

    def _record_outcome(self, latency_s: float, is_shed: bool) -> None:
        is_warm = self._cold_start.is_warm(self._now)
        reason = self._outcomes.record(latency_s, is_shed, is_warm, self._now)
        if reason:
            self._cold_start.restart(self._now)
            self._outbox.count("cold_return", reason)

    def _fail_delivery(self, flow: bytes) -> None:
        entry = self._flows.entries.get(flow)
        if entry is None:
            return
        if entry.ended_s is None:
            self._flows.reset_caller(flow, entry)
            self._outbox.count("flow_broken", "delivery_failed")
        self._flows.end(flow)

    def _change_view(self, view: View) -> None:
        self._cold_start.start(self._now)
        if self._settled_s is None:
            self._settled_s = self._now + self._settings.change_window_s
        own = view.agents.get(self._server)
        is_announced = own is not None and own.state is AgentState.DRAINING
        self._admission.is_draining = self._is_leaving or is_announced
        for service in self._services.update(view, self._now):
            self._registrar.start_scan(service.service_id, self._flows.entries)
        self._outbox.blocked = frozenset(
            server
            for server, agent in view.agents.items()
            if not view.is_in_service(agent.zone)
        )
        self._down = frozenset(
            server for server in view.agents if not view.is_live(server)
        )
        self._redirects.drop_owners(lambda owner: self._is_gone(owner, view))
        self._change_zone(view)
        self._review_waiting()
        self._retry_early()
        self._placement.forget(lambda server: not view.is_live(server))

    def _is_gone(self, owner: Owner, view: View) -> bool:
        service_id, server = owner
        table = view.tables_by_id.get(service_id)
        row = table.get_member(server) if table else None
        if row is not None and not view.is_in_service(row.zone):
            return True
        return server in self._outbox.blocked or server not in view.agents

    def _change_zone(self, view: View) -> None:
        was_out, self._is_zone_out = (
            self._is_zone_out,
            not view.is_in_service(self._zone),
        )
        if was_out and not self._is_zone_out:
            self._cold_start.restart(self._now)
        out = {
            service.service_id
            for service in self._services.list_member_services()
            if service.is_zone_out
        }
        if not (out or self._is_zone_out):
            return
        for flow, entry in list(self._flows.entries.items()):
            if self._is_zone_out or entry.service_id in out:
                # Homes drop their redirects by the mark, so none is notified.
                self._flows.break_off(flow, entry, notify=False)
                self._outbox.count("zone_given_up", self._zone)

    def _review_waiting(self) -> None:
        for flow, waiting in list(self._waiting.items()):
            service = self._services.get(waiting.service_id)
            if service is None:
                del self._waiting[flow]
                self._outbox.count("flow_refused", "wrong_service")
            elif service.is_zone_out:
                del self._waiting[flow]
                self._outbox.count("flow_refused", "zone_out")
            elif not waiting.is_placing:
                self._review_query(flow, waiting, service)
            elif waiting.targets[0] not in service.peers:
                waiting.targets.pop(0)
                self._try_target(flow, waiting)

    def _review_query(
        self, flow: bytes, waiting: WaitingFlow, service: Service
    ) -> None:
        _, inquirer = self._inquiries.get(flow, (0.0, ""))
        waiting.members &= {*service.peers, *waiting.hints, inquirer}
        for server in service.peers:
            if server not in waiting.asked:
                self._ask(flow, waiting, server)

    def _run_timers(self) -> None:
        for flow, waiting in list(self._waiting.items()):
            if waiting.is_placing:
                self._run_placement(flow, waiting)
            else:
                self._run_query(flow, waiting)
        while self._early and self._now >= self._early[0][0]:
            _, sender, message = self._early.popleft()
            self._refuse_service(sender, message)
        self._expire_decisions()
        self._expire_inquiries()
        for flow, _ in self._flows.sweep(self._now):
            self._registrar.enqueue(flow)
        self._registrar.run(
            self._now, self._flows.entries, self._services, self._outbox
        )
        if self._rotated_s is None:
            self._rotated_s = self._now
        if self._now - self._rotated_s >= self._settings.redirect_period_s:
            self._rotated_s = self._now
            self._redirects.rotate()

    def _expire_inquiries(self) -> None:
        for flow, (until_s, _) in list(self._inquiries.items()):
            if self._now < until_s:
                return
            del self._inquiries[flow]

    def _expire_decisions(self) -> None:
        for flow, (until_s, _) in list(self._decisions.items()):
            if self._now < until_s:
                return
            del self._decisions[flow]

    def _run_query(self, flow: bytes, waiting: WaitingFlow) -> None:
        service = self._services.get(waiting.service_id)
        down = {server for server in service.peers if server not in service.live}
        is_doubtful = waiting.members <= down - {waiting.former_owner}
        if not waiting.members:
            is_doubtful = self._has_all_answers(service, waiting)
        if is_doubtful and self._now >= waiting.started_s + self._settings.doubt_s:
            self._end_query(flow, waiting)
            return
        if self._now >= waiting.deadline_s:
            self._end_query(flow, waiting)
            return
        if self._now < waiting.retry_s:
            return
        waiting.retry_s = self._now + self._settings.query_retry_s
        for server in sorted(waiting.members):
            self._outbox.send(server, FlowQuery(waiting.service_id, flow))

    def _run_placement(self, flow: bytes, waiting: WaitingFlow) -> None:
        if self._now >= waiting.deadline_s:
            del self._waiting[flow]
            self._abandon(waiting.targets[0], waiting.service_id, flow)
            self._reject_flow(flow, waiting.packets[0], "place_timeout")
            return
        doubt_end_s = waiting.started_s + self._settings.doubt_s
        if waiting.targets[0] in self._down and self._now >= doubt_end_s:
            # The report may be wrong, so an answer is awaited for a while.
            waiting.targets.pop(0)
            self._try_target(flow, waiting)
        elif self._now >= waiting.retry_s:
            self._send_placement(flow, waiting)
