"""Non-blocking UDP socket on the event loop."""

import socket
from collections.abc import Callable

from bramleystair.loop import EventLoop
from bramleystair.metrics import Metrics

MAX_DATAGRAM_BYTES = 65_535
# Datagrams received in one call of the handler; bounds the delay of timers under load.
MAX_BATCH_DATAGRAMS = 64
# Holds the packets that arrive while the process is throttled for 100 ms.
RECEIVE_BUFFER_BYTES = 1_048_576


class DatagramSocket:
    """Receive datagrams in batches and send without blocking.

    Parameters
    ----------
    loop : EventLoop
        Loop that drives the socket.
    address : tuple of str and int
        Address to bind.
    on_datagram : callable
        Called with the data and the sender's address of each datagram.
    metrics : Metrics
        Counts datagrams that could not be sent or received.
    """

    def __init__(
        self,
        loop: EventLoop,
        address: tuple[str, int],
        on_datagram: Callable[[bytes, tuple[str, int]], None],
        metrics: Metrics,
    ) -> None:
        self._loop = loop
        self._on_datagram = on_datagram
        self._metrics = metrics
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        self._socket.bind(address)
        self._socket.setblocking(False)
        loop.register(self._socket, self._receive)

    @property
    def address(self) -> tuple[str, int]:
        """Local address of the socket."""
        return self._socket.getsockname()

    def send(self, data: bytes, address: tuple[str, int]) -> None:
        """Send a datagram; one that cannot be sent at once is dropped and counted."""
        try:
            self._socket.sendto(data, address)
        except OSError as error:
            self._metrics.count("packet_dropped", f"socket_{error.errno}")

    def close(self) -> None:
        """Close the socket."""
        self._loop.unregister(self._socket)
        self._socket.close()

    def _receive(self) -> None:
        for _ in range(MAX_BATCH_DATAGRAMS):
            try:
                data, sender = self._socket.recvfrom(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError as error:
                self._metrics.count("packet_dropped", f"socket_{error.errno}")
                return
            self._on_datagram(data, sender)
