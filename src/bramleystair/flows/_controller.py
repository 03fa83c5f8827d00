"""Flow controller: the state machine by which an agent handles flows.

It runs in the agent of each backend server, and exchanges messages with the balancers,
which forward callers' packets to it, and with the flow controllers of other members.

Each flow has a home and an owner. The home is the member to which the balancers send a
packet of the flow; it is computed from the flow key and the service's candidates. The
owner is the member whose backend server handles the flow. The home chooses the owner of
a new flow and, if this is another member, stores a redirect: an entry that names the
owner, to which the home forwards the flow's packets.
"""

import random as random_module
from collections import deque

from result import Err, Ok, Result

from bramleystair.errors import StepError
from bramleystair.flows import _events as events
from bramleystair.flows._admission import Admission
from bramleystair.flows._cold_start import ColdStart
from bramleystair.flows._context import FlowComponent, FlowContext
from bramleystair.flows._delivery import FlowDelivery
from bramleystair.flows._entries import FlowEntry, PendingFlow
from bramleystair.flows._events import FlowAction, FlowEvent
from bramleystair.flows._flow_table import FlowTable
from bramleystair.flows._member_ranking import MemberRanker
from bramleystair.flows._outbox import Outbox
from bramleystair.flows._outcomes import OutcomeMonitor
from bramleystair.flows._owner_lookup import OwnerLookup
from bramleystair.flows._placement_protocol import PlacementProtocol
from bramleystair.flows._redirect_registry import RedirectRegistry
from bramleystair.flows._redirects import OwnerKey, RedirectTable
from bramleystair.flows._registration import RegistrationSender
from bramleystair.flows._services import Service, ServiceCatalog
from bramleystair.flows._settings import TICK_PERIOD_S, FlowSettings
from bramleystair.flows._state import (
    SavedRedirect,
    SavedState,
    pack_state,
    unpack_state,
)
from bramleystair.packets import UDP, PacketHeaders, get_endpoint, read_headers
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

# A `Tick` arrives every `TICK_PERIOD_S`. An agent that handled no event for longer than
# this threshold was therefore paused.
PAUSE_THRESHOLD_S = 10 * TICK_PERIOD_S


class FlowController(FlowComponent):
    """Manage the flows that one server owns and the redirects of which it is the home.

    Parameters
    ----------
    server, zone : str
        Name of the backend server and its availability zone.
    settings : FlowSettings
        Limits and intervals.
    random : random.Random
        Random number generator for the choice of candidates.
    """

    def __init__(
        self,
        server: str,
        zone: str,
        settings: FlowSettings,
        random: random_module.Random,
    ) -> None:
        context = _build_context(server, zone, settings)
        super().__init__(context)
        self._zone = zone
        self._cold_start = context.cold_start
        self._outcomes = OutcomeMonitor()
        self._ranker = MemberRanker(server, settings, random, context.redirects.count)
        self._delivery = FlowDelivery(context)
        self._placement = PlacementProtocol(context, self._delivery, self._ranker)
        self._lookup = OwnerLookup(context, self._delivery, self._placement)
        self._redirect_registry = RedirectRegistry(context, self._delivery)
        self._newer_table_forwards: deque[tuple[float, str, Forward]] = deque()
        self._last_rotation_s: float | None = None
        self._is_zone_out = False
        self._is_drain_requested = False

    @property
    def flow_count(self) -> int:
        """Number of flows owned."""
        return self._flows.open_count

    def list_flows(self) -> tuple[bytes, ...]:
        """Return the keys of the flows owned."""
        return self._flows.list_open()

    def list_loads(self) -> tuple[ServiceLoad, ...]:
        """Return the flows and the current limit of each service of this server."""
        return tuple(
            ServiceLoad(
                service.service_id,
                flows=self._flows.count(service.service_id),
                flow_limit=self._context.compute_limit(service),
            )
            for service in self._services.list_member_services()
        )

    def export_state(self) -> bytes:
        """Return the state kept in a planned upgrade: flows, redirects, cold start."""
        redirects = tuple(
            SavedRedirect(service_id, flow, owner)
            for flow, (service_id, owner) in self._redirects.list_items()
        )
        age_s = self._cold_start.compute_age(self._context.now)
        return pack_state(SavedState(age_s, self._flows.save(), redirects))

    def import_state(self, data: bytes) -> Result[int, StepError]:
        """Restore exported state; call it before the first event.

        Returns
        -------
        Result of int or StepError
            Number of flows, or an error for damaged data or an unknown format.
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
        """Handle `event` at time `now` in seconds and return the resulting actions."""
        if now - self._context.now > PAUSE_THRESHOLD_S:
            # The agent may have been reported down during the pause. Other members then
            # became the homes of its flows and may have placed new ones.
            self._services.restart_change_windows(now)
        self._context.now = now
        if type(event) is events.MessageArrived:
            # Tested outside the match statements for speed, because every packet takes
            # this path.
            if type(event.message) is Forward:
                self._handle_forward(event.sender, event.message)
            else:
                self._handle_message(event.sender, event.message)
            return self._outbox.flush()
        match event:
            case events.OutboundPacketSent(flow, packet):
                self._record_outbound(flow, packet)
            case events.DeliveryFailed(flow):
                self._handle_delivery_failure(flow)
            case events.OutcomeObserved(latency_s, is_shed):
                self._record_outcome(latency_s, is_shed)
            case events.LimitAdvised(fraction):
                self._cold_start.advise(fraction, now)
            case events.ViewChanged(view):
                self._apply_view(view)
            case events.DrainRequested():
                self._is_drain_requested = True
                self._admission.is_draining = True
            case events.Tick():
                self._run_timers()
        return self._outbox.flush()

    def _handle_message(self, sender: str, message: Message) -> None:
        match message:
            case PlaceReply():
                self._placement.handle_reply(sender, message)
            case FlowQuery(service_id, flow):
                self._lookup.handle_query(sender, service_id, flow)
            case FlowQueryReply():
                self._lookup.handle_reply(sender, message)
            case RedirectPut():
                self._redirect_registry.handle_put(sender, message)
            case RedirectDrop(service_id, flows, owner):
                self._redirect_registry.handle_drop(service_id, flows, owner)
            case LoadReport(loads):
                self._ranker.record_report(sender, loads, self._context.now)

    def _handle_forward(self, sender: str, message: Forward) -> None:
        headers = read_headers(message.packet).ok()
        if headers is None or headers.flow != message.flow:
            self._outbox.count("packet_dropped", "malformed")
            return
        entry = self._flows.entries.get(message.flow)
        if (
            entry is not None
            and entry.service_id == message.service_id
            and self._handle_owned_flow(sender, entry, message, headers)
        ):
            return
        service = self._services.get(message.service_id)
        if (
            service is None
            or service.row is None
            or service.endpoint != get_endpoint(message.flow)
        ):
            self._handle_non_member_forward(sender, service, message)
            return
        if message.place:
            # The sender is another home that asks this server to own the flow.
            self._placement.handle_request(sender, message, headers)
            return
        owner = self._redirects.get(message.service_id, message.flow)
        if owner in self._outbox.zone_out_servers:
            # The owner registered the flow after its zone went out of service. The
            # outbox drops packets to such servers.
            self._redirects.remove(message.flow)
            owner = ""
        if owner and owner not in self._context.down:
            self._delivery.forward_to_owner(owner, message)
            return
        if service.is_zone_out:
            # A member in another zone may own the flow, so the caller is not reset.
            self._outbox.count("flow_refused", "zone_out")
            return
        self._queue_unknown_flow(sender, service, message, headers)

    def _handle_owned_flow(
        self, sender: str, entry: FlowEntry, message: Forward, headers: PacketHeaders
    ) -> bool:
        """Handle a packet with the flow key of `entry`; return whether that is done.

        The packet is delivered, and a placement request answered, if it belongs to the
        flow of `entry`. Otherwise that flow is closed and the result is False: the
        packet belongs to another server's flow or opens a new one.
        """
        if not (headers.is_initial_syn or message.place):
            if self._flows.is_handshake_with_other_server(entry, headers):
                self._delivery.discard_half_open(message.service_id, message.flow)
                return False
            self._delivery.deliver(entry, headers, message.packet)
            return True
        if entry.ended_s is None or not headers.is_initial_syn:
            self._handle_repeated_opening(sender, entry, message, headers)
            return True
        # The flow has ended, and the caller reuses its port for a new one.
        self._flows.close(message.flow)
        return False

    def _handle_repeated_opening(
        self, sender: str, entry: FlowEntry, message: Forward, headers: PacketHeaders
    ) -> None:
        if message.place:
            self._placement.reply(sender, message, "")
            if headers.protocol == UDP:
                # The datagram was delivered with the first placement request.
                return
        self._delivery.deliver(entry, headers, message.packet)

    def _handle_non_member_forward(
        self, sender: str, service: Service | None, message: Forward
    ) -> None:
        owner = self._redirects.get(message.service_id, message.flow)
        if owner and not message.place:
            # This server's row was removed, but not all balancers have the new table.
            self._delivery.forward_to_owner(owner, message)
            return
        version = service.table.version if service else 0
        has_newer_table = message.table_version > version and not message.place
        if (
            not has_newer_table
            or len(self._newer_table_forwards) >= self._settings.queue_flows
        ):
            self._refuse_wrong_service(sender, message)
            return
        # The forward waits for the sender's newer table, in which this server may be a
        # member of the service.
        due_s = self._context.now + self._settings.early_timeout_s
        self._newer_table_forwards.append((due_s, sender, message))

    def _retry_newer_table_forwards(self) -> None:
        waiting, self._newer_table_forwards = self._newer_table_forwards, deque()
        for due_s, sender, message in waiting:
            if self._context.now >= due_s:
                self._refuse_wrong_service(sender, message)
            else:
                self._handle_forward(sender, message)

    def _refuse_wrong_service(self, sender: str, message: Forward) -> None:
        self._outbox.count("flow_refused", "wrong_service")
        if message.place:
            self._placement.reply(sender, message, "wrong_service")

    def _queue_unknown_flow(
        self, sender: str, service: Service, message: Forward, headers: PacketHeaders
    ) -> None:
        flow = message.flow
        pending = self._pending.get(flow)
        if pending is not None:
            self._delivery.queue_packet(pending, message.packet)
            return
        if message.hops > 0 and not self._redirects.get(service.service_id, flow):
            # The packet came by a redirect of the sender, which is out of date.
            drop = RedirectDrop(service.service_id, (flow,), self._server)
            self._outbox.send(sender, drop)
        if len(self._pending) >= self._settings.queue_flows:
            self._outbox.count("packet_dropped", "queue_flows")
            return
        is_opening = headers.is_initial_syn or headers.protocol == UDP
        pending = PendingFlow(service.service_id, is_opening, self._context.now)
        pending.former_owner = self._redirects.get(service.service_id, flow)
        pending.packets.append(message.packet)
        self._pending[flow] = pending
        if is_opening and self._is_safe_to_place(service, message):
            self._placement.place(flow, pending)
            return
        self._lookup.start(flow, pending)

    def _is_safe_to_place(self, service: Service, message: Forward) -> bool:
        """Return whether no other member can own the new flow of this packet.

        If a check fails, a member with another view may have placed the flow already.
        """
        if message.hops > 0 or self._context.now < service.change_window_end_s:
            return False
        if self._lookup.was_queried_recently(message.flow):
            return False
        if self._redirects.get(service.service_id, message.flow):
            # `_handle_forward` uses all other redirects, so the owner of this one is
            # reported down. The report may be wrong.
            return False
        if message.table_version != service.table.version:
            return False
        home = service.find_home(message.flow)
        return home is not None and home[0] == self._server

    def _record_outbound(self, flow: bytes, packet: bytes) -> None:
        entry = self._flows.entries.get(flow)
        if entry is None:
            return
        self._flows.record_outbound(entry, packet, self._context.now)
        if flow[0] == UDP:
            self._delivery.mark_established(flow, entry)

    def _record_outcome(self, latency_s: float, is_shed: bool) -> None:
        is_warm = self._cold_start.is_warm(self._context.now)
        reason = self._outcomes.record(latency_s, is_shed, is_warm, self._context.now)
        if reason:
            self._cold_start.restart(self._context.now)
            self._outbox.count("cold_return", reason)

    def _handle_delivery_failure(self, flow: bytes) -> None:
        entry = self._flows.entries.get(flow)
        if entry is None:
            return
        if entry.ended_s is None:
            self._flows.reset_caller(flow, entry)
            self._outbox.count("flow_broken", "delivery_failed")
        self._flows.close(flow)

    def _apply_view(self, view: View) -> None:
        self._cold_start.start(self._context.now)
        if self._context.membership_complete_from_s is None:
            self._context.membership_complete_from_s = (
                self._context.now + self._settings.change_window_s
            )
        own = view.agents.get(self._server)
        is_announced = own is not None and own.state is AgentState.DRAINING
        self._admission.is_draining = self._is_drain_requested or is_announced
        for service in self._services.apply_view(view, self._context.now):
            self._registration_sender.start_scan(
                service.service_id, self._flows.entries
            )
        # The outbox drops messages to these servers, except replies.
        self._outbox.zone_out_servers = frozenset(
            server
            for server, agent in view.agents.items()
            if not view.is_in_service(agent.zone)
        )
        self._context.down = frozenset(
            server for server in view.agents if not view.is_live(server)
        )
        self._redirects.remove_owners(lambda key: self._is_owner_gone(key, view))
        self._apply_zone_marks(view)
        self._recheck_pending()
        self._retry_newer_table_forwards()
        self._ranker.discard_reports(lambda server: not view.is_live(server))

    def _is_owner_gone(self, owner_key: OwnerKey, view: View) -> bool:
        """Return whether an owner is no longer announced or is out of service."""
        service_id, server = owner_key
        table = view.tables_by_id.get(service_id)
        row = table.get_member(server) if table else None
        if row is not None and not view.is_in_service(row.zone):
            return True
        return server in self._outbox.zone_out_servers or server not in view.agents

    def _apply_zone_marks(self, view: View) -> None:
        """Abort the flows of services that a zone mark put out of service here.

        An agent whose own zone returns to service restarts cold.
        """
        was_zone_out, self._is_zone_out = (
            self._is_zone_out,
            not view.is_in_service(self._zone),
        )
        if was_zone_out and not self._is_zone_out:
            self._cold_start.restart(self._context.now)
        zone_out_services = {
            service.service_id
            for service in self._services.list_member_services()
            if service.is_zone_out
        }
        if not (zone_out_services or self._is_zone_out):
            return
        for flow, entry in list(self._flows.entries.items()):
            if self._is_zone_out or entry.service_id in zone_out_services:
                # The homes are not notified: each removes its redirects to servers in
                # this zone when it receives the zone mark itself.
                self._flows.abort(flow, entry, notify_home=False)
                self._outbox.count("zone_given_up", self._zone)

    def _recheck_pending(self) -> None:
        for flow, pending in list(self._pending.items()):
            service = self._services.get(pending.service_id)
            if service is None:
                del self._pending[flow]
                self._outbox.count("flow_refused", "wrong_service")
            elif service.is_zone_out:
                del self._pending[flow]
                self._outbox.count("flow_refused", "zone_out")
            elif not pending.is_placing:
                self._lookup.handle_view_change(flow, pending, service)
            elif pending.targets[0] not in service.peers:
                pending.targets.pop(0)
                self._placement.try_next_target(flow, pending)

    def _run_timers(self) -> None:
        for flow, pending in list(self._pending.items()):
            if pending.is_placing:
                self._placement.run_timers(flow, pending)
            else:
                self._lookup.run_timers(flow, pending)
        while (
            self._newer_table_forwards
            and self._context.now >= self._newer_table_forwards[0][0]
        ):
            _, sender, message = self._newer_table_forwards.popleft()
            self._refuse_wrong_service(sender, message)
        self._placement.remove_expired(self._context.now)
        self._lookup.remove_expired(self._context.now)
        for flow, _ in self._flows.sweep(self._context.now):
            self._registration_sender.enqueue(flow)
        self._registration_sender.run(
            self._context.now, self._flows.entries, self._services, self._outbox
        )
        if self._last_rotation_s is None:
            self._last_rotation_s = self._context.now
        if (
            self._context.now - self._last_rotation_s
            >= self._settings.redirect_period_s
        ):
            self._last_rotation_s = self._context.now
            self._redirects.rotate()


def _build_context(server: str, zone: str, settings: FlowSettings) -> FlowContext:
    cold_start = ColdStart(settings.initial_fraction, settings.warm_up_s)
    outbox = Outbox()
    return FlowContext(
        server,
        settings,
        ServiceCatalog(server, zone, settings.change_window_s),
        cold_start,
        Admission(settings, cold_start),
        outbox,
        FlowTable(server, settings, outbox),
        RedirectTable(),
        RegistrationSender(server, settings),
    )
