"""Request server of the agent: connects balancers, the ledger and the backend."""

import concurrent.futures
import logging
import threading
from collections.abc import Callable

from bramleystair.actions import Count, Send
from bramleystair.backend import BackendClient, Failed, Responded, RunOutcome, Shed
from bramleystair.flows import DrainRequested, MessageArrived, Tick, ViewChanged
from bramleystair.requests import (
    BackendFailed,
    BackendResponded,
    BackendShed,
    CancelBackendRequest,
    LedgerEvent,
    RequestLedger,
    StartBackendRequest,
    StopRequested,
    export_ledger,
)
from bramleystair.timers import TimerService
from bramleystair.views import View
from bramleystair.wire import Envelope, ServiceLoad, StreamServer

log = logging.getLogger("bramleystair.agent")

TICK_PERIOD_S = 0.05
MAX_BACKEND_CALLS = 256
# Cancellations have threads of their own, as they must not queue behind the calls that
# they cancel.
MAX_BACKEND_CANCELS = 8
CANCEL_ATTEMPTS = 5
CANCEL_RETRY_S = 0.05
DRAIN_POLL_S = 0.05


class RequestServer:
    """Exchange the ledger's messages with balancers and run requests at the backend.

    Parameters
    ----------
    host, port : str, int
        Address to listen on; port 0 selects a free port.
    ledger : RequestLedger
        Admits requests and keeps their state.
    backend : BackendClient
        Client of the backend server that runs the requests.
    timers : TimerService
        Timers of the daemon; they call the ledger periodically.
    count : callable
        Called with each `Count` action.
    observe : callable
        Called with the latency in seconds and whether the backend server shed the
        request, for each outcome.
    """

    def __init__(
        self,
        host: str,
        port: int,
        ledger: RequestLedger,
        backend: BackendClient,
        timers: TimerService,
        count: Callable[[Count], None],
        observe: Callable[[float, bool], None],
    ) -> None:
        self._ledger = ledger
        self._backend = backend
        self._timers = timers
        self._count = count
        self._observe = observe
        self._lock = threading.Lock()
        self._running_tickets: set[bytes] = set()
        self._pool = concurrent.futures.ThreadPoolExecutor(MAX_BACKEND_CALLS)
        self._cancel_pool = concurrent.futures.ThreadPoolExecutor(MAX_BACKEND_CANCELS)
        self._stream = StreamServer(
            host, port, ledger.server, ledger.incarnation, self._handle_envelope
        )

    @property
    def address(self) -> tuple[str, int]:
        """Return the address on which the server listens."""
        return self._stream.address

    def count_connections(self) -> int:
        """Return the number of connections from balancers."""
        return self._stream.count_connections()

    def start(self) -> None:
        """Start accepting connections."""
        self._stream.start()
        self._tick_timer = self._timers.call_every(
            TICK_PERIOD_S, lambda now: self._handle_event(Tick())
        )

    def set_view(self, view: View) -> None:
        """Use `view` from now on."""
        self._handle_event(ViewChanged(view))

    def start_drain(self) -> None:
        """Stop issuing tickets."""
        self._handle_event(DrainRequested())

    def list_loads(self) -> tuple[ServiceLoad, ...]:
        """Return the current requests and limits by service."""
        with self._lock:
            return self._ledger.list_loads(self._timers.clock.now())

    def wait_idle(self, timeout_s: float) -> bool:
        """Wait until no request is running or reserved; return False on time-out."""
        event = threading.Event()
        for _ in range(max(1, int(timeout_s / DRAIN_POLL_S))):
            with self._lock:
                if not self._ledger.count_active():
                    return True
            event.wait(DRAIN_POLL_S)
        return False

    def stop(self) -> None:
        """Cancel running requests, then close all connections."""
        self._handle_event(StopRequested())
        self._cancel_pool.shutdown(wait=True)
        self._pool.shutdown(wait=True)
        self._tick_timer.cancel()
        self._stream.stop()

    def hand_over(self, timeout_s: float) -> bytes:
        """Stop for a planned upgrade and return the ledger for the next process.

        Requests that are still running after `timeout_s` get an unknown outcome.
        """
        self.start_drain()
        self.wait_idle(timeout_s)
        self.stop()
        return export_ledger(self._ledger)

    def _handle_event(self, event: LedgerEvent) -> None:
        with self._lock:
            actions = self._ledger.handle(event, self._timers.clock.now())
        for action in actions:
            match action:
                case Send(peer, message):
                    result = self._stream.send(peer, message)
                    if result.is_err():
                        # The balancer repeats its query on the next connection.
                        self._count(Count("answers_unsent", result.err().step))
                case StartBackendRequest(ticket):
                    self._running_tickets.add(ticket)
                    self._pool.submit(self._run, action)
                case CancelBackendRequest():
                    self._cancel_pool.submit(self._cancel, action)
                case Count():
                    self._count(action)

    def _handle_envelope(self, peer: str, envelope: Envelope) -> None:
        self._handle_event(MessageArrived(peer, envelope.message))

    def _run(self, action: StartBackendRequest) -> None:
        started_s = self._timers.clock.now()
        try:
            outcome = self._backend.run(
                action.service,
                action.request_name,
                action.body,
                action.content_type,
                action.deadline_s,
            )
        except Exception:
            log.exception("agent: request to the backend server failed")
            outcome = Failed("agent_error")
        self._running_tickets.discard(action.ticket)
        self._handle_event(_build_event(action.ticket, outcome))
        latency_s = self._timers.clock.now() - started_s
        self._observe(latency_s, isinstance(outcome, Shed))

    def _cancel(self, action: CancelBackendRequest) -> None:
        """Cancel a request; retry while it may still be in transit to the backend."""
        for _ in range(CANCEL_ATTEMPTS):
            cancelled = self._backend.cancel(action.request_name)
            if cancelled.is_err():
                log.warning("agent: %s", cancelled.err())
                return
            if cancelled.ok() or action.ticket not in self._running_tickets:
                return
            threading.Event().wait(CANCEL_RETRY_S)


def _build_event(ticket: bytes, outcome: RunOutcome) -> LedgerEvent:
    match outcome:
        case Responded(status, body, content_type):
            return BackendResponded(ticket, status, body, content_type)
        case Shed(reason, retry_after_s):
            return BackendShed(ticket, retry_after_s, reason)
    return BackendFailed(ticket, outcome.reason)
