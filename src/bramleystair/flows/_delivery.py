"""Ways of a flow's packets: to the backend server, to the owner, or to wait."""

from bramleystair.flows import _events as events
from bramleystair.flows._context import FlowComponent
from bramleystair.flows._entries import FlowEntry, PendingFlow
from bramleystair.flows._services import Service
from bramleystair.packets import TCP, PacketHeaders
from bramleystair.wire import Forward, RedirectDrop


class FlowDelivery(FlowComponent):
    """Deliver, pass on and hand over packets."""

    def deliver(self, entry: FlowEntry, headers: PacketHeaders, packet: bytes) -> None:
        """Give a packet of an owned flow to the backend server."""
        self._flows.record_inbound(entry, headers, self._context.now)
        self._outbox.add(events.Deliver(entry.service_id, headers.flow, packet))
        if entry.is_established or headers.is_initial_syn or headers.protocol != TCP:
            return
        self.establish(headers.flow, entry)

    def establish(self, flow: bytes, entry: FlowEntry) -> None:
        """Note that the caller and the backend server are in contact."""
        if entry.is_established:
            return
        entry.is_established = True
        service = self._services.get(entry.service_id)
        if entry.home is None and service is not None:
            entry.home = service.find_home(flow)
            self._registrar.enqueue(flow)

    def create_entry(self, service: Service, flow: bytes, placed_by: str) -> FlowEntry:
        """Become the owner of a new flow."""
        service_id = service.service_id
        entry = FlowEntry(service_id, service.find_home(flow), self._context.now)
        self._flows.add(flow, entry)
        if entry.home is not None and entry.home[0] != placed_by:
            self._registrar.enqueue(flow)
        self._redirects.remove(flow)
        return entry

    def _send(self, owner: str, message: Forward, packet: bytes) -> None:
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

    def pass_on(self, owner: str, message: Forward) -> None:
        """Send a packet to the owner of its flow."""
        if message.hops >= self._settings.max_hops:
            # Redirects form a loop; without this one, the next packet is looked up.
            self._redirects.remove(message.flow)
            self._outbox.count("packet_dropped", "hops")
            return
        self._send(owner, message, message.packet)

    def hand_over(self, flow: bytes, pending: PendingFlow, owner: str) -> None:
        """Leave a pending flow with all its packets to `owner`."""
        del self._pending[flow]
        self._redirects.put(pending.service_id, flow, owner)
        service = self._services.get(pending.service_id)
        version = service.table.version if service else 0
        first = Forward(pending.service_id, version, flow)
        for packet in pending.packets:
            self._send(owner, first, packet)

    def abandon(self, server: str, service_id: int, flow: bytes) -> None:
        """Tell a member that it does not own the flow after all."""
        self._outbox.send(server, RedirectDrop(service_id, (flow,), server))

    def queue_packet(self, pending: PendingFlow, packet: bytes) -> None:
        """Keep a packet of a pending flow."""
        if len(pending.packets) >= self._settings.queue_packets_per_flow:
            self._outbox.count("packet_dropped", "queue_packets")
            return
        pending.packets.append(packet)

    def give_up_unused(self, service_id: int, flow: bytes) -> None:
        """Give up a half-open flow that its home placed elsewhere."""
        entry = self._flows.get(service_id, flow)
        if entry is None or entry.is_established:
            return
        self._flows.reset_server(flow, entry)
        self._flows.end(flow)
        self._outbox.count("flow_abandoned", "placed_elsewhere")
