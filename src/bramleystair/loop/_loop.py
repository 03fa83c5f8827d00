"""Event loop over sockets, signals and timers."""

import selectors
import signal
import socket
from collections.abc import Callable

from bramleystair.logs import get_logger
from bramleystair.timers import Clock, TimerService

log = get_logger("loop")

# Limits the delay of a stop that a signal handler requests without waking the loop.
MAX_WAIT_S = 5.0
READ, WRITE = selectors.EVENT_READ, selectors.EVENT_WRITE


class EventLoop:
    """Dispatch socket readiness, signals and timers on one thread.

    Parameters
    ----------
    clock : Clock
        Clock of the timer service.

    Attributes
    ----------
    handler_errors : int
        Number of callbacks that raised an exception.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.timers = TimerService(clock)
        self._selector = selectors.DefaultSelector()
        self._is_running = False
        self.handler_errors = 0
        self._wake_reader, self._wake_writer = socket.socketpair()
        for end in (self._wake_reader, self._wake_writer):
            end.setblocking(False)
        self._signal_handlers: dict[int, Callable[[], None]] = {}
        self.register(self._wake_reader, self._handle_signals)

    def register(
        self, sock: socket.socket, on_ready: Callable[[], None], events: int = READ
    ) -> None:
        """Call `on_ready` whenever `sock` is ready for `events`."""
        self._selector.register(sock, events, on_ready)

    def modify(
        self, sock: socket.socket, on_ready: Callable[[], None], events: int
    ) -> None:
        """Replace the callback and the events of a registered socket."""
        self._selector.modify(sock, events, on_ready)

    def unregister(self, sock: socket.socket) -> None:
        """Stop monitoring `sock`; sockets that are not registered are ignored."""
        try:
            self._selector.unregister(sock)
        except (KeyError, ValueError):
            log.debug("socket is not registered")

    def add_signal_handler(self, number: int, callback: Callable[[], None]) -> None:
        """Call `callback` on the thread of the loop after signal `number`."""
        self._signal_handlers[number] = callback
        signal.set_wakeup_fd(self._wake_writer.fileno(), warn_on_full_buffer=False)
        signal.signal(number, lambda *_: None)

    def run(self) -> None:
        """Run until `stop`."""
        self._is_running = True
        while self._is_running:
            self.run_once()

    def run_once(self) -> None:
        """Wait for events, then handle them and the timers that are due."""
        wait_s = self.timers.compute_wait()
        timeout_s = MAX_WAIT_S if wait_s is None else min(wait_s, MAX_WAIT_S)
        for key, _ in self._selector.select(timeout_s):
            self._call(key.data)
        self._call(self.timers.run_due)

    def _call(self, callback: Callable[[], object]) -> None:
        try:
            callback()
        except Exception:
            # A callback that fails must not affect the flows of other sockets.
            self.handler_errors += 1
            log.exception("callback failed")

    def stop(self) -> None:
        """Make `run` return after the current events."""
        self._is_running = False

    def close(self) -> None:
        """Close the selector and the wake-up sockets."""
        self._selector.close()
        self._wake_reader.close()
        self._wake_writer.close()

    def _handle_signals(self) -> None:
        for number in self._wake_reader.recv(64):
            handler = self._signal_handlers.get(number)
            if handler is not None:
                handler()
