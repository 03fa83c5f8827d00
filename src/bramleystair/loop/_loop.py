"""Event loop that waits for sockets and runs the timer service."""

import selectors
import signal
import socket
from collections.abc import Callable

from bramleystair.logs import get_logger
from bramleystair.timers import Clock, TimerService

log = get_logger("loop")

# Bounds the delay of a stop request made from a signal handler without a wake-up.
MAX_WAIT_S = 5.0
READ, WRITE = selectors.EVENT_READ, selectors.EVENT_WRITE


class EventLoop:
    """Dispatch socket readiness, signals and timers on one thread.

    Parameters
    ----------
    clock : Clock
        Time of the timer service.

    Attributes
    ----------
    handler_errors : int
        Events whose handler raised an exception.
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
        self.register(self._wake_reader, self._take_signals)

    def register(
        self, sock: socket.socket, on_read: Callable[[], None], events: int = READ
    ) -> None:
        """Call `on_read` whenever `sock` is ready for `events`."""
        self._selector.register(sock, events, on_read)

    def modify(
        self, sock: socket.socket, on_ready: Callable[[], None], events: int
    ) -> None:
        """Replace the callback and the events of a watched socket."""
        self._selector.modify(sock, events, on_ready)

    def unregister(self, sock: socket.socket) -> None:
        """Stop watching `sock`; unknown sockets are ignored."""
        try:
            self._selector.unregister(sock)
        except (KeyError, ValueError):
            log.debug("socket was not watched")

    def add_signal_handler(self, number: int, callback: Callable[[], None]) -> None:
        """Call `callback` on the loop's thread after signal `number`."""
        self._signal_handlers[number] = callback
        signal.set_wakeup_fd(self._wake_writer.fileno(), warn_on_full_buffer=False)
        signal.signal(number, lambda *_: None)

    def run(self) -> None:
        """Run until `stop`."""
        self._is_running = True
        while self._is_running:
            self.run_once()

    def run_once(self) -> None:
        """Wait for the next events and handle them."""
        wait_s = self.timers.compute_wait()
        timeout_s = MAX_WAIT_S if wait_s is None else min(wait_s, MAX_WAIT_S)
        for key, _ in self._selector.select(timeout_s):
            self._call(key.data)
        self._call(self.timers.run_due)

    def _call(self, callback: Callable[[], object]) -> None:
        try:
            callback()
        except Exception:
            # One event that cannot be handled must not end the flows of all others.
            self.handler_errors += 1
            log.exception("event handler failed")

    def stop(self) -> None:
        """Make `run` return after the present events."""
        self._is_running = False

    def close(self) -> None:
        """Release the selector and the wake-up sockets."""
        self._selector.close()
        self._wake_reader.close()
        self._wake_writer.close()

    def _take_signals(self) -> None:
        for number in self._wake_reader.recv(64):
            handler = self._signal_handlers.get(number)
            if handler is not None:
                handler()
