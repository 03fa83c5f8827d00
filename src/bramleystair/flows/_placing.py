"""Placement of a new flow: the dialogue between its home and the members."""

from bramleystair.flows import _events as events
from bramleystair.flows._context import FlowComponent, FlowContext
from bramleystair.flows._delivery import FlowDelivery
from bramleystair.flows._entries import PendingFlow
from bramleystair.flows._placement import Load, Placement
from bramleystair.flows._recent import RecentNotes
from bramleystair.flows._services import Service
from bramleystair.packets import PacketHeaders, read_headers
from bramleystair.wire import Forward, PlaceReply


class FlowPlacing(FlowComponent):
    """Place new flows at members, and answer the placements of others.

    Parameters
    ----------
    context : FlowContext
        State shared with the other parts.
    delivery : FlowDelivery
        Ways of packets.
    placement : Placement
        Ranks the members.
    """

    def __init__(
        self, context: FlowContext, delivery: FlowDelivery, placement: Placement
    ) -> None:
        super().__init__(context)
        self._delivery = delivery
        self._placement = placement
        # A repeated placement gets the same answer, whatever has changed since.
        self._decisions = RecentNotes(
            self._settings.place_timeout_s, self._settings.queue_flows
        )

    def place(self, flow: bytes, pending: PendingFlow) -> None:
        """Choose the member that takes a new flow."""
        service = self._services.get(pending.service_id)
        own = self._find_own_load(service)
        pending.started_s = self._context.now
        pending.deadline_s = self._context.now + self._settings.place_timeout_s
        pending.targets = self._placement.rank(service, own, self._context.now)
        self.try_target(flow, pending)

    def _find_own_load(self, service: Service) -> Load | None:
        if service.row is None or service.row.weight <= 0:
            return None
        if self._admission.is_draining or service.is_zone_out:
            return None
        flows = self._flows.count(service.service_id)
        limit = self._context.compute_limit(service)
        return Load(self._server, service.row.weight, flows, limit)

    def try_target(self, flow: bytes, pending: PendingFlow) -> None:
        """Ask the next member to take the flow."""
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
        self._send(flow, pending)

    def _send(self, flow: bytes, pending: PendingFlow) -> None:
        pending.retry_s = self._context.now + self._settings.place_retry_s
        table = self._services.get(pending.service_id).table
        self._outbox.send(
            pending.targets[0],
            Forward(
                pending.service_id, table.version, flow, 0, True, pending.packets[0]
            ),
        )

    def _accept_pending(self, flow: bytes, pending: PendingFlow) -> None:
        del self._pending[flow]
        entry = self._flows.get(pending.service_id, flow)
        if entry is None:
            service = self._services.get(pending.service_id)
            entry = self._delivery.create_entry(service, flow, self._server)
        for packet in pending.packets:
            self._delivery.deliver(entry, read_headers(packet).unwrap(), packet)

    def accept(self, sender: str, message: Forward, headers: PacketHeaders) -> None:
        """Take or refuse a flow that another member places here."""
        flow = message.flow
        until_s, reason = self._decisions.get(flow)
        if self._context.now < until_s:
            self.reply(sender, message, reason)
            return
        pending = self._pending.get(flow)
        owner = self._redirects.get(message.service_id, flow)
        if owner == sender or owner in self._context.down:
            # The sender was left the flow when both looked it up.
            owner = ""
        if owner or (pending is not None and pending.is_placing):
            # This agent places the flow, or has placed it, under another view.
            self._decisions.put(flow, "", self._context.now)
            self.reply(sender, message, "")
            self._join(owner, pending, message)
            return
        service = self._services.get(message.service_id)
        reason = self._context.check_admission(service)
        self.reply(sender, message, reason)
        if reason:
            self._outbox.count("flow_refused", reason)
            self._decisions.put(flow, reason, self._context.now)
            return
        entry = self._delivery.create_entry(service, flow, sender)
        self._delivery.deliver(entry, headers, message.packet)
        if pending is not None:
            self._accept_pending(flow, pending)

    def _join(self, owner: str, pending: PendingFlow | None, message: Forward) -> None:
        if owner:
            self._delivery.pass_on(owner, message)
        elif message.packet not in pending.packets:
            self._delivery.queue_packet(pending, message.packet)

    def reply(self, sender: str, message: Forward, reason: str) -> None:
        """Answer a placement; an empty reason accepts it."""
        self._outbox.send(
            sender,
            PlaceReply(message.service_id, message.flow, not reason, reason),
        )

    def handle_reply(self, sender: str, message: PlaceReply) -> None:
        """Take the answer to a placement."""
        flow = message.flow
        pending = self._pending.get(flow)
        if pending is not None and pending.targets[:1] == [sender]:
            self._end(flow, pending, sender, message.accepted)
            return
        if message.accepted:
            self._take_late_acceptance(sender, message.service_id, flow)

    def _take_late_acceptance(self, sender: str, service_id: int, flow: bytes) -> None:
        is_owned = self._flows.get(service_id, flow) is not None
        owner = self._redirects.get(service_id, flow)
        pending = self._pending.get(flow)
        is_placing = pending is not None and pending.is_placing
        if is_owned or is_placing or owner not in ("", sender):
            # The flow was placed elsewhere before this answer.
            self._delivery.abandon(sender, service_id, flow)
        elif pending is not None:
            self._delivery.hand_over(flow, pending, sender)
        elif not owner:
            self._redirects.put(service_id, flow, sender)

    def _end(
        self, flow: bytes, pending: PendingFlow, target: str, accepted: bool
    ) -> None:
        if not accepted:
            pending.targets.pop(0)
            self.try_target(flow, pending)
            return
        pending.packets.pop(0)
        self._placement.record_placed(pending.service_id, target)
        self._delivery.hand_over(flow, pending, target)

    def _reject(self, flow: bytes, packet: bytes, reason: str) -> None:
        self._outbox.count("flow_rejected", reason)
        self._outbox.add(events.ResetCaller(flow, packet))

    def run(self, flow: bytes, pending: PendingFlow) -> None:
        """Repeat or end a placement that is due."""
        if self._context.now >= pending.deadline_s:
            del self._pending[flow]
            self._delivery.abandon(pending.targets[0], pending.service_id, flow)
            self._reject(flow, pending.packets[0], "place_timeout")
            return
        doubt_end_s = pending.started_s + self._settings.doubt_s
        if (
            pending.targets[0] in self._context.down
            and self._context.now >= doubt_end_s
        ):
            # The report may be wrong, so an answer is awaited for a while.
            pending.targets.pop(0)
            self.try_target(flow, pending)
        elif self._context.now >= pending.retry_s:
            self._send(flow, pending)

    def forget_old(self, now: float) -> None:
        """Forget answers to placements that are no longer repeated."""
        self._decisions.forget_old(now)
