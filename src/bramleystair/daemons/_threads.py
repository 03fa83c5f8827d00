"""Threads of a daemon, and its stop by signals."""

import signal
import threading
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from typing import Protocol

from bramleystair.logs import get_logger
from bramleystair.timers import TimerService

MAX_TIMER_WAIT_S = 0.1

log = get_logger("daemon")


class Daemon(Protocol):
    """Interface of a process that `run_daemon` runs."""

    threads: "ThreadGroup"

    def start(self) -> None:
        """Start all servers and threads."""

    def stop(self) -> None:
        """Finish the work in progress, then stop all threads."""


class ThreadGroup:
    """Run the loops of a daemon and its timers on threads.

    A loop that ends with an exception stops the daemon, because a node that runs
    without one of its components is harder to detect than one that has stopped.

    Parameters
    ----------
    timers : TimerService
        Timers that are run until `close`.
    max_threads : int
        Maximum number of loops and short jobs that run at the same time.
    """

    def __init__(self, timers: TimerService, max_threads: int) -> None:
        self.timers = timers
        self.is_open = True
        self.has_failed = False
        self._stop_requested = threading.Event()
        self._stop_count = 0
        self._executor = ThreadPoolExecutor(max_threads)
        self.start("timers", self._run_timers)

    def start(self, name: str, function: Callable[..., None], *arguments) -> Future:
        """Run `function` on a thread."""
        future = self._executor.submit(function, *arguments)
        future.add_done_callback(lambda done: self._handle_end(name, done))
        return future

    def request_stop(self, *_) -> None:
        """Make `wait_for_stop` return; a second call aborts a graceful stop."""
        self._stop_count += 1
        self._stop_requested.set()

    def handle_signals(self) -> None:
        """Request a stop on SIGTERM and SIGINT."""
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self.request_stop)

    def wait_for_stop(self) -> None:
        """Block until the daemon has to stop."""
        self._stop_requested.wait()

    @property
    def is_stop_urgent(self) -> bool:
        """Whether the daemon has to stop without finishing the work in progress."""
        return self.has_failed or self._stop_count > 1

    def close(self) -> None:
        """Stop the timers and wait for all threads."""
        self.is_open = False
        self._executor.shutdown(wait=True, cancel_futures=True)

    def _run_timers(self) -> None:
        pause = threading.Event()
        while self.is_open:
            self.timers.run_due()
            wait_s = self.timers.compute_wait()
            if wait_s is None or wait_s > MAX_TIMER_WAIT_S:
                wait_s = MAX_TIMER_WAIT_S
            pause.wait(wait_s)

    def _handle_end(self, name: str, done: Future) -> None:
        if done.cancelled() or done.exception() is None:
            return
        error = done.exception()
        log.error(
            "thread %s ended with an exception; stopping: %r",
            name,
            error,
            exc_info=error,
        )
        self.has_failed = True
        self._stop_requested.set()


def run_daemon(
    daemon: Daemon, wait: Callable[[ThreadGroup], None] | None = None
) -> int:
    """Run `daemon` until it has to stop and return the exit status.

    Parameters
    ----------
    daemon : Daemon
        Process to start and stop.
    wait : callable, optional
        Blocks until the daemon has to stop; by default until a signal arrives.
    """
    if wait is None:
        daemon.threads.handle_signals()
        wait = ThreadGroup.wait_for_stop
    daemon.start()
    wait(daemon.threads)
    daemon.stop()
    return int(daemon.threads.has_failed)
