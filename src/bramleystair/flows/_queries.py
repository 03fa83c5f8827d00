"""Lookup of the owner of a flow among the members."""

from bramleystair.flows import _events as events
from bramleystair.flows._context import FlowComponent, FlowContext
from bramleystair.flows._delivery import FlowDelivery
from bramleystair.flows._entries import PendingFlow
from bramleystair.flows._placing import FlowPlacing
from bramleystair.flows._recent import RecentNotes
from bramleystair.flows._services import Service
from bramleystair.packets import TCP, read_headers
from bramleystair.wire import FlowQuery, FlowQueryReply


class OwnerQueries(FlowComponent):
    """Ask the members for a flow's owner, and answer them.

    Parameters
    ----------
    context : FlowContext
        State shared with the other parts.
    delivery : FlowDelivery
        Ways of packets.
    placing : FlowPlacing
        Places flows that nobody owns.
    """

    def __init__(
        self, context: FlowContext, delivery: FlowDelivery, placing: FlowPlacing
    ) -> None:
        super().__init__(context)
        self._delivery = delivery
        self._placing = placing
        self._inquiries = RecentNotes(
            self._settings.place_timeout_s, self._settings.queue_flows
        )

    def was_asked(self, flow: bytes) -> bool:
        """Return whether a member has lately asked for the owner of `flow`."""
        return flow in self._inquiries

    def start(self, flow: bytes, pending: PendingFlow) -> None:
        """Ask the other members whether they own the flow."""
        timeout_s = self._settings.query_timeout_s
        if pending.is_opening and flow[0] == TCP:
            timeout_s = self._settings.first_query_timeout_s
        pending.deadline_s = self._context.now + timeout_s
        pending.retry_s = self._context.now + self._settings.query_retry_s
        service = self._services.get(pending.service_id)
        # A member that asked for the flow may not be in this agent's view yet.
        _, inquirer = self._inquiries.get(flow)
        for server in dict.fromkeys((*service.peers, inquirer)):
            if server:
                self._ask(flow, pending, server)
        if self._has_all_answers(service, pending):
            self._end(flow, pending)

    def _has_all_answers(self, service: Service, pending: PendingFlow) -> bool:
        if pending.members or (pending.is_view_old and not pending.is_opening):
            return False
        # Just after its start, the agent may not know where the other members are.
        is_new = self._context.now < (self._context.membership_known_s or 0.0)
        return service.is_complete or not is_new

    def _ask(self, flow: bytes, pending: PendingFlow, server: str) -> None:
        pending.asked.add(server)
        pending.members.add(server)
        self._outbox.send(server, FlowQuery(pending.service_id, flow))

    def answer(self, sender: str, service_id: int, flow: bytes) -> None:
        """Tell a member what is known of the owner of a flow."""
        entry = self._flows.get(service_id, flow)
        if entry is not None:
            is_owner, owner = entry.is_established, self._server
        else:
            is_owner, owner = False, self._find_owner(sender, service_id, flow)
            self._inquiries.put(flow, sender, self._context.now)
        self._outbox.send(sender, FlowQueryReply(service_id, flow, owner, is_owner))

    def _find_owner(self, sender: str, service_id: int, flow: bytes) -> str:
        pending = self._pending.get(flow)
        if pending is None or pending.service_id != service_id:
            return self._redirects.get(service_id, flow)
        if pending.is_placing:
            return self._server
        if not pending.is_opening:
            return ""
        # Two members look up the same new flow: the lower name goes on with it.
        if self._server < sender:
            return self._server
        self._delivery.hand_over(flow, pending, sender)
        return ""

    def handle_reply(self, sender: str, message: FlowQueryReply) -> None:
        """Take a member's answer to a lookup."""
        flow = message.flow
        pending = self._pending.get(flow)
        # An answer that names the sender counts even after an earlier one did not.
        if pending is None or sender not in (*pending.members, message.owner):
            return
        if pending.is_placing:
            self._take_late_reply(sender, pending, message)
            return
        if message.is_owner:
            self._delivery.hand_over(flow, pending, sender)
            return
        pending.members.discard(sender)
        pending.is_view_old |= sender in self._context.down
        if message.owner == sender:
            pending.claims.append(sender)
        elif message.owner not in ("", self._server, *pending.hints):
            # Its own answer may have preceded the event that the sender knows of.
            pending.hints.append(message.owner)
            self._ask(flow, pending, message.owner)
        service = self._services.get(pending.service_id)
        if self._has_all_answers(service, pending):
            self._end(flow, pending)

    def _take_late_reply(
        self, sender: str, pending: PendingFlow, message: FlowQueryReply
    ) -> None:
        if message.is_owner and pending.targets[0] != sender:
            self._delivery.abandon(pending.targets[0], pending.service_id, message.flow)
            self._delivery.hand_over(message.flow, pending, sender)

    def _end(self, flow: bytes, pending: PendingFlow) -> None:
        silent = pending.members - self._context.down
        unconfirmed = [hint for hint in pending.hints if hint in silent]
        claims = [*pending.claims, *unconfirmed]
        owners = [owner for owner in claims if owner not in self._outbox.blocked]
        if owners:
            self._delivery.hand_over(flow, pending, owners[0])
            return
        self._redirects.remove(flow)
        if pending.is_opening:
            self._placing.place(flow, pending)
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

    def review(self, flow: bytes, pending: PendingFlow, service: Service) -> None:
        """Follow a change of the members during a lookup."""
        pending.is_view_old = False
        _, inquirer = self._inquiries.get(flow)
        pending.members &= {*service.peers, *pending.hints, inquirer}
        for server in service.peers:
            if server not in pending.asked:
                self._ask(flow, pending, server)

    def run(self, flow: bytes, pending: PendingFlow) -> None:
        """Repeat or end a lookup that is due."""
        service = self._services.get(pending.service_id)
        down = {server for server in service.peers if server not in service.live}
        # Owners that are named somewhere may be paused, or the report may be wrong.
        named = {pending.former_owner, *pending.hints}
        is_doubtful = pending.members <= down - named
        if not pending.members:
            is_doubtful = self._has_all_answers(service, pending)
        if (
            is_doubtful
            and self._context.now >= pending.started_s + self._settings.doubt_s
        ):
            self._end(flow, pending)
            return
        if self._context.now >= pending.deadline_s:
            self._end(flow, pending)
            return
        if self._context.now < pending.retry_s:
            return
        pending.retry_s = self._context.now + self._settings.query_retry_s
        for server in sorted(pending.members):
            self._outbox.send(server, FlowQuery(pending.service_id, flow))

    def forget_old(self, now: float) -> None:
        """Forget which members asked for flows."""
        self._inquiries.forget_old(now)
