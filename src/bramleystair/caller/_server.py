"""HTTP server that passes callers' requests to the dispatcher."""

import concurrent.futures
import itertools
import logging
import select
import socket
import threading
from collections.abc import Callable

from cheroot import wsgi
from result import Err, Ok, Result
from werkzeug.exceptions import HTTPException
from werkzeug.routing import Map, Rule
from werkzeug.wrappers import Request, Response

from bramleystair.actions import Count, Send
from bramleystair.caller._responses import build_error_response, build_response
from bramleystair.caller._settings import CallerSettings
from bramleystair.errors import StepError
from bramleystair.flows import MessageArrived, Tick, ViewChanged
from bramleystair.requests import (
    CallArrived,
    CallerDisconnected,
    CallKind,
    Dispatcher,
    DispatcherEvent,
    LoadReported,
    Outcome,
    PeerDisconnected,
    Reply,
    decode_ticket,
)
from bramleystair.timers import TimerService, TimerSubscription
from bramleystair.views import View
from bramleystair.wire import (
    MAX_BODY_BYTES,
    Envelope,
    Message,
    ServiceLoad,
    StreamClient,
)

log = logging.getLogger("bramleystair.caller")

BAD_REQUEST = 400
NOT_FOUND = 404
CONTENT_TOO_LARGE = 413
SERVICE_UNAVAILABLE = 503
SOCKET_ENVIRON_KEY = "bramleystair.socket"
# Additional threads that refuse calls without delay while all others are busy.
REFUSAL_THREADS = 4
READ_CHUNK_BYTES = 2**16
# Interval at which the HTTP server checks for a stop request and expired connections.
MAINTENANCE_INTERVAL_S = 0.1

ROUTES = Map(
    [
        Rule("/v1/services/<service>/requests", methods=["POST"], endpoint="new"),
        Rule(
            "/v1/requests/<ticket>",
            methods=["PUT", "GET", "DELETE"],
            endpoint="ticket",
        ),
    ]
)


class _SocketGateway(wsgi.Gateway_10):
    """WSGI gateway that exposes the socket, to detect callers that disconnect."""

    def get_environ(self) -> dict:
        """Return the WSGI environment, with the caller's socket added."""
        return {**super().get_environ(), SOCKET_ENVIRON_KEY: self.req.conn.socket}


class CallerServer:
    """HTTP/1.1 server for callers.

    Parameters
    ----------
    host, port : str, int
        Address to listen on; port 0 lets the system choose.
    name, incarnation : str, int
        Name and incarnation that identify the sender to agents.
    dispatcher : Dispatcher
        State machine that handles the requests.
    timers : TimerService
        Schedules the dispatcher ticks; run by the daemon.
    settings : CallerSettings
        Limits and timeouts.
    count : callable
        Called with each counter increment.
    """

    def __init__(
        self,
        host: str,
        port: int,
        name: str,
        incarnation: int,
        dispatcher: Dispatcher,
        timers: TimerService,
        settings: CallerSettings,
        count: Callable[[Count], None],
    ) -> None:
        self._dispatcher = dispatcher
        self._timers = timers
        self._settings = settings
        # A longer body does not fit into one frame to the agent.
        self._max_body_bytes = min(settings.max_body_bytes, MAX_BODY_BYTES)
        self._count = count
        self._view = View()
        self._lock = threading.Lock()
        self._tick_timer: TimerSubscription | None = None
        self._call_ids = itertools.count(1)
        self._reply_futures: dict[int, concurrent.futures.Future[Reply]] = {}
        self._is_stopping = False
        self._agent_client = StreamClient(
            name, incarnation, self._receive, self._handle_connection_lost
        )
        self._http_server = wsgi.Server(
            (host, port),
            self._handle_wsgi_call,
            numthreads=settings.threads + REFUSAL_THREADS,
            request_queue_size=1024,
            shutdown_timeout=settings.stop_timeout_s,
        )
        self._http_server.gateway = _SocketGateway
        # Disables the limit of cheroot: _read_body enforces it, with a JSON error.
        self._http_server.max_request_body_size = 0
        self._http_server.expiration_interval = MAINTENANCE_INTERVAL_S
        self._http_server.keep_alive_conn_limit = settings.max_idle_connections
        self._server_executor = concurrent.futures.ThreadPoolExecutor(1)

    @property
    def address(self) -> tuple[str, int]:
        """Return the address that the server listens on."""
        return self._http_server.bind_addr

    def start(self) -> None:
        """Start accepting calls."""
        self._http_server.prepare()
        self._server_executor.submit(self._http_server.serve)
        log.info("caller: serving on %s:%d", *self.address)

    def stop(self) -> None:
        """Refuse new calls, wait for those in progress, then stop.

        Blocks for up to `stop_timeout_s` until the calls in progress have got their
        replies, and then until the HTTP server has stopped.
        """
        self._is_stopping = True
        waiting = list(self._reply_futures.values())
        concurrent.futures.wait(waiting, self._settings.stop_timeout_s)
        self._http_server.stop()
        self._server_executor.shutdown(wait=True)
        with self._lock:
            self._stop_tick_timer()
        self._agent_client.stop()
        log.info("caller: stopped")

    def set_view(self, view: View) -> None:
        """Replace the current view; drop connections to agents out of service.

        May be called while other threads serve calls, but by one thread at a time.
        """
        self._view = view
        self._submit(ViewChanged(view))
        # TCP keep-alive probes on idle connections would still enter a zone that is out
        # of service.
        reachable = {
            agent.server
            for agent in view.agents.values()
            if view.is_in_service(agent.zone)
        }
        self._agent_client.close_except(reachable)

    def set_loads(self, server: str, loads: tuple[ServiceLoad, ...]) -> None:
        """Apply a load report of the agent of `server`.

        May be called from any thread.
        """
        self._submit(LoadReported(server, loads))

    # Events and actions

    def _submit(self, event: DispatcherEvent) -> None:
        with self._lock:
            actions = self._dispatcher.handle(event, self._timers.clock.now())
            self._update_tick_timer()
        for action in actions:
            match action:
                case Send(peer, message):
                    self._send_message(peer, message)
                case Reply(call_id):
                    self._resolve_call(call_id, action)
                case Count():
                    self._count(action)

    def _update_tick_timer(self) -> None:
        # Ticks run only while calls are pending, to spare an idle balancer: ticks that
        # always ran took a third of its processing time.
        if not self._dispatcher.count_pending():
            self._stop_tick_timer()
        elif self._tick_timer is None:
            self._tick_timer = self._timers.subscribe_every(
                self._settings.tick_s, lambda now: self._submit(Tick())
            )

    def _stop_tick_timer(self) -> None:
        if self._tick_timer is not None:
            self._tick_timer.cancel()
            self._tick_timer = None

    def _send_message(self, peer: str, message: Message) -> None:
        agent = self._view.agents.get(peer)
        if agent is None:
            return
        sent = self._agent_client.send(peer, (agent.host, agent.port), message)
        if sent.is_err():
            self._handle_connection_lost(sent.err())

    def _receive(self, peer: str, envelope: Envelope) -> None:
        self._submit(MessageArrived(peer, envelope.message))

    def _handle_connection_lost(self, error: StepError) -> None:
        log.debug("caller: connection to agent failed: %s", error)
        self._count(Count("agent_connections_lost", error.step))
        self._submit(PeerDisconnected(error.peer, str(error)))

    def _resolve_call(self, call_id: int, reply: Reply) -> None:
        future = self._reply_futures.get(call_id)
        if future is not None:
            future.set_result(reply)

    # HTTP

    def _handle_wsgi_call(self, environ: dict, start_response: Callable) -> Response:
        request = Request(environ)
        response = self._handle_request(request)
        if self._is_stopping:
            response.headers["Connection"] = "close"
        return response(environ, start_response)

    def _handle_request(self, request: Request) -> Response:
        if (request.content_length or 0) > self._max_body_bytes:
            return self._refuse_oversized_body(request)
        try:
            endpoint, values = ROUTES.bind_to_environ(request.environ).match()
        except HTTPException as error:
            return error.get_response(request.environ)
        read = self._read_call(request, endpoint, values)
        if read.is_err():
            reply = read.err()
            self._count(Count("calls_refused", reply.reason))
            return build_error_response(reply)
        return self._dispatch_call(request, read.ok())

    def _refuse_oversized_body(self, request: Request) -> Response:
        # Reads the body first: closing the connection while the caller still sends
        # would reset it, and the response would be lost.
        remaining = min(request.content_length, 2 * self._max_body_bytes)
        while remaining > 0 and (
            chunk := request.environ["wsgi.input"].read(READ_CHUNK_BYTES)
        ):
            remaining -= len(chunk)
        self._count(Count("calls_refused", "too_large"))
        return build_error_response(
            _build_refusal(request, CONTENT_TOO_LARGE, "too_large")
        )

    def _read_call(
        self, request: Request, endpoint: str, values: dict
    ) -> Result[CallArrived, Reply]:
        call_id = next(self._call_ids)
        body = self._read_body(request)
        if body.is_err():
            return Err(_build_refusal(request, CONTENT_TOO_LARGE, body.err()))
        deadline_s = self._read_deadline(request)
        if deadline_s.is_err():
            return Err(_build_refusal(request, BAD_REQUEST, deadline_s.err()))
        ticket = decode_ticket(values["ticket"]) if endpoint == "ticket" else Ok(b"")
        if ticket.is_err():
            return Err(_build_refusal(request, NOT_FOUND, str(ticket.err())))
        return Ok(
            CallArrived(
                call_id,
                _get_call_kind(request.method, body.ok()),
                values.get("service", ""),
                ticket.ok(),
                body.ok(),
                request.content_type or "",
                request.headers.get("Idempotent", "").lower() == "true",
                deadline_s.ok(),
            )
        )

    def _read_body(self, request: Request) -> Result[bytes, str]:
        limit = self._max_body_bytes
        is_chunked = request.environ.get("wsgi.input_terminated", False)
        if not request.content_length and not is_chunked:
            return Ok(b"")
        length = limit + 1 if is_chunked else request.content_length
        body = request.environ["wsgi.input"].read(length)
        if len(body) > limit:
            return Err("too_large")
        if not is_chunked and len(body) != length:
            return Err("truncated")
        return Ok(body)

    def _read_deadline(self, request: Request) -> Result[float | None, str]:
        text = request.headers.get("Deadline-Ms")
        if text is None:
            return Ok(None)
        limit_ms = int(self._settings.max_deadline_s * 1000)
        if not text.isdecimal() or not 0 < int(text) <= limit_ms:
            return Err(f"Deadline-Ms must be 1 to {limit_ms}")
        return Ok(int(text) / 1000)

    def _dispatch_call(self, request: Request, call: CallArrived) -> Response:
        refusal = self._find_refusal_reason()
        if refusal:
            self._count(Count("calls_refused", refusal))
            return build_error_response(
                _build_refusal(request, SERVICE_UNAVAILABLE, refusal)
            )
        future: concurrent.futures.Future[Reply] = concurrent.futures.Future()
        self._reply_futures[call.call_id] = future
        try:
            self._submit(call)
            return self._wait_for_reply(request, call, future)
        finally:
            del self._reply_futures[call.call_id]

    def _find_refusal_reason(self) -> str:
        if self._is_stopping:
            return "stopping"
        return "busy" if len(self._reply_futures) >= self._settings.threads else ""

    def _wait_for_reply(
        self,
        request: Request,
        call: CallArrived,
        future: concurrent.futures.Future[Reply],
    ) -> Response:
        sock = request.environ[SOCKET_ENVIRON_KEY]
        while True:
            try:
                return build_response(future.result(self._settings.disconnect_poll_s))
            except TimeoutError:
                if not _is_connected(sock):
                    self._submit(CallerDisconnected(call.call_id))
                    return Response(status=SERVICE_UNAVAILABLE)


def _get_call_kind(method: str, body: bytes) -> CallKind:
    if method == "POST":
        return CallKind.POST if body else CallKind.RESERVE
    return CallKind.GET if method == "HEAD" else CallKind(method.lower())


def _build_refusal(request: Request, status: int, reason: str) -> Reply:
    # With a ticket, an earlier call may already have run the request.
    is_new = request.method == "POST"
    retry_after_s = 1.0 if status == SERVICE_UNAVAILABLE else None
    return Reply(
        0,
        status,
        Outcome.NOT_RUN if is_new else Outcome.UNKNOWN,
        reason,
        "read call",
        retry_after_s=retry_after_s,
    )


def _is_connected(sock: socket.socket) -> bool:
    """Return whether the connection has been neither closed nor reset by the peer."""
    try:
        readable, _, _ = select.select([sock], [], [], 0)
        return not readable or bool(sock.recv(1, socket.MSG_PEEK))
    except (OSError, ValueError):
        return False
