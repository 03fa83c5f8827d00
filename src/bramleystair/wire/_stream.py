"""TCP client and server for length-prefixed envelopes."""

import collections
import concurrent.futures
import logging
import socket
import struct
import threading
import time
from collections.abc import Callable, Set

from result import Err, Ok, Result

from bramleystair.errors import StepError
from bramleystair.wire._codec import decode, encode
from bramleystair.wire._messages import Envelope, Message

log = logging.getLogger("bramleystair.wire")

_LENGTH = struct.Struct(">I")
MAX_BODY_BYTES = 16 * 2**20
# Largest body of a request or response, plus the other fields of the envelope.
MAX_FRAME_BYTES = MAX_BODY_BYTES + 4096
MAX_CONNECTIONS = 1024
MAX_QUEUED_MESSAGES = 1024
CONNECT_TIMEOUT_S = 2.0
# A peer that accepts no data for this long is treated as lost.
SEND_TIMEOUT_S = 10.0
# Limit on writing the queued messages to all peers before a stop.
FLUSH_TIMEOUT_S = 5.0
READ_CHUNK_BYTES = 2**18
# A failed VM sends neither FIN nor RST, so keepalives probe idle connections.
SOCKET_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 15),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 5),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 3),
)


def read_frame(sock: socket.socket, peer: str) -> Result[Envelope, StepError]:
    """Read the next envelope from a connection.

    Returns
    -------
    Result of Envelope or StepError
        The error covers the end of the connection, frames larger than
        `MAX_FRAME_BYTES` and malformed envelopes.
    """
    try:
        (length,) = _LENGTH.unpack(_read_exactly(sock, _LENGTH.size))
        if length > MAX_FRAME_BYTES:
            detail = f"{length} bytes exceed the limit of {MAX_FRAME_BYTES} bytes"
            return Err(StepError("read frame", peer, detail))
        data = _read_exactly(sock, length)
    except OSError as error:
        return Err(StepError("read frame", peer, str(error) or "connection closed"))
    return decode(data, peer)


def build_frame(
    sender: str, incarnation: int, message: Message, peer: str = ""
) -> Result[bytes, StepError]:
    """Return the bytes of `message`, preceded by their length."""
    data = encode(sender, incarnation, message)
    if len(data) > MAX_FRAME_BYTES:
        detail = f"{len(data)} bytes exceed the limit of {MAX_FRAME_BYTES} bytes"
        return Err(StepError("build frame", peer, detail))
    return Ok(_LENGTH.pack(len(data)) + data)


class Connection:
    """A connection whose senders never block.

    A frame is sent on the caller's thread as far as the socket accepts it without
    blocking, which saves most frames a thread switch. The connection's writer sends the
    rest.

    Parameters
    ----------
    peer : str
        Name of the connection, for logs and errors.
    sock : socket.socket or None
        Connected socket; None to connect to `address` in `open`.
    address : tuple of str and int or None
        Address of the peer; needed only without `sock`.
    """

    def __init__(
        self,
        peer: str,
        sock: socket.socket | None = None,
        address: tuple[str, int] | None = None,
    ) -> None:
        self.peer = peer
        self.address = address
        self._sock = sock
        self._is_open = False
        self._is_closed = False
        # The writer removes a frame only once it is sent, which keeps frames in order.
        self._queue: collections.deque[bytes | memoryview] = collections.deque()
        self._condition = threading.Condition()

    @property
    def is_closed(self) -> bool:
        """Return whether the connection is closed."""
        return self._is_closed

    def send(self, frame: bytes) -> Result[None, StepError]:
        """Send a frame, queueing what the socket does not accept at once."""
        with self._condition:
            if self._is_closed:
                return Err(StepError("send frame", self.peer, "connection closed"))
            if len(self._queue) >= MAX_QUEUED_MESSAGES:
                detail = f"{MAX_QUEUED_MESSAGES} messages are queued"
                return Err(StepError("send frame", self.peer, detail))
            sent = 0
            if self._is_open and not self._queue:
                sent = self._send_nonblocking(frame)
            if sent < len(frame):
                self._queue.append(memoryview(frame)[sent:])
                self._condition.notify()
        return Ok(None)

    def open(self) -> Result[None, StepError]:
        """Connect if there is no socket yet, and set the socket options."""
        try:
            if self._sock is None:
                self._sock = socket.create_connection(self.address, CONNECT_TIMEOUT_S)
            self._sock.settimeout(None)
            for level, option, value in SOCKET_OPTIONS:
                self._sock.setsockopt(level, option, value)
        except OSError as error:
            return Err(StepError("connect", self.peer, str(error)))
        with self._condition:
            if self._is_closed:
                self._sock.close()
                return Err(StepError("connect", self.peer, "connection closed"))
            self._is_open = True
        return Ok(None)

    def write_all(self) -> Result[None, StepError]:
        """Send queued frames until the connection closes."""
        timeout = struct.pack("ll", int(SEND_TIMEOUT_S), 0)
        try:
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDTIMEO, timeout)
            while (frame := self._wait_for_frame()) is not None:
                self._sock.sendall(frame)
                with self._condition:
                    self._queue.popleft()
                    self._condition.notify_all()
        except OSError as error:
            return Err(StepError("send frame", self.peer, str(error)))
        finally:
            self.close()
        return Ok(None)

    def read_all(self, receive: Callable[[Envelope], None]) -> StepError:
        """Pass envelopes to `receive` until the connection ends; return its error."""
        while True:
            result = read_frame(self._sock, self.peer)
            if result.is_err():
                self.close()
                return result.err()
            receive(result.ok())

    def flush(self, timeout_s: float) -> bool:
        """Wait for an empty queue or the connection's end; False on a time-out."""
        with self._condition:
            return self._condition.wait_for(
                lambda: self._is_closed or not self._queue, timeout_s
            )

    def close(self) -> None:
        """Close the connection, which also ends its reader and writer."""
        with self._condition:
            if self._is_closed:
                return
            self._is_closed = True
            self._condition.notify_all()
        if self._sock is not None:
            _shut_down(self._sock)

    def _send_nonblocking(self, frame: bytes) -> int:
        """Send without blocking and return the number of bytes sent."""
        try:
            return self._sock.send(frame, socket.MSG_DONTWAIT)
        except OSError:
            # The writer retries, and closes the connection if the error persists.
            return 0

    def _wait_for_frame(self) -> bytes | memoryview | None:
        with self._condition:
            self._condition.wait_for(lambda: self._queue or self._is_closed)
            return None if self._is_closed else self._queue[0]


class StreamServer:
    """Accept connections and pass received envelopes to a callback.

    Parameters
    ----------
    host, port : str, int
        Address to listen on; port 0 lets the system choose.
    name, incarnation : str, int
        Sender of the messages sent by the server.
    receive : callable
        Called with the connection's name and an envelope, on the thread of each
        connection's reader.
    """

    def __init__(
        self,
        host: str,
        port: int,
        name: str,
        incarnation: int,
        receive: Callable[[str, Envelope], None],
    ) -> None:
        self._name = name
        self._incarnation = incarnation
        self._receive = receive
        self._connections: dict[str, Connection] = {}
        self._lock = threading.Lock()
        self._pool = concurrent.futures.ThreadPoolExecutor(2 * MAX_CONNECTIONS + 1)
        self._socket = socket.create_server((host, port), backlog=256)
        self._is_stopping = False

    @property
    def address(self) -> tuple[str, int]:
        """Return the address that the server listens on."""
        return self._socket.getsockname()[:2]

    def count_connections(self) -> int:
        """Return the number of open connections."""
        with self._lock:
            return len(self._connections)

    def start(self) -> None:
        """Start accepting connections."""
        self._pool.submit(self._accept)

    def send(self, peer: str, message: Message) -> Result[None, StepError]:
        """Send `message` on the connection named `peer`."""
        with self._lock:
            connection = self._connections.get(peer)
        if connection is None:
            return Err(StepError("send frame", peer, "connection closed"))
        frame = build_frame(self._name, self._incarnation, message, peer)
        return frame.and_then(connection.send)

    def stop(self) -> None:
        """Send queued frames, close all connections and wait for their threads."""
        self._is_stopping = True
        _shut_down(self._socket)
        with self._lock:
            connections = list(self._connections.values())
        deadline_s = time.monotonic() + FLUSH_TIMEOUT_S
        for connection in connections:
            if not connection.flush(max(0.0, deadline_s - time.monotonic())):
                log.warning(
                    "wire: messages queued for %s were not sent before the stop",
                    connection.peer,
                )
            connection.close()
        self._pool.shutdown(wait=True)

    def _accept(self) -> None:
        number = 0
        while not self._is_stopping:
            try:
                sock, address = self._socket.accept()
            except OSError as error:
                if not self._is_stopping:
                    log.error("wire: accept failed: %s", error)
                return
            number += 1
            self._start_connection(
                Connection(f"{address[0]}:{address[1]}#{number}", sock)
            )

    def _start_connection(self, connection: Connection) -> None:
        with self._lock:
            is_full = self._is_stopping or len(self._connections) >= MAX_CONNECTIONS
            if not is_full:
                self._connections[connection.peer] = connection
        if is_full or connection.open().is_err():
            log.warning("wire: refusing connection %s", connection.peer)
            self._remove_connection(connection)
            return
        self._pool.submit(connection.write_all)
        self._pool.submit(self._read_envelopes, connection)

    def _read_envelopes(self, connection: Connection) -> None:
        try:
            error = connection.read_all(
                lambda envelope: self._receive(connection.peer, envelope)
            )
            log.debug("wire: %s", error)
        except Exception:
            log.exception("wire: message handler failed for %s", connection.peer)
        finally:
            self._remove_connection(connection)

    def _remove_connection(self, connection: Connection) -> None:
        connection.close()
        with self._lock:
            self._connections.pop(connection.peer, None)


class StreamClient:
    """Send messages to peers, over one connection to each.

    Parameters
    ----------
    name, incarnation : str, int
        Sender of the messages.
    receive : callable
        Called with the peer's name and an envelope.
    on_failure : callable
        Called with the error when a connection can't be opened or fails.
    """

    def __init__(
        self,
        name: str,
        incarnation: int,
        receive: Callable[[str, Envelope], None],
        on_failure: Callable[[StepError], None],
    ) -> None:
        self._name = name
        self._incarnation = incarnation
        self._receive = receive
        self._on_failure = on_failure
        self._connections: dict[str, Connection] = {}
        self._lock = threading.Lock()
        self._pool = concurrent.futures.ThreadPoolExecutor(2 * MAX_CONNECTIONS)
        self._is_stopping = False

    def send(
        self, peer: str, address: tuple[str, int], message: Message
    ) -> Result[None, StepError]:
        """Send `message` to `peer`, connecting first if needed."""
        frame = build_frame(self._name, self._incarnation, message, peer)
        if frame.is_err():
            return frame
        with self._lock:
            connection = self._connections.get(peer)
            if connection is not None and _is_usable(connection, address):
                return connection.send(frame.ok())
            created = self._create_connection(peer, address)
            if created.is_err():
                return created
            # Queued before the connection opens, so that a failure to connect is
            # reported only once, through `on_failure`.
            created.ok().send(frame.ok())
            self._pool.submit(self._run_connection, created.ok())
        return Ok(None)

    def close_except(self, peers: Set[str]) -> None:
        """Close the connections to peers other than `peers`."""
        with self._lock:
            others = [
                connection
                for peer, connection in self._connections.items()
                if peer not in peers
            ]
        for connection in others:
            connection.close()

    def stop(self) -> None:
        """Close all connections and wait for their threads."""
        with self._lock:
            self._is_stopping = True
            connections = list(self._connections.values())
        for connection in connections:
            connection.close()
        self._pool.shutdown(wait=True)

    def _create_connection(
        self, peer: str, address: tuple[str, int]
    ) -> Result[Connection, StepError]:
        if self._is_stopping or len(self._connections) >= MAX_CONNECTIONS:
            return Err(
                StepError("connect", peer, "stopping or at the connection limit")
            )
        old = self._connections.get(peer)
        if old is not None:
            old.close()
        connection = Connection(peer, address=address)
        self._connections[peer] = connection
        return Ok(connection)

    def _run_connection(self, connection: Connection) -> None:
        opened = connection.open()
        if opened.is_err():
            self._end_connection(connection, opened.err())
            return
        self._pool.submit(self._read_envelopes, connection)
        connection.write_all()

    def _read_envelopes(self, connection: Connection) -> None:
        error = StepError("receive message", connection.peer, "message handler failed")
        try:
            error = connection.read_all(
                lambda envelope: self._receive(connection.peer, envelope)
            )
        except Exception:
            log.exception("wire: message handler failed for %s", connection.peer)
        finally:
            self._end_connection(connection, error)

    def _end_connection(self, connection: Connection, error: StepError) -> None:
        connection.close()
        with self._lock:
            if self._connections.get(connection.peer) is connection:
                del self._connections[connection.peer]
        if not self._is_stopping:
            self._on_failure(error)


def _is_usable(connection: Connection, address: tuple[str, int]) -> bool:
    return not connection.is_closed and connection.address == address


def _read_exactly(sock: socket.socket, length: int) -> bytes:
    data = bytearray()
    while len(data) < length:
        part = sock.recv(min(length - len(data), READ_CHUNK_BYTES))
        if not part:
            raise ConnectionError("connection closed")
        data += part
    return bytes(data)


def _shut_down(sock: socket.socket) -> None:
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        # The peer has already closed the connection.
        pass
    finally:
        sock.close()
