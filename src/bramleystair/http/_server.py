"""Minimal HTTP/1.1 server for the event loop, with h11 as its parser."""

import socket
from collections.abc import Callable

import attrs
import h11

from bramleystair.logs import get_logger
from bramleystair.loop import READ, WRITE, EventLoop

log = get_logger("http")

READ_BYTES = 65_536
# Requests to a node are small; the limit bounds the memory of a connection.
MAX_BODY_BYTES = 65_536
MAX_CONNECTIONS = 64
# Bytes of replies that all connections together may wait to send. Above it, a reply
# with a long body is replaced by status 503, and the peer asks again.
MAX_OUTGOING_BYTES = 16_777_216
LONG_BODY_BYTES = 65_536
UNAVAILABLE = 503
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
    """Respond to requests by calling `respond`, which must not block.

    Parameters
    ----------
    loop : EventLoop
        Event loop of the sockets.
    endpoint : tuple of str and int
        Address and port to listen on.
    respond : callable
        Called with a request; returns the reply.
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
        """Port on which the server listens."""
        return self._socket.getsockname()[1]

    def close(self) -> None:
        """Close the listening socket and all connections."""
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
            # Makes room by closing a connection. The oldest would be the most likely to
            # be dead, but a set has no order, so this closes an arbitrary one.
            next(iter(self._connections)).close()
        sock.setblocking(False)
        self._connections.add(
            _Connection(self._loop, sock, self._respond, self._connections)
        )


class _Connection:
    """An accepted connection."""

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
        self._request: h11.Request | None = None
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
            log.debug("receiving failed: %s", error)
            self.close()
            return
        try:
            self._parser.receive_data(data)
            self._process_events()
        except h11.ProtocolError as error:
            log.info("malformed request: %s", error)
            self.close()

    def _process_events(self) -> None:
        while self._is_open:
            event = self._parser.next_event()
            match event:
                case h11.Request():
                    self._request, self._body = event, b""
                case h11.Data():
                    self._body += event.data
                    if len(self._body) > MAX_BODY_BYTES:
                        log.info("request body larger than %d bytes", MAX_BODY_BYTES)
                        self.close()
                case h11.EndOfMessage():
                    self._send_reply()
                case h11.ConnectionClosed():
                    self.close()
                case _:
                    return

    def _send_reply(self) -> None:
        request = HttpRequest(
            self._request.method.decode(), self._request.target.decode(), self._body
        )
        reply = self._respond(request)
        if len(reply.body) > LONG_BODY_BYTES and not self._has_room(len(reply.body)):
            log.info("reply of %d bytes postponed", len(reply.body))
            reply = HttpReply(UNAVAILABLE)
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

    def _has_room(self, body_bytes: int) -> bool:
        """Return whether the replies that wait to be sent leave room for another.

        A single one may be of any length, as it is the copy that a node holds anyway.
        """
        waiting = sum(len(connection._outgoing) for connection in self._connections)
        return waiting == 0 or waiting + body_bytes <= MAX_OUTGOING_BYTES

    def _write(self) -> None:
        try:
            sent = self._socket.send(self._outgoing)
        except BlockingIOError:
            sent = 0
        except OSError as error:
            log.info("sending the reply failed: %s", error)
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
