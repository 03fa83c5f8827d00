"""Delivery of packets: to the backend server, to the owner, or into a queue."""

from bramleystair.flows import _events as events
from bramleystair.flows._context import FlowComponent
from bramleystair.flows._entries import FlowEntry, PendingFlow
from bramleystair.flows._services import Service
from bramleystair.packets import TCP, PacketHeaders
from bramleystair.wire import Forward, RedirectDrop


class FlowDelivery(FlowComponent):
    """Deliver packets to the backend server or forward them to the flow's owner."""

    def deliver(self, entry: FlowEntry, headers: PacketHeaders, packet: bytes) -> None:
        """Deliver a packet of an owned flow to the backend server."""
        self._flows.record_inbound(entry, headers, self._context.now)
        self._outbox.add(events.Deliver(entry.service_id, headers.flow, packet))
        if entry.is_established or headers.is_initial_syn or headers.protocol != TCP:
            return
        self.mark_established(headers.flow, entry)

    def mark_established(self, flow: bytes, entry: FlowEntry) -> None:
        """Mark a flow as established and register it if it has no home yet."""
        if entry.is_established:
            return
        entry.is_established = True
        service = self._services.get(entry.service_id)
        if entry.home is None and service is not None:
            entry.home = service.find_home(flow)
            self._registration_sender.enqueue(flow)

    def create_entry(self, service: Service, flow: bytes, placed_by: str) -> FlowEntry:
        """Create the entry of a new flow that this server owns."""
        service_id = service.service_id
        entry = FlowEntry(service_id, service.find_home(flow), self._context.now)
        self._flows.add(flow, entry)
        if entry.home is not None and entry.home[0] != placed_by:
            self._registration_sender.enqueue(flow)
        self._redirects.remove(flow)
        return entry

    def _forward(self, owner: str, message: Forward, packet: bytes) -> None:
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

    def forward_to_owner(self, owner: str, message: Forward) -> None:
        """Forward a packet to the owner of its flow, at most `max_hops` times."""
        if message.hops >= self._settings.max_hops:
            # Redirects form a loop. Removing this one makes the next packet look up the
            # owner.
            self._redirects.remove(message.flow)
            self._outbox.count("packet_dropped", "hops")
            return
        self._forward(owner, message, message.packet)

    def transfer_pending(self, flow: bytes, pending: PendingFlow, owner: str) -> None:
        """Store a redirect to `owner` and forward the packets of a pending flow."""
        del self._pending[flow]
        self._redirects.put(pending.service_id, flow, owner)
        service = self._services.get(pending.service_id)
        version = service.table.version if service else 0
        first = Forward(pending.service_id, version, flow)
        for packet in pending.packets:
            self._forward(owner, first, packet)

    def revoke_placement(self, server: str, service_id: int, flow: bytes) -> None:
        """Tell a member to close a half-open flow that it does not own."""
        self._outbox.send(server, RedirectDrop(service_id, (flow,), server))

    def queue_packet(self, pending: PendingFlow, packet: bytes) -> None:
        """Queue a packet of a pending flow."""
        if len(pending.packets) >= self._settings.queue_packets_per_flow:
            self._outbox.count("packet_dropped", "queue_packets")
            return
        pending.packets.append(packet)

    def discard_half_open(self, service_id: int, flow: bytes) -> None:
        """Close a half-open flow that was placed elsewhere, and reset the server."""
        entry = self._flows.get(service_id, flow)
        if entry is None or entry.is_established:
            return
        self._flows.reset_server(flow, entry)
        self._flows.close(flow)
        self._outbox.count("flow_abandoned", "placed_elsewhere")
