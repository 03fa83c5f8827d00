"""Small HTTP/1.1 server on the event loop; h11 does the parsing."""

import socket
from collections.abc import Callable

import attrs
import h11

from bramleystair.logs import get_logger
from bramleystair.loop import READ, WRITE, EventLoop

log = get_logger("http")

READ_BYTES = 65_536
# Calls to a node are small; a larger body is refused before it fills the memory.
MAX_BODY_BYTES = 65_536
MAX_CONNECTIONS = 64
BACKLOG = 64


@attrs.frozen
class HttpRequest:
    """A complete request."""

    method: str
    target: str
    body: bytes


@attrs.frozen
class HttpReply:
    """A complete response."""

    status: int
    body: bytes = b""
    content_type: str = "application/json"


class HttpServer:
    """Answer requests with `respond`, which must not block.

    Parameters
    ----------
    loop : EventLoop
        Loop that drives the sockets.
    endpoint : tuple of str and int
        Address and port to listen on.
    respond : callable
        Returns the reply to a request.
    """

    def __init__(
        self,
        loop: EventLoop,
        endpoint: tuple[str, int],
        respond: Callable[[HttpRequest], HttpReply],
    ) -> None:
        self._loop = loop
        self._respond = respond
        self._connections: set[_Connection] = set()
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.bind(endpoint)
        self._socket.listen(BACKLOG)
        self._socket.setblocking(False)
        loop.register(self._socket, self._accept)

    @property
    def port(self) -> int:
        """Port that was opened."""
        return self._socket.getsockname()[1]

    def close(self) -> None:
        """Close the port and all connections."""
        self._loop.unregister(self._socket)
        self._socket.close()
        for connection in list(self._connections):
            connection.close()

    def _accept(self) -> None:
        try:
            sock, _ = self._socket.accept()
        except OSError as error:
            log.debug("accept failed: %s", error)
            return
        if len(self._connections) >= MAX_CONNECTIONS:
            # The oldest one is the most likely to be dead.
            next(iter(self._connections)).close()
        sock.setblocking(False)
        self._connections.add(
            _Connection(self._loop, sock, self._respond, self._connections)
        )


class _Connection:
    """One accepted connection."""

    def __init__(
        self,
        loop: EventLoop,
        sock: socket.socket,
        respond: Callable[[HttpRequest], HttpReply],
        connections: set["_Connection"],
    ) -> None:
        self._loop = loop
        self._socket = sock
        self._respond = respond
        self._connections = connections
        self._parser = h11.Connection(h11.SERVER)
        self._head: h11.Request | None = None
        self._body = b""
        self._outgoing = b""
        self._is_open = True
        loop.register(sock, self._read)

    def close(self) -> None:
        if not self._is_open:
            return
        self._is_open = False
        self._connections.discard(self)
        self._loop.unregister(self._socket)
        self._socket.close()

    def _read(self) -> None:
        try:
            data = self._socket.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError as error:
            log.debug("connection failed: %s", error)
            self.close()
            return
        try:
            self._parser.receive_data(data)
            self._take_events()
        except h11.ProtocolError as error:
            log.info("malformed request: %s", error)
            self.close()

    def _take_events(self) -> None:
        while self._is_open:
            event = self._parser.next_event()
            match event:
                case h11.Request():
                    self._head, self._body = event, b""
                case h11.Data():
                    self._body += event.data
                    if len(self._body) > MAX_BODY_BYTES:
                        log.info("request body over %d bytes", MAX_BODY_BYTES)
                        self.close()
                case h11.EndOfMessage():
                    self._reply()
                case h11.ConnectionClosed():
                    self.close()
                case _:
                    return

    def _reply(self) -> None:
        request = HttpRequest(
            self._head.method.decode(), self._head.target.decode(), self._body
        )
        reply = self._respond(request)
        headers = [
            ("Content-Type", reply.content_type),
            ("Content-Length", str(len(reply.body))),
        ]
        send = self._parser.send
        data = send(h11.Response(status_code=reply.status, headers=headers))
        if reply.body:
            data += send(h11.Data(data=reply.body))
        data += send(h11.EndOfMessage())
        self._outgoing += data
        self._write()

    def _write(self) -> None:
        try:
            sent = self._socket.send(self._outgoing)
        except BlockingIOError:
            sent = 0
        except OSError as error:
            log.info("reply failed: %s", error)
            self.close()
            return
        self._outgoing = self._outgoing[sent:]
        if self._outgoing:
            self._loop.modify(self._socket, self._write, WRITE)
            return
        if self._parser.our_state is not h11.DONE:
            self.close()
            return
        self._loop.modify(self._socket, self._read, READ)
        if self._parser.their_state is h11.DONE:
            self._parser.start_next_cycle()
