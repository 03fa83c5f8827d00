"""HTTP/1.1 client for the event loop, with h11 as its parser."""

import errno
import socket
from collections.abc import Callable, Mapping
from concurrent.futures import Future

import attrs
import h11

from bramleystair.errors import StepError
from bramleystair.http._budget import TimeBudget
from bramleystair.logs import get_logger
from bramleystair.loop import READ, WRITE, EventLoop
from bramleystair.timers import TimerSubscription

log = get_logger("http")

READ_BYTES = 65_536
# TCP keepalive detects a dead peer of an idle connection within 3 s.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
MAX_IDLE_CONNECTIONS = 2
# Longest body of a response that is kept as a whole.
MAX_BODY_BYTES = 4_194_304
# Time in which the next piece of a body must arrive that is passed on in pieces.
PIECE_TIMEOUT_S = 1.5
CONNECT_OK_CODES = (0, errno.EINPROGRESS)


@attrs.frozen
class HttpResponse:
    """A complete response.

    Parameters
    ----------
    body : bytes
        Empty if it was passed on in pieces.
    headers : mapping of bytes to bytes
        Headers by lower-case name.
    """

    status: int
    body: bytes
    headers: Mapping[bytes, bytes] = attrs.field(factory=dict)


@attrs.frozen
class HttpFailure(StepError):
    """A call without a complete response; the server may have processed the request.

    Parameters
    ----------
    is_connection_refused : bool
        Whether the peer refused the connection, as nothing listens on the port.
    """

    is_connection_refused: bool = False


class HttpClient:
    """Client of one server, with one connection for each call in progress.

    Parameters
    ----------
    loop : EventLoop
        Event loop of the sockets.
    endpoint : tuple of str and int
        Address and port of the server.
    budget : TimeBudget or None
        Limits the time spent on bodies that are passed on in pieces. A connection is
        not read while the budget is spent, so its peer waits.
    """

    def __init__(
        self,
        loop: EventLoop,
        endpoint: tuple[str, int],
        budget: TimeBudget | None = None,
    ) -> None:
        self._loop = loop
        self.endpoint = endpoint
        self._budget = budget
        self._idle: list[_Connection] = []

    def call(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        timeout_s: float = 2.0,
        max_body_bytes: int = MAX_BODY_BYTES,
        on_body: Callable[[bytes], None] | None = None,
    ) -> Future:
        """Send a request and return a future of its outcome.

        Parameters
        ----------
        timeout_s : float
            Time limit in seconds; for a body that is passed on, up to its first piece.
        max_body_bytes : int
            Longest body that is kept; the call fails if the body is longer.
        on_body : callable, optional
            Called with each piece of the body, which is then not kept. Must not raise.

        Returns
        -------
        Future of HttpResponse or HttpFailure
            Completed on the thread of the event loop.
        """
        future: Future = Future()
        while self._idle:
            connection = self._idle.pop()
            if connection.is_open:
                break
        else:
            try:
                connection = _Connection(
                    self._loop, self.endpoint, self._idle, self._budget
                )
            except OSError as error:
                future.set_result(_build_failure("connect", self._peer, error))
                return future
        connection.start(
            method, target, body, timeout_s, future, max_body_bytes, on_body
        )
        return future

    def close(self) -> None:
        """Close the idle connections."""
        for connection in self._idle:
            connection.close()
        self._idle.clear()

    @property
    def _peer(self) -> str:
        return _format_endpoint(self.endpoint)


class _Connection:
    """A connection for one call at a time."""

    def __init__(
        self,
        loop: EventLoop,
        endpoint: tuple[str, int],
        idle: list["_Connection"],
        budget: TimeBudget | None,
    ) -> None:
        self._loop = loop
        self._peer = _format_endpoint(endpoint)
        self._idle = idle
        self._budget = budget
        self._parser = h11.Connection(h11.CLIENT)
        self._future: Future | None = None
        self._timer: TimerSubscription | None = None
        self._outgoing = b""
        self._status = 0
        self._headers: Mapping[bytes, bytes] = {}
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._max_body_bytes = MAX_BODY_BYTES
        self._on_body: Callable[[bytes], None] | None = None
        self.is_open = True
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._socket.setblocking(False)
        _set_keepalive(self._socket)
        code = self._socket.connect_ex(endpoint)
        if code not in CONNECT_OK_CODES:
            self._socket.close()
            raise OSError(code, errno.errorcode.get(code, "unknown"))
        loop.register(self._socket, self._on_ready, READ | WRITE)

    def start(
        self,
        method: str,
        target: str,
        body: bytes,
        timeout_s: float,
        future: Future,
        max_body_bytes: int,
        on_body: Callable[[bytes], None] | None,
    ) -> None:
        """Send a request and complete `future` with its outcome."""
        self._max_body_bytes, self._on_body = max_body_bytes, on_body
        headers = [("Host", self._peer)]
        if body:
            headers.append(("Content-Type", "application/json"))
        if body or method in ("POST", "PUT"):
            headers.append(("Content-Length", str(len(body))))
        send = self._parser.send
        data = send(h11.Request(method=method, target=target, headers=headers))
        if body:
            data += send(h11.Data(data=body))
        self._outgoing = data + send(h11.EndOfMessage())
        self._future = future
        self._limit_time(timeout_s)
        self._loop.modify(self._socket, self._on_ready, READ | WRITE)

    def close(self) -> None:
        """Close the socket."""
        if not self.is_open:
            return
        self.is_open = False
        self._loop.unregister(self._socket)
        self._socket.close()

    def _limit_time(self, seconds: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.timers.subscribe_once(
            seconds, lambda _: self._fail("timeout")
        )

    def _on_ready(self) -> None:
        started_s = self._loop.clock.now()
        self._receive()
        if self.is_open and self._future is not None and self._body_bytes:
            self._wait_for_piece(self._loop.clock.now() - started_s)

    def _wait_for_piece(self, spent_s: float) -> None:
        """Wait for the next piece of a body, and before that for the budget."""
        if self._on_body is None:
            return
        delay_s = 0.0 if self._budget is None else self._budget.spend(spent_s)
        self._limit_time(PIECE_TIMEOUT_S + delay_s)
        if delay_s > 0:
            self._loop.unregister(self._socket)
            self._loop.timers.subscribe_once(delay_s, lambda _: self._resume())

    def _resume(self) -> None:
        if self.is_open:
            self._loop.register(self._socket, self._on_ready, READ)

    def _receive(self) -> None:
        try:
            if self._outgoing:
                sent = self._socket.send(self._outgoing)
                self._outgoing = self._outgoing[sent:]
                if not self._outgoing:
                    self._loop.modify(self._socket, self._on_ready, READ)
            data = self._socket.recv(READ_BYTES)
            self._parser.receive_data(data)
            self._process_events()
        except BlockingIOError:
            return
        except OSError as error:
            self._close_with(_build_failure("call", self._peer, error))
        except h11.ProtocolError as error:
            self._fail(f"malformed response: {error}")

    def _process_events(self) -> None:
        while self.is_open:
            event = self._parser.next_event()
            match event:
                case h11.Response():
                    self._status, self._body = event.status_code, []
                    self._body_bytes = 0
                    self._headers = dict(event.headers)
                case h11.Data():
                    self._add_to_body(bytes(event.data))
                case h11.EndOfMessage():
                    self._complete()
                    return
                case h11.ConnectionClosed():
                    self._fail("connection closed by the peer")
                    return
                case _:
                    return

    def _add_to_body(self, data: bytes) -> None:
        self._body_bytes += len(data)
        if self._on_body is not None:
            self._on_body(data)
        elif self._body_bytes <= self._max_body_bytes:
            self._body.append(data)
        else:
            self._fail(f"body of more than {self._max_body_bytes} bytes")

    def _complete(self) -> None:
        future, self._future = self._future, None
        self._timer.cancel()
        response = HttpResponse(self._status, b"".join(self._body), self._headers)
        self._body, self._body_bytes, self._on_body = [], 0, None
        if (
            self._parser.our_state is h11.DONE
            and self._parser.their_state is h11.DONE
            and len(self._idle) < MAX_IDLE_CONNECTIONS
        ):
            self._parser.start_next_cycle()
            self._idle.append(self)
        else:
            self.close()
        if future is not None:
            future.set_result(response)

    def _fail(self, detail: str) -> None:
        self._close_with(HttpFailure("call", self._peer, detail))

    def _close_with(self, failure: HttpFailure) -> None:
        self.close()
        if self in self._idle:
            self._idle.remove(self)
        self._body, self._on_body = [], None
        future, self._future = self._future, None
        if self._timer is not None:
            self._timer.cancel()
        if future is not None:
            future.set_result(failure)


def _format_endpoint(endpoint: tuple[str, int]) -> str:
    return f"{endpoint[0]}:{endpoint[1]}"


def _build_failure(step: str, peer: str, error: OSError) -> HttpFailure:
    detail = error.strerror or "connection failed"
    return HttpFailure(step, peer, detail, error.errno == errno.ECONNREFUSED)


def _set_keepalive(sock: socket.socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, 3000),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)
