"""The ledger on the agent's TCP port."""

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
# Cancellations must not wait behind the calls that they end.
MAX_BACKEND_CANCELS = 8
CANCEL_ATTEMPTS = 5
CANCEL_RETRY_S = 0.05
DRAIN_POLL_S = 0.05


class RequestServer:
    """Carry the ledger's messages and runs.

    Parameters
    ----------
    host, port : str, int
        Address to listen on; port 0 lets the system choose.
    ledger : RequestLedger
        Decides on requests.
    backend : BackendClient
        Runs them.
    timers : TimerService
        Drives the ledger; run by the daemon.
    count : callable
        Called with each count.
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
        self._running: set[bytes] = set()
        self._pool = concurrent.futures.ThreadPoolExecutor(MAX_BACKEND_CALLS)
        self._cancel_pool = concurrent.futures.ThreadPoolExecutor(MAX_BACKEND_CANCELS)
        self._stream = StreamServer(
            host, port, ledger.server, ledger.incarnation, self._receive
        )

    @property
    def address(self) -> tuple[str, int]:
        """Return the address that the server listens on."""
        return self._stream.address

    def count_connections(self) -> int:
        """Return the number of connections from balancers."""
        return self._stream.count_connections()

    def start(self) -> None:
        """Begin to accept connections."""
        self._stream.start()
        self._tick_timer = self._timers.call_every(
            TICK_PERIOD_S, lambda now: self._submit(Tick())
        )

    def set_view(self, view: View) -> None:
        """Use `view` from now on."""
        self._submit(ViewChanged(view))

    def start_drain(self) -> None:
        """Issue no more tickets."""
        self._submit(DrainRequested())

    def list_loads(self) -> tuple[ServiceLoad, ...]:
        """Return the present requests and limits by service."""
        with self._lock:
            return self._ledger.list_loads(self._timers.clock.now())

    def wait_idle(self, timeout_s: float) -> bool:
        """Wait until no request runs or is about to; return whether that is so."""
        event = threading.Event()
        for _ in range(max(1, int(timeout_s / DRAIN_POLL_S))):
            with self._lock:
                if not self._ledger.count_active():
                    return True
            event.wait(DRAIN_POLL_S)
        return False

    def stop(self) -> None:
        """Cancel what still runs, then close all connections."""
        self._submit(StopRequested())
        self._cancel_pool.shutdown(wait=True)
        self._pool.shutdown(wait=True)
        self._tick_timer.cancel()
        self._stream.stop()

    def hand_over(self, timeout_s: float) -> bytes:
        """Stop for a planned upgrade and return the ledger for the successor.

        Requests that still run after `timeout_s` have an unknown outcome.
        """
        self.start_drain()
        self.wait_idle(timeout_s)
        self.stop()
        return export_ledger(self._ledger)

    def _submit(self, event: LedgerEvent) -> None:
        with self._lock:
            actions = self._ledger.handle(event, self._timers.clock.now())
        for action in actions:
            match action:
                case Send(peer, message):
                    sent = self._stream.send(peer, message)
                    if sent.is_err():
                        # The balancer asks again on its next connection.
                        self._count(Count("answers_unsent", sent.err().step))
                case StartBackendRequest(ticket):
                    self._running.add(ticket)
                    self._pool.submit(self._run, action)
                case CancelBackendRequest():
                    self._cancel_pool.submit(self._cancel, action)
                case Count():
                    self._count(action)

    def _receive(self, peer: str, envelope: Envelope) -> None:
        self._submit(MessageArrived(peer, envelope.message))

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
            log.exception("agent: running a request failed")
            outcome = Failed("agent_error")
        self._running.discard(action.ticket)
        self._submit(_build_event(action.ticket, outcome))
        latency_s = self._timers.clock.now() - started_s
        self._observe(latency_s, isinstance(outcome, Shed))

    def _cancel(self, action: CancelBackendRequest) -> None:
        """Cancel a request, which may still be on its way to the backend server."""
        for _ in range(CANCEL_ATTEMPTS):
            cancelled = self._backend.cancel(action.request_name)
            if cancelled.is_err():
                log.warning("agent: %s", cancelled.err())
                return
            if cancelled.ok() or action.ticket not in self._running:
                return
            threading.Event().wait(CANCEL_RETRY_S)


def _build_event(ticket: bytes, outcome: RunOutcome) -> LedgerEvent:
    match outcome:
        case Responded(status, body, content_type):
            return BackendResponded(ticket, status, body, content_type)
        case Shed(reason, retry_after_s):
            return BackendShed(ticket, retry_after_s, reason)
    return BackendFailed(ticket, outcome.reason)
