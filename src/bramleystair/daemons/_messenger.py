"""Messages to and from other nodes over UDP."""

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
BUFFER_BYTES = 65_535
# Senders that were never announced: new nodes and operators' clients.
MAX_HEARD_SENDERS = 1_024


class Messenger:
    """Send and receive messages on one UDP socket.

    Parameters
    ----------
    name : str
        Name of this node.
    incarnation : int
        Number of its lifetime.
    udp : socket.socket
        Bound socket.
    resolve : callable
        Returns host and port of an announced peer, or None.
    metrics : Metrics
        Counts what is refused or cannot be sent.
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
        self._heard: OrderedDict[str, tuple[str, int]] = OrderedDict()
        self._is_open = True

    def send(self, peer: str, message: Message) -> None:
        """Send `message` to `peer`; what cannot be sent is counted."""
        address = self._resolve(peer) or self._heard.get(peer)
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
        """Pass every valid message to `deliver` until `stop`."""
        self._udp.settimeout(RECEIVE_TIMEOUT_S)
        while self._is_open:
            try:
                data, address = self._udp.recvfrom(BUFFER_BYTES)
            except TimeoutError:
                continue
            except OSError:
                self._metrics.count("message_refused", "not_received")
                continue
            self._take(data, address, deliver)

    def stop(self) -> None:
        """Make `run` return."""
        self._is_open = False

    def close(self) -> None:
        """Close the socket, after `run` has returned."""
        self._udp.close()

    def _take(
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
            self._remember(envelope.sender, address[:2])
        deliver(envelope)

    def _remember(self, sender: str, address: tuple[str, int]) -> None:
        self._heard[sender] = address
        self._heard.move_to_end(sender)
        if len(self._heard) > MAX_HEARD_SENDERS:
            self._heard.popitem(last=False)
