"""Delivery of inner packets to the backend server over one UDP socket per flow."""

import select
import socket
import threading
from typing import Protocol

import attrs

from bramleystair.fabric import (
    build_datagram,
    format_endpoint,
    read_payload,
)
from bramleystair.packets import reverse_flow

MAX_DATAGRAM_BYTES = 65_535
POLL_S = 0.5
# Limits how long one busy flow can delay the replies of other flows.
MAX_READS_PER_POLL = 32


class ReplyHandler(Protocol):
    """Callbacks of a delivery, called on its own thread or within `deliver`."""

    def handle_reply(self, flow: bytes, packet: bytes) -> None:
        """Handle an inner packet from the backend server to the caller of `flow`."""

    def handle_refusal(self, flow: bytes) -> None:
        """Handle the refusal of a packet of `flow` by the backend server."""

    def count_drop(self, reason: str) -> None:
        """Count a dropped packet."""


class Delivery(Protocol):
    """Path of inner packets to the backend server and back."""

    def deliver(self, flow: bytes, packet: bytes) -> None:
        """Send an inner packet of `flow` to the backend server."""

    def reset_server(self, flow: bytes, packet: bytes) -> None:
        """Send the reset `packet` of `flow` to the backend server."""

    def close_flow(self, flow: bytes) -> None:
        """Release all resources of `flow`."""

    def close(self) -> None:
        """Release all resources and stop the thread."""


@attrs.frozen
class _FlowSocket:
    socket: socket.socket
    flow: bytes
    reply_flow: bytes


class UdpDelivery:
    """Deliver over one connected UDP socket per flow.

    Parameters
    ----------
    host : str
        IP address of the backend server.
    port : int
        UDP port of the backend server; 0 keeps the port of the service.
    handler : ReplyHandler
        Handler of replies, refusals and drops.
    """

    def __init__(self, host: str, port: int, handler: ReplyHandler) -> None:
        self._host = host
        self._port = port
        self._handler = handler
        self._flows: dict[bytes, _FlowSocket] = {}
        self._by_descriptor: dict[int, _FlowSocket] = {}
        self._lock = threading.Lock()
        self._epoll = select.epoll()
        self._is_open = True
        self._thread = threading.Thread(
            target=self._run, name="delivery-replies", daemon=True
        )
        self._thread.start()

    def deliver(self, flow: bytes, packet: bytes) -> None:
        """Send the payload of `packet` on the socket of `flow`."""
        payload = read_payload(packet)
        if payload is None:
            self._handler.count_drop("not_a_datagram")
            return
        entry = self._flows.get(flow) or self._open(flow)
        if entry is None:
            self._handler.count_drop("no_socket")
            return
        try:
            entry.socket.send(payload)
        except ConnectionRefusedError:
            self._handler.handle_refusal(flow)
        except OSError:
            self._handler.count_drop("send_failed")

    def reset_server(self, flow: bytes, packet: bytes) -> None:
        """Do nothing: UDP has no reset."""

    def close_flow(self, flow: bytes) -> None:
        """Close the socket of `flow`, if any."""
        with self._lock:
            entry = self._flows.pop(flow, None)
            if entry is None:
                return
            self._by_descriptor.pop(entry.socket.fileno(), None)
            entry.socket.close()

    def close(self) -> None:
        """Close all sockets and stop the thread."""
        self._is_open = False
        self._thread.join()
        for flow in list(self._flows):
            self.close_flow(flow)
        self._epoll.close()

    def get_local_endpoint(self, flow: bytes) -> str:
        """Return the local address of the socket of `flow`; empty if there is none."""
        entry = self._flows.get(flow)
        return format_endpoint(entry.socket.getsockname()) if entry else ""

    def _open(self, flow: bytes) -> _FlowSocket | None:
        port = self._port or int.from_bytes(flow[-2:], "big")
        family = socket.AF_INET6 if ":" in self._host else socket.AF_INET
        try:
            connection = socket.socket(family, socket.SOCK_DGRAM)
        except OSError:
            return None
        connection.setblocking(False)
        with self._lock:
            try:
                connection.connect((self._host, port))
                self._epoll.register(connection.fileno(), select.EPOLLIN)
            except OSError:
                connection.close()
                return None
            entry = _FlowSocket(connection, flow, reverse_flow(flow))
            self._flows[flow] = entry
            self._by_descriptor[connection.fileno()] = entry
        return entry

    def _run(self) -> None:
        while self._is_open:
            for descriptor, _ in self._epoll.poll(POLL_S):
                entry = self._by_descriptor.get(descriptor)
                if entry is not None:
                    self._read(entry)

    def _read(self, entry: _FlowSocket) -> None:
        for _ in range(MAX_READS_PER_POLL):
            try:
                payload = entry.socket.recv(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except ConnectionRefusedError:
                self._handler.handle_refusal(entry.flow)
                return
            except OSError:
                # The flow was closed during the read of its reply.
                return
            packet = build_datagram(entry.reply_flow, payload)
            self._handler.handle_reply(entry.flow, packet)
