"""Redirects that owners register at the homes of their flows."""

import attrs

from bramleystair.flows._context import FlowComponent, FlowContext
from bramleystair.flows._delivery import FlowDelivery
from bramleystair.wire import RedirectPut


class RedirectRegistry(FlowComponent):
    """Store and drop the redirects that owners send here.

    Parameters
    ----------
    context : FlowContext
        State shared with the other parts.
    delivery : FlowDelivery
        Ways of packets.
    """

    def __init__(self, context: FlowContext, delivery: FlowDelivery) -> None:
        super().__init__(context)
        self._delivery = delivery

    def handle(self, sender: str, message: RedirectPut) -> None:
        """Store the redirects that an owner registers, or take its confirmation."""
        if message.is_reply:
            self._registrar.confirm(message.sequence)
            return
        for flow in message.flows:
            self._put(message.service_id, flow, message.owner)
        if message.sequence:
            self._outbox.send(sender, attrs.evolve(message, flows=(), is_reply=True))

    def _put(self, service_id: int, flow: bytes, owner: str) -> None:
        if owner == self._server:
            return
        entry = self._flows.get(service_id, flow)
        if entry is not None and entry.is_established:
            return
        if entry is not None:
            # The flow was placed here for a repeated first packet.
            self._delivery.give_up_unused(service_id, flow)
        self._redirects.put(service_id, flow, owner)
        pending = self._pending.get(flow)
        if pending is None or pending.service_id != service_id:
            return
        if pending.targets[:1] == [owner]:
            # The answer to the placement is still to come.
            return
        if pending.is_placing:
            self._delivery.abandon(pending.targets[0], service_id, flow)
        self._delivery.hand_over(flow, pending, owner)

    def drop(self, service_id: int, flows: tuple[bytes, ...], owner: str) -> None:
        """Remove redirects, or give up half-open flows that their home dropped."""
        for flow in flows:
            if owner == self._server:
                self._delivery.give_up_unused(service_id, flow)
            else:
                self._redirects.drop(service_id, flow, owner)
