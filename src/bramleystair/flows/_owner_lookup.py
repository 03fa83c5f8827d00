"""Lookup of a flow's owner by queries to the members."""

from bramleystair.flows import _events as events
from bramleystair.flows._context import FlowComponent, FlowContext
from bramleystair.flows._delivery import FlowDelivery
from bramleystair.flows._entries import PendingFlow
from bramleystair.flows._expiring_cache import ExpiringCache
from bramleystair.flows._placement_protocol import PlacementProtocol
from bramleystair.flows._services import Service
from bramleystair.packets import TCP, read_headers
from bramleystair.wire import FlowQuery, FlowQueryReply


class OwnerLookup(FlowComponent):
    """Query the members for the owner of a flow and answer their queries.

    Parameters
    ----------
    context : FlowContext
        State shared with the other components.
    delivery : FlowDelivery
        Delivers packets and transfers pending flows.
    placement : PlacementProtocol
        Places new flows that no member owns.
    """

    def __init__(
        self, context: FlowContext, delivery: FlowDelivery, placement: PlacementProtocol
    ) -> None:
        super().__init__(context)
        self._delivery = delivery
        self._placement = placement
        self._recent_inquirers = ExpiringCache(
            self._settings.place_timeout_s, self._settings.queue_flows
        )

    def was_queried_recently(self, flow: bytes) -> bool:
        """Return whether a member recently asked this one who owns `flow`."""
        return flow in self._recent_inquirers

    def start(self, flow: bytes, pending: PendingFlow) -> None:
        """Query the other members for the owner of a flow."""
        timeout_s = self._settings.query_timeout_s
        if pending.is_opening and flow[0] == TCP:
            timeout_s = self._settings.first_query_timeout_s
        pending.deadline_s = self._context.now + timeout_s
        pending.retry_s = self._context.now + self._settings.query_retry_s
        service = self._services.get(pending.service_id)
        # A member that queried this flow may be missing from this agent's view.
        _, inquirer = self._recent_inquirers.get(flow)
        for server in dict.fromkeys((*service.peers, inquirer)):
            if server:
                self._send_query(flow, pending, server)
        if self._has_all_answers(service, pending):
            self._finish(flow, pending)

    def _has_all_answers(self, service: Service, pending: PendingFlow) -> bool:
        if pending.unanswered or (pending.is_view_outdated and not pending.is_opening):
            return False
        # Just after its start, the agent may lack announcements of other members.
        is_new = self._context.now < (self._context.membership_complete_from_s or 0.0)
        return service.is_complete or not is_new

    def _send_query(self, flow: bytes, pending: PendingFlow, server: str) -> None:
        pending.queried.add(server)
        pending.unanswered.add(server)
        self._outbox.send(server, FlowQuery(pending.service_id, flow))

    def handle_query(self, sender: str, service_id: int, flow: bytes) -> None:
        """Reply to a member's query with the known owner of a flow.

        If the reply names this member with `is_owner` false, this member holds the flow
        half-open or is the one that places it.
        """
        entry = self._flows.get(service_id, flow)
        if entry is not None:
            is_owner, owner = entry.is_established, self._server
        else:
            is_owner, owner = False, self._find_owner(sender, service_id, flow)
            self._recent_inquirers.put(flow, sender, self._context.now)
        self._outbox.send(sender, FlowQueryReply(service_id, flow, owner, is_owner))

    def _find_owner(self, sender: str, service_id: int, flow: bytes) -> str:
        pending = self._pending.get(flow)
        if pending is None or pending.service_id != service_id:
            return self._redirects.get(service_id, flow)
        if pending.is_placing:
            return self._server
        if not pending.is_opening:
            return ""
        # Both members look up the same new flow: the lower name continues with it.
        if self._server < sender:
            return self._server
        self._delivery.transfer_pending(flow, pending, sender)
        return ""

    def handle_reply(self, sender: str, message: FlowQueryReply) -> None:
        """Handle a member's reply to a query."""
        flow = message.flow
        pending = self._pending.get(flow)
        # A member may claim the flow in a second reply, after it was already counted as
        # answered.
        if pending is None or sender not in (*pending.unanswered, message.owner):
            return
        if pending.is_placing:
            self._handle_late_reply(sender, pending, message)
            return
        if message.is_owner:
            self._delivery.transfer_pending(flow, pending, sender)
            return
        pending.unanswered.discard(sender)
        pending.is_view_outdated |= sender in self._context.down
        if message.owner == sender:
            pending.half_open_owners.append(sender)
        elif message.owner not in ("", self._server, *pending.named_owners):
            # The named owner may have replied before it became the owner.
            pending.named_owners.append(message.owner)
            self._send_query(flow, pending, message.owner)
        service = self._services.get(pending.service_id)
        if self._has_all_answers(service, pending):
            self._finish(flow, pending)

    def _handle_late_reply(
        self, sender: str, pending: PendingFlow, message: FlowQueryReply
    ) -> None:
        if message.is_owner and pending.targets[0] != sender:
            self._delivery.revoke_placement(
                pending.targets[0], pending.service_id, message.flow
            )
            self._delivery.transfer_pending(message.flow, pending, sender)

    def _finish(self, flow: bytes, pending: PendingFlow) -> None:
        silent = pending.unanswered - self._context.down
        unconfirmed = [owner for owner in pending.named_owners if owner in silent]
        claimants = [*pending.half_open_owners, *unconfirmed]
        owners = [
            owner for owner in claimants if owner not in self._outbox.zone_out_servers
        ]
        if owners:
            self._delivery.transfer_pending(flow, pending, owners[0])
            return
        self._redirects.remove(flow)
        if pending.is_opening:
            self._placement.place(flow, pending)
            return
        del self._pending[flow]
        self._reset_unknown(flow, pending)

    def _reset_unknown(self, flow: bytes, pending: PendingFlow) -> None:
        for packet in pending.packets:
            if not read_headers(packet).unwrap().is_reset:
                self._outbox.add(events.ResetCaller(flow, packet))
                self._outbox.count("flow_broken", "unknown")
                return
        self._outbox.count("packet_dropped", "unknown_reset")

    def handle_view_change(
        self, flow: bytes, pending: PendingFlow, service: Service
    ) -> None:
        """Adapt the queried members to a new view."""
        pending.is_view_outdated = False
        _, inquirer = self._recent_inquirers.get(flow)
        pending.unanswered &= {*service.peers, *pending.named_owners, inquirer}
        for server in service.peers:
            if server not in pending.queried:
                self._send_query(flow, pending, server)

    def run_timers(self, flow: bytes, pending: PendingFlow) -> None:
        """Retransmit the queries or end the lookup when due."""
        service = self._services.get(pending.service_id)
        down = {server for server in service.peers if server not in service.live}
        # An owner that a redirect or a member names may be paused, or be reported down
        # by mistake.
        named = {pending.former_owner, *pending.named_owners}
        # Members reported down have until `doubt_s` to reply, as a report may be wrong.
        can_finish_early = pending.unanswered <= down - named
        if not pending.unanswered:
            can_finish_early = self._has_all_answers(service, pending)
        if (
            can_finish_early
            and self._context.now >= pending.started_s + self._settings.doubt_s
        ):
            self._finish(flow, pending)
            return
        if self._context.now >= pending.deadline_s:
            self._finish(flow, pending)
            return
        if self._context.now < pending.retry_s:
            return
        pending.retry_s = self._context.now + self._settings.query_retry_s
        for server in sorted(pending.unanswered):
            self._outbox.send(server, FlowQuery(pending.service_id, flow))

    def remove_expired(self, now: float) -> None:
        """Remove the records of members' queries that have expired."""
        self._recent_inquirers.remove_expired(now)
