"""Length-prefixed envelopes over TCP."""

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
# The longest body of a request or response, and room for the rest of the envelope.
MAX_FRAME_BYTES = MAX_BODY_BYTES + 4096
MAX_CONNECTIONS = 1024
MAX_QUEUED_MESSAGES = 1024
CONNECT_TIMEOUT_S = 2.0
# A peer that takes no data for this long is treated as lost.
SEND_TIMEOUT_S = 10.0
# Longest wait for peers to take their last messages before a stop.
FLUSH_TIMEOUT_S = 5.0
READ_CHUNK_BYTES = 2**18
# A VM that failed sends nothing, so idle connections to it are probed.
SOCKET_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 15),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 5),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 3),
)


def read_frame(sock: socket.socket, peer: str) -> Result[Envelope, StepError]:
    """Return the next envelope of a connection.

    Returns
    -------
    Result of Envelope or StepError
        The error covers the end of the connection, frames above `MAX_FRAME_BYTES`
        and malformed envelopes.
    """
    try:
        (length,) = _LENGTH.unpack(_read_exactly(sock, _LENGTH.size))
        if length > MAX_FRAME_BYTES:
            detail = f"{length} bytes, at most {MAX_FRAME_BYTES} are allowed"
            return Err(StepError("read frame", peer, detail))
        data = _read_exactly(sock, length)
    except OSError as error:
        return Err(StepError("read frame", peer, str(error) or "connection closed"))
    return decode(data, peer)


def build_frame(
    sender: str, incarnation: int, message: Message, peer: str = ""
) -> Result[bytes, StepError]:
    """Return the bytes of `message` with its length in front."""
    data = encode(sender, incarnation, message)
    if len(data) > MAX_FRAME_BYTES:
        detail = f"{len(data)} bytes, at most {MAX_FRAME_BYTES} are allowed"
        return Err(StepError("build frame", peer, detail))
    return Ok(_LENGTH.pack(len(data)) + data)


class Connection:
    """One connection on which senders never block.

    A frame is sent at once while the system takes it, and by the connection's writer
    otherwise, which saves a change of threads for most frames.

    Parameters
    ----------
    peer : str
        Name of the connection for messages and errors.
    sock : socket.socket or None
        Connected socket; None to connect to `address` in the writer.
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
        # The first frame stays in the queue while the writer sends it.
        self._waiting: collections.deque[bytes | memoryview] = collections.deque()
        self._changed = threading.Condition()

    @property
    def is_closed(self) -> bool:
        """Return whether the connection has ended."""
        return self._is_closed

    def send(self, frame: bytes) -> Result[None, StepError]:
        """Send a frame, or queue what the system does not take at once."""
        with self._changed:
            if self._is_closed:
                return Err(StepError("send frame", self.peer, "connection closed"))
            if len(self._waiting) >= MAX_QUEUED_MESSAGES:
                detail = f"{MAX_QUEUED_MESSAGES} messages are waiting"
                return Err(StepError("send frame", self.peer, detail))
            sent = 0
            if self._is_open and not self._waiting:
                sent = self._send_now(frame)
            if sent < len(frame):
                self._waiting.append(memoryview(frame)[sent:])
                self._changed.notify()
        return Ok(None)

    def open(self) -> Result[None, StepError]:
        """Connect if that has not been done."""
        try:
            if self._sock is None:
                self._sock = socket.create_connection(self.address, CONNECT_TIMEOUT_S)
            self._sock.settimeout(None)
            for level, option, value in SOCKET_OPTIONS:
                self._sock.setsockopt(level, option, value)
        except OSError as error:
            return Err(StepError("connect", self.peer, str(error)))
        with self._changed:
            if self._is_closed:
                self._sock.close()
                return Err(StepError("connect", self.peer, "connection closed"))
            self._is_open = True
        return Ok(None)

    def write_all(self) -> Result[None, StepError]:
        """Write queued frames until the connection ends."""
        timeout = struct.pack("ll", int(SEND_TIMEOUT_S), 0)
        try:
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDTIMEO, timeout)
            while (frame := self._get_next()) is not None:
                self._sock.sendall(frame)
                with self._changed:
                    self._waiting.popleft()
                    self._changed.notify_all()
        except OSError as error:
            return Err(StepError("send frame", self.peer, str(error)))
        finally:
            self.close()
        return Ok(None)

    def read_all(self, receive: Callable[[Envelope], None]) -> StepError:
        """Pass envelopes to `receive` until the connection ends; return why it did."""
        while True:
            result = read_frame(self._sock, self.peer)
            if result.is_err():
                self.close()
                return result.err()
            receive(result.ok())

    def flush(self, timeout_s: float) -> bool:
        """Wait until nothing is queued; return whether that is so."""
        with self._changed:
            return self._changed.wait_for(
                lambda: self._is_closed or not self._waiting, timeout_s
            )

    def close(self) -> None:
        """End the connection, and with it its reader and writer."""
        with self._changed:
            if self._is_closed:
                return
            self._is_closed = True
            self._changed.notify_all()
        if self._sock is not None:
            _shut_down(self._sock)

    def _send_now(self, frame: bytes) -> int:
        """Return how many bytes the system has taken without waiting."""
        try:
            return self._sock.send(frame, socket.MSG_DONTWAIT)
        except OSError:
            # The writer meets the same error, if it is one, and ends the connection.
            return 0

    def _get_next(self) -> bytes | memoryview | None:
        with self._changed:
            self._changed.wait_for(lambda: self._waiting or self._is_closed)
            return None if self._is_closed else self._waiting[0]


class StreamServer:
    """Accept connections and pass on the envelopes that arrive.

    Parameters
    ----------
    host, port : str, int
        Address to listen on; port 0 lets the system choose.
    name, incarnation : str, int
        Sender of the messages that are sent back.
    receive : callable
        Called with the connection's name and an envelope, from several threads.
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
        """Begin to accept connections."""
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
        """Send what is queued, close all connections and wait for their threads."""
        self._is_stopping = True
        _shut_down(self._socket)
        with self._lock:
            connections = list(self._connections.values())
        flushed_s = time.monotonic() + FLUSH_TIMEOUT_S
        for connection in connections:
            if not connection.flush(max(0.0, flushed_s - time.monotonic())):
                log.warning("wire: %s did not read its last messages", connection.peer)
            connection.close()
        self._pool.shutdown(wait=True)

    def _accept(self) -> None:
        number = 0
        while not self._is_stopping:
            try:
                sock, address = self._socket.accept()
            except OSError as error:
                if not self._is_stopping:
                    log.error("wire: accepting failed: %s", error)
                return
            number += 1
            self._add(Connection(f"{address[0]}:{address[1]}#{number}", sock))

    def _add(self, connection: Connection) -> None:
        with self._lock:
            is_full = self._is_stopping or len(self._connections) >= MAX_CONNECTIONS
            if not is_full:
                self._connections[connection.peer] = connection
        if is_full or connection.open().is_err():
            log.warning("wire: refusing connection %s", connection.peer)
            self._remove(connection)
            return
        self._pool.submit(connection.write_all)
        self._pool.submit(self._read, connection)

    def _read(self, connection: Connection) -> None:
        try:
            error = connection.read_all(
                lambda envelope: self._receive(connection.peer, envelope)
            )
            log.debug("wire: %s", error)
        except Exception:
            log.exception("wire: handling a message of %s failed", connection.peer)
        finally:
            self._remove(connection)

    def _remove(self, connection: Connection) -> None:
        connection.close()
        with self._lock:
            self._connections.pop(connection.peer, None)


class StreamClient:
    """Hold one connection for each peer.

    Parameters
    ----------
    name, incarnation : str, int
        Sender of the messages.
    receive : callable
        Called with the peer's name and an envelope.
    lose : callable
        Called with the error when a connection fails or can't be made.
    """

    def __init__(
        self,
        name: str,
        incarnation: int,
        receive: Callable[[str, Envelope], None],
        lose: Callable[[StepError], None],
    ) -> None:
        self._name = name
        self._incarnation = incarnation
        self._receive = receive
        self._lose = lose
        self._connections: dict[str, Connection] = {}
        self._lock = threading.Lock()
        self._pool = concurrent.futures.ThreadPoolExecutor(2 * MAX_CONNECTIONS)
        self._is_stopping = False

    def send(
        self, peer: str, address: tuple[str, int], message: Message
    ) -> Result[None, StepError]:
        """Send `message` to `peer`, connecting first where needed."""
        frame = build_frame(self._name, self._incarnation, message, peer)
        if frame.is_err():
            return frame
        with self._lock:
            connection = self._connections.get(peer)
            if connection is not None and _is_usable(connection, address):
                return connection.send(frame.ok())
            opened = self._open(peer, address)
            if opened.is_err():
                return opened
            # The frame is queued first, so that a failure is reported only once.
            opened.ok().send(frame.ok())
            self._pool.submit(self._carry, opened.ok())
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

    def _open(
        self, peer: str, address: tuple[str, int]
    ) -> Result[Connection, StepError]:
        if self._is_stopping or len(self._connections) >= MAX_CONNECTIONS:
            return Err(StepError("connect", peer, "stopping or too many connections"))
        old = self._connections.get(peer)
        if old is not None:
            old.close()
        connection = Connection(peer, address=address)
        self._connections[peer] = connection
        return Ok(connection)

    def _carry(self, connection: Connection) -> None:
        opened = connection.open()
        if opened.is_err():
            self._drop(connection, opened.err())
            return
        self._pool.submit(self._read, connection)
        connection.write_all()

    def _read(self, connection: Connection) -> None:
        error = StepError("receive message", connection.peer, "the handler failed")
        try:
            error = connection.read_all(
                lambda envelope: self._receive(connection.peer, envelope)
            )
        except Exception:
            log.exception("wire: handling a message of %s failed", connection.peer)
        finally:
            self._drop(connection, error)

    def _drop(self, connection: Connection, error: StepError) -> None:
        connection.close()
        with self._lock:
            if self._connections.get(connection.peer) is connection:
                del self._connections[connection.peer]
        if not self._is_stopping:
            self._lose(error)


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
        # The peer has closed it already.
        pass
    finally:
        sock.close()
