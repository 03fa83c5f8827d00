"""Lookup of the owner of a flow among the members."""

from bramleystair.flows import _events as events
from bramleystair.flows._context import FlowContext, FlowPart
from bramleystair.flows._delivery import FlowDelivery
from bramleystair.flows._entries import WaitingFlow
from bramleystair.flows._placing import FlowPlacing
from bramleystair.flows._recent import RecentNotes
from bramleystair.flows._services import Service
from bramleystair.packets import TCP, read_headers
from bramleystair.wire import FlowQuery, FlowQueryReply


class OwnerQueries(FlowPart):
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

    def start(self, flow: bytes, waiting: WaitingFlow) -> None:
        """Ask the other members whether they own the flow."""
        timeout_s = self._settings.query_timeout_s
        if waiting.is_opening and flow[0] == TCP:
            timeout_s = self._settings.first_query_timeout_s
        waiting.deadline_s = self._context.now + timeout_s
        waiting.retry_s = self._context.now + self._settings.query_retry_s
        service = self._services.get(waiting.service_id)
        # A member that asked for the flow may not be in this agent's view yet.
        _, inquirer = self._inquiries.get(flow)
        for server in dict.fromkeys((*service.peers, inquirer)):
            if server:
                self._ask(flow, waiting, server)
        if self._has_all_answers(service, waiting):
            self._end(flow, waiting)

    def _has_all_answers(self, service: Service, waiting: WaitingFlow) -> bool:
        if waiting.members or (waiting.is_view_old and not waiting.is_opening):
            return False
        # Just after its start, the agent may not know where the other members are.
        is_new = self._context.now < (self._context.settled_s or 0.0)
        return service.is_complete or not is_new

    def _ask(self, flow: bytes, waiting: WaitingFlow, server: str) -> None:
        waiting.asked.add(server)
        waiting.members.add(server)
        self._outbox.send(server, FlowQuery(waiting.service_id, flow))

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
        self._delivery.hand_over(flow, waiting, sender)
        return ""

    def handle_reply(self, sender: str, message: FlowQueryReply) -> None:
        """Take a member's answer to a lookup."""
        flow = message.flow
        waiting = self._waiting.get(flow)
        # An answer that names the sender counts even after an earlier one did not.
        if waiting is None or sender not in (*waiting.members, message.owner):
            return
        if waiting.is_placing:
            self._take_late_reply(sender, waiting, message)
            return
        if message.is_owner:
            self._delivery.hand_over(flow, waiting, sender)
            return
        waiting.members.discard(sender)
        waiting.is_view_old |= sender in self._context.down
        if message.owner == sender:
            waiting.claims.append(sender)
        elif message.owner not in ("", self._server, *waiting.hints):
            # Its own answer may have preceded the event that the sender knows of.
            waiting.hints.append(message.owner)
            self._ask(flow, waiting, message.owner)
        service = self._services.get(waiting.service_id)
        if self._has_all_answers(service, waiting):
            self._end(flow, waiting)

    def _take_late_reply(
        self, sender: str, waiting: WaitingFlow, message: FlowQueryReply
    ) -> None:
        if message.is_owner and waiting.targets[0] != sender:
            self._delivery.abandon(waiting.targets[0], waiting.service_id, message.flow)
            self._delivery.hand_over(message.flow, waiting, sender)

    def _end(self, flow: bytes, waiting: WaitingFlow) -> None:
        silent = waiting.members - self._context.down
        unconfirmed = [hint for hint in waiting.hints if hint in silent]
        claims = [*waiting.claims, *unconfirmed]
        owners = [owner for owner in claims if owner not in self._outbox.blocked]
        if owners:
            self._delivery.hand_over(flow, waiting, owners[0])
            return
        self._redirects.remove(flow)
        if waiting.is_opening:
            self._placing.place(flow, waiting)
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

    def review(self, flow: bytes, waiting: WaitingFlow, service: Service) -> None:
        """Follow a change of the members during a lookup."""
        waiting.is_view_old = False
        _, inquirer = self._inquiries.get(flow)
        waiting.members &= {*service.peers, *waiting.hints, inquirer}
        for server in service.peers:
            if server not in waiting.asked:
                self._ask(flow, waiting, server)

    def run(self, flow: bytes, waiting: WaitingFlow) -> None:
        """Repeat or end a lookup that is due."""
        service = self._services.get(waiting.service_id)
        down = {server for server in service.peers if server not in service.live}
        # Owners that are named somewhere may be paused, or the report may be wrong.
        named = {waiting.former_owner, *waiting.hints}
        is_doubtful = waiting.members <= down - named
        if not waiting.members:
            is_doubtful = self._has_all_answers(service, waiting)
        if (
            is_doubtful
            and self._context.now >= waiting.started_s + self._settings.doubt_s
        ):
            self._end(flow, waiting)
            return
        if self._context.now >= waiting.deadline_s:
            self._end(flow, waiting)
            return
        if self._context.now < waiting.retry_s:
            return
        waiting.retry_s = self._context.now + self._settings.query_retry_s
        for server in sorted(waiting.members):
            self._outbox.send(server, FlowQuery(waiting.service_id, flow))

    def forget_old(self, now: float) -> None:
        """Forget which members asked for flows."""
        self._inquiries.forget_old(now)
