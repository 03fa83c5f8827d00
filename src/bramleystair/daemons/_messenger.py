"""Exchange of messages with other nodes over UDP."""

import socket
from collections import OrderedDict
from collections.abc import Callable

from bramleystair.fabric import format_endpoint
from bramleystair.metrics import Metrics
from bramleystair.wire import (
    MAX_DATAGRAM_BYTES,
    Envelope,
    Message,
    decode,
    encode,
)

RECEIVE_TIMEOUT_S = 0.2
RECEIVE_BYTES = 65_535
# Senders without an announcement are new nodes and operators' clients.
MAX_UNANNOUNCED_SENDERS = 1_024


class Messenger:
    """Send and receive messages on one UDP socket.

    Parameters
    ----------
    name : str
        Name of this node.
    incarnation : int
        Incarnation number of the process.
    udp : socket.socket
        Bound socket.
    resolve : callable
        Returns the host and port of an announced peer, or None.
    metrics : Metrics
        Registry that counts refused and unsent messages.
    """

    def __init__(
        self,
        name: str,
        incarnation: int,
        udp: socket.socket,
        resolve: Callable[[str], tuple[str, int] | None],
        metrics: Metrics,
    ) -> None:
        self.incarnation = incarnation
        self._name = name
        self._udp = udp
        self._resolve = resolve
        self._metrics = metrics
        self._unannounced: OrderedDict[str, tuple[str, int]] = OrderedDict()
        self._is_open = True

    def send(self, peer: str, message: Message) -> None:
        """Send `message` to `peer`; count it as dropped if it cannot be sent."""
        address = self._resolve(peer) or self._unannounced.get(peer)
        if address is None:
            self._metrics.count("message_dropped", "unknown_peer")
            return
        data = encode(self._name, self.incarnation, message)
        if len(data) > MAX_DATAGRAM_BYTES:
            self._metrics.count("message_dropped", "too_large")
            return
        try:
            self._udp.sendto(data, address)
        except OSError:
            self._metrics.count("message_dropped", "not_sent")

    def run(self, deliver: Callable[[Envelope], None]) -> None:
        """Pass each valid message to `deliver` until `stop`."""
        self._udp.settimeout(RECEIVE_TIMEOUT_S)
        while self._is_open:
            try:
                data, address = self._udp.recvfrom(RECEIVE_BYTES)
            except TimeoutError:
                continue
            except OSError:
                self._metrics.count("message_refused", "not_received")
                continue
            self._receive(data, address, deliver)

    def stop(self) -> None:
        """Make `run` return."""
        self._is_open = False

    def close(self) -> None:
        """Close the socket, after `run` has returned."""
        self._udp.close()

    def _receive(
        self, data: bytes, address: tuple, deliver: Callable[[Envelope], None]
    ) -> None:
        result = decode(data, format_endpoint(address))
        if result.is_err():
            self._metrics.count("message_refused", "malformed")
            return
        envelope = result.unwrap()
        if not envelope.sender:
            self._metrics.count("message_refused", "no_sender")
            return
        if self._resolve(envelope.sender) is None:
            self._store_address(envelope.sender, address[:2])
        deliver(envelope)

    def _store_address(self, sender: str, address: tuple[str, int]) -> None:
        self._unannounced[sender] = address
        self._unannounced.move_to_end(sender)
        if len(self._unannounced) > MAX_UNANNOUNCED_SENDERS:
            self._unannounced.popitem(last=False)
