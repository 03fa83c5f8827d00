"""Handling of the redirects that owners register at this home."""

import attrs

from bramleystair.flows._context import FlowComponent, FlowContext
from bramleystair.flows._delivery import FlowDelivery
from bramleystair.wire import RedirectPut


class RedirectRegistry(FlowComponent):
    """Store and remove redirects on the request of flow owners.

    Parameters
    ----------
    context : FlowContext
        State shared with the other components.
    delivery : FlowDelivery
        Delivers packets and transfers pending flows.
    """

    def __init__(self, context: FlowContext, delivery: FlowDelivery) -> None:
        super().__init__(context)
        self._delivery = delivery

    def handle_put(self, sender: str, message: RedirectPut) -> None:
        """Store and confirm an owner's redirects, or handle a home's confirmation."""
        if message.is_reply:
            self._registration_sender.confirm(message.sequence)
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
            # Another member owns the flow; a repeated first packet was placed here.
            self._delivery.discard_half_open(service_id, flow)
        self._redirects.put(service_id, flow, owner)
        pending = self._pending.get(flow)
        if pending is None or pending.service_id != service_id:
            return
        if pending.targets[:1] == [owner]:
            # The reply to the placement has not arrived yet.
            return
        if pending.is_placing:
            self._delivery.revoke_placement(pending.targets[0], service_id, flow)
        self._delivery.transfer_pending(flow, pending, owner)

    def handle_drop(
        self, service_id: int, flows: tuple[bytes, ...], owner: str
    ) -> None:
        """Remove redirects to `owner`, or half-open flows that a home revokes here."""
        for flow in flows:
            if owner == self._server:
                self._delivery.discard_half_open(service_id, flow)
            else:
                self._redirects.remove_if_owner(service_id, flow, owner)
