"""Packet path of the balancer: receives Geneve datagrams and forwards the packets."""

import socket
import time

from bramleystair.fabric import build_header, decapsulate
from bramleystair.metrics import Metrics
from bramleystair.routing import Route, Router, RouteRefusal
from bramleystair.views import View
from bramleystair.wire import Forward, encode_forward

MAX_DATAGRAM_BYTES = 65_535
# The same number of flows as in the router's cache. At about 250 bytes an entry, the
# headers take at most 33 MB.
MAX_CACHED_HEADERS = 131_072
# Maximum number of packets between two checks of the stop flag.
BATCH_PACKETS = 64
RECEIVE_TIMEOUT_S = 0.2


class Forwarder:
    """Forward each packet from the fabric to the agent that its route selects.

    Only `set_view` and `stop` may be called from a thread other than that of `run`.

    Parameters
    ----------
    node : str
        Name of this balancer.
    incarnation : int
        Incarnation number of the process.
    udp : socket.socket
        Socket that receives Geneve datagrams and sends `Forward` messages.
    network_id : int
        Virtual network identifier of the datagrams.
    metrics : Metrics
        Registry that counts refused and dropped packets.
    """

    def __init__(
        self,
        node: str,
        incarnation: int,
        udp: socket.socket,
        network_id: int,
        metrics: Metrics,
    ) -> None:
        self._node = node
        self.incarnation = incarnation
        self._udp = udp
        self._network_id = network_id
        self._metrics = metrics
        self._geneve_header = build_header(network_id)
        self._router = Router()
        # Encoded `Forward` message up to the packet, and the agent's address, by flow.
        self._forward_headers: dict[bytes, tuple[bytes, tuple[str, int]]] = {}
        self._pending_view: View | None = None
        self._is_running = True
        self.packet_count = 0
        self.last_packet_s = 0.0

    def set_view(self, view: View) -> None:
        """Use `view`, and the present `incarnation`, from the next packet on."""
        self._pending_view = view

    def stop(self) -> None:
        """Make `run` return."""
        self._is_running = False

    def close(self) -> None:
        """Close the socket, after `run` has returned."""
        self._udp.close()

    def run(self) -> None:
        """Forward packets until `stop`."""
        self._udp.settimeout(RECEIVE_TIMEOUT_S)
        while self._is_running:
            self.run_batch()

    def run_batch(self, limit: int = BATCH_PACKETS) -> None:
        """Forward up to `limit` packets; return early when the receive times out."""
        receive, forward = self._udp.recv, self._forward
        try:
            for _ in range(limit):
                forward(receive(MAX_DATAGRAM_BYTES))
        except TimeoutError:
            return
        except OSError as error:
            # The port of an agent is closed, or a socket buffer is full.
            self._metrics.count("packet_dropped", f"socket_{error.errno}")

    def apply_view(self) -> None:
        """Switch to the view that was set last, if any."""
        view, self._pending_view = self._pending_view, None
        if view is not None:
            self._router.set_view(view)
            self._forward_headers = {}

    def _forward(self, data: bytes) -> None:
        if self._pending_view is not None:
            self.apply_view()
        self.packet_count += 1
        self.last_packet_s = time.monotonic()
        if data.startswith(self._geneve_header):
            packet = data[len(self._geneve_header) :]
        else:
            result = decapsulate(data, self._network_id)
            if result.is_err():
                self._metrics.count("packet_refused", result.unwrap_err().detail)
                return
            packet = result.unwrap()
        route = self._router.route(packet)
        if route.__class__ is RouteRefusal:
            self._metrics.count("packet_refused", route.reason)
            return
        self._send(route, packet)

    def _send(self, route: Route, packet: bytes) -> None:
        header = self._forward_headers.get(route.flow)
        if header is None:
            header = self._build_header(route)
        self._udp.sendto(header[0] + packet, header[1])

    def _build_header(self, route: Route) -> tuple[bytes, tuple[str, int]]:
        if len(self._forward_headers) >= MAX_CACHED_HEADERS:
            self._forward_headers.clear()
        message = Forward(
            route.service_id, route.table_version, route.flow, 0, False, b""
        )
        data = encode_forward(self._node, self.incarnation, message)
        header = self._forward_headers[route.flow] = (data, (route.host, route.port))
        return header
