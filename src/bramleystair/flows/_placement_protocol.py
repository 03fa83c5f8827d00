"""Placement of new flows: the message exchange between a home and the members.

The home of a flow is the member to which the balancers send its packets. It chooses the
member that owns the flow, and forwards the flow's packets to it.
"""

from bramleystair.flows import _events as events
from bramleystair.flows._context import FlowComponent, FlowContext
from bramleystair.flows._delivery import FlowDelivery
from bramleystair.flows._entries import PendingFlow
from bramleystair.flows._expiring_cache import ExpiringCache
from bramleystair.flows._member_ranking import MemberLoad, MemberRanker
from bramleystair.flows._services import Service
from bramleystair.packets import PacketHeaders, read_headers
from bramleystair.wire import Forward, PlaceReply


class PlacementProtocol(FlowComponent):
    """Place new flows at members and handle placement requests of other homes.

    Parameters
    ----------
    context : FlowContext
        State shared with the other components.
    delivery : FlowDelivery
        Delivers packets and transfers pending flows.
    ranker : MemberRanker
        Ranks the members for a new flow.
    """

    def __init__(
        self, context: FlowContext, delivery: FlowDelivery, ranker: MemberRanker
    ) -> None:
        super().__init__(context)
        self._delivery = delivery
        self._ranker = ranker
        # A repeated request gets the same reply, even if the state has changed since.
        self._recent_replies = ExpiringCache(
            self._settings.place_timeout_s, self._settings.queue_flows
        )

    def place(self, flow: bytes, pending: PendingFlow) -> None:
        """Rank the members for a new flow and try the first one.

        Sets the deadline of the placement and the targets of `pending`.
        """
        service = self._services.get(pending.service_id)
        own = self._compute_own_load(service)
        pending.started_s = self._context.now
        pending.deadline_s = self._context.now + self._settings.place_timeout_s
        pending.targets = self._ranker.rank(service, own, self._context.now)
        self.try_next_target(flow, pending)

    def _compute_own_load(self, service: Service) -> MemberLoad | None:
        if service.row is None or service.row.weight <= 0:
            return None
        if self._admission.is_draining or service.is_zone_out:
            return None
        flows = self._flows.count(service.service_id)
        limit = self._context.compute_limit(service)
        return MemberLoad(self._server, service.row.weight, flows, limit)

    def try_next_target(self, flow: bytes, pending: PendingFlow) -> None:
        """Request placement at the first remaining target, or reject the flow.

        The first target is not dropped unless it is this agent's own server and refuses
        the flow: callers drop a target that failed before this call. The flow is
        rejected, and its caller reset, if no target remains.
        """
        # `_server` is the name of this agent's server; a flow is placed there without a
        # message.
        while pending.targets and pending.targets[0] == self._server:
            reason = self._context.check_admission(
                self._services.get(pending.service_id)
            )
            if not reason:
                self._accept_pending(flow, pending)
                return
            self._outbox.count("flow_refused", reason)
            pending.targets.pop(0)
        if not pending.targets:
            del self._pending[flow]
            self._reject(flow, pending.packets[0], "no_candidate")
            return
        self._send_request(flow, pending)

    def _send_request(self, flow: bytes, pending: PendingFlow) -> None:
        pending.retry_s = self._context.now + self._settings.place_retry_s
        table = self._services.get(pending.service_id).table
        self._outbox.send(
            pending.targets[0],
            Forward(
                pending.service_id, table.version, flow, 0, True, pending.packets[0]
            ),
        )

    def _accept_pending(self, flow: bytes, pending: PendingFlow) -> None:
        """Own the flow at this agent and deliver its queued packets."""
        del self._pending[flow]
        entry = self._flows.get(pending.service_id, flow)
        if entry is None:
            service = self._services.get(pending.service_id)
            entry = self._delivery.create_entry(service, flow, self._server)
        for packet in pending.packets:
            self._delivery.deliver(entry, read_headers(packet).unwrap(), packet)

    def handle_request(
        self, sender: str, message: Forward, headers: PacketHeaders
    ) -> None:
        """Accept or refuse a flow that another home places at this server."""
        flow = message.flow
        until_s, reason = self._recent_replies.get(flow)
        if self._context.now < until_s:
            self.reply(sender, message, reason)
            return
        pending = self._pending.get(flow)
        owner = self._redirects.get(message.service_id, flow)
        if owner == sender or owner in self._context.down:
            # No owner is known: the named one is reported down or is the sender, to
            # which this agent left the flow when both looked it up at the same time.
            owner = ""
        if owner or (pending is not None and pending.is_placing):
            # This agent considers itself the home and has placed the flow or is placing
            # it. It accepts the request, and passes the packet on to the owner.
            self._recent_replies.put(flow, "", self._context.now)
            self.reply(sender, message, "")
            self._route_repetition(owner, pending, message)
            return
        service = self._services.get(message.service_id)
        reason = self._context.check_admission(service)
        self.reply(sender, message, reason)
        if reason:
            self._outbox.count("flow_refused", reason)
            self._recent_replies.put(flow, reason, self._context.now)
            return
        entry = self._delivery.create_entry(service, flow, sender)
        self._delivery.deliver(entry, headers, message.packet)
        if pending is not None:
            self._accept_pending(flow, pending)

    def _route_repetition(
        self, owner: str, pending: PendingFlow | None, message: Forward
    ) -> None:
        if owner:
            self._delivery.forward_to_owner(owner, message)
        elif message.packet not in pending.packets:
            self._delivery.queue_packet(pending, message.packet)

    def reply(self, sender: str, message: Forward, reason: str) -> None:
        """Send `sender` the reply to its placement request `message`.

        An empty reason accepts the flow. Changes no state.
        """
        self._outbox.send(
            sender,
            PlaceReply(message.service_id, message.flow, not reason, reason),
        )

    def handle_reply(self, sender: str, message: PlaceReply) -> None:
        """Handle the reply to a placement request.

        An acceptance ends the placement: the owner is stored and sent the queued
        packets. After a refusal, the next target is tried. A reply of another member
        than the current target counts only if it is an acceptance: its placement is
        revoked if the flow was placed or is being placed elsewhere; otherwise, that
        member is stored as the owner.
        """
        flow = message.flow
        pending = self._pending.get(flow)
        if pending is not None and pending.targets[:1] == [sender]:
            self._finish(flow, pending, sender, message.accepted)
            return
        if message.accepted:
            self._handle_late_acceptance(sender, message.service_id, flow)

    def _handle_late_acceptance(
        self, sender: str, service_id: int, flow: bytes
    ) -> None:
        is_owned = self._flows.get(service_id, flow) is not None
        owner = self._redirects.get(service_id, flow)
        pending = self._pending.get(flow)
        # A pending flow that is not being placed is still being looked up.
        is_placing = pending is not None and pending.is_placing
        if is_owned or is_placing or owner not in ("", sender):
            # The flow was placed at another member before this reply arrived.
            self._delivery.revoke_placement(sender, service_id, flow)
        elif pending is not None:
            self._delivery.transfer_pending(flow, pending, sender)
        elif not owner:
            self._redirects.put(service_id, flow, sender)

    def _finish(
        self, flow: bytes, pending: PendingFlow, target: str, accepted: bool
    ) -> None:
        """Complete the placement at `target`, or try the next one after a refusal."""
        if not accepted:
            pending.targets.pop(0)
            self.try_next_target(flow, pending)
            return
        pending.packets.pop(0)
        self._ranker.record_placed(pending.service_id, target)
        self._delivery.transfer_pending(flow, pending, target)

    def _reject(self, flow: bytes, packet: bytes, reason: str) -> None:
        self._outbox.count("flow_rejected", reason)
        self._outbox.add(events.ResetCaller(flow, packet))

    def run_timers(self, flow: bytes, pending: PendingFlow) -> None:
        """Retransmit the request, try the next member or end the placement when due.

        At the deadline, the placement at the current target is revoked and the flow is
        rejected.
        """
        if self._context.now >= pending.deadline_s:
            del self._pending[flow]
            self._delivery.revoke_placement(
                pending.targets[0], pending.service_id, flow
            )
            self._reject(flow, pending.packets[0], "place_timeout")
            return
        doubt_end_s = pending.started_s + self._settings.doubt_s
        if (
            pending.targets[0] in self._context.down
            and self._context.now >= doubt_end_s
        ):
            # The report that the target is down may be wrong, so this agent tries the
            # next member no sooner than `doubt_s` after the start of the placement.
            pending.targets.pop(0)
            self.try_next_target(flow, pending)
        elif self._context.now >= pending.retry_s:
            self._send_request(flow, pending)

    def remove_expired(self, now: float) -> None:
        """Remove the replies to requests that are no longer repeated."""
        self._recent_replies.remove_expired(now)
