"""The balancer's packet path: from Geneve datagrams to forwards."""

import socket
import time

from bramleystair.fabric import build_header, decapsulate
from bramleystair.metrics import Metrics
from bramleystair.routing import Route, Router, RouteRefusal
from bramleystair.views import View
from bramleystair.wire import Forward, encode_forward

MAX_DATAGRAM_BYTES = 65_535
# Upper bound of the packets between two looks at the stop flag.
# As many as the router keeps; at about 250 bytes an entry, at most 33 MB.
MAX_CACHED_STARTS = 131_072
BATCH = 64
RECEIVE_TIMEOUT_S = 0.2


class Forwarder:
    """Send each packet from the fabric to the home of its flow.

    Everything but `set_view` and `stop` runs on the thread that calls `run`.

    Parameters
    ----------
    node : str
        Name of this balancer.
    incarnation : int
        Number of its lifetime.
    udp : socket.socket
        Receives Geneve datagrams, and sends forwards.
    network_id : int
        Virtual network identifier of the datagrams.
    metrics : Metrics
        Counts refusals.
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
        self._header = build_header(network_id)
        self._router = Router()
        # Start of a flow's forwards up to the packet, and where they go.
        self._starts: dict[bytes, tuple[bytes, tuple[str, int]]] = {}
        self._new_view: View | None = None
        self._is_running = True
        self.packet_count = 0
        self.last_packet_s = 0.0

    def set_view(self, view: View) -> None:
        """Use `view`, and a changed `incarnation`, from the next packets on."""
        self._new_view = view

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

    def run_batch(self, limit: int = BATCH) -> None:
        """Forward packets until none arrives in time, at most `limit`."""
        receive, forward = self._udp.recv, self._forward
        try:
            for _ in range(limit):
                forward(receive(MAX_DATAGRAM_BYTES))
        except TimeoutError:
            return
        except OSError as error:
            # An agent's port is closed, or a queue of the system is full.
            self._metrics.count("packet_dropped", f"socket_{error.errno}")

    def apply_view(self) -> None:
        """Take over the view that was set last."""
        view, self._new_view = self._new_view, None
        if view is not None:
            self._router.set_view(view)
            self._starts = {}

    def _forward(self, data: bytes) -> None:
        if self._new_view is not None:
            self.apply_view()
        self.packet_count += 1
        self.last_packet_s = time.monotonic()
        if data.startswith(self._header):
            packet = data[len(self._header) :]
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
        start = self._starts.get(route.flow)
        if start is None:
            start = self._build_start(route)
        self._udp.sendto(start[0] + packet, start[1])

    def _build_start(self, route: Route) -> tuple[bytes, tuple[str, int]]:
        if len(self._starts) >= MAX_CACHED_STARTS:
            self._starts.clear()
        message = Forward(
            route.service_id, route.table_version, route.flow, 0, False, b""
        )
        data = encode_forward(self._node, self.incarnation, message)
        start = self._starts[route.flow] = (data, (route.host, route.port))
        return start
