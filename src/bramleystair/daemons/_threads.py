"""Threads of a daemon and the signals that stop it."""

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
    """Process that `run_daemon` can run."""

    threads: "ThreadGroup"

    def start(self) -> None:
        """Begin to serve."""

    def stop(self) -> None:
        """Finish the work in hand and stop."""


class ThreadGroup:
    """Run a daemon's loops on threads and its timers on one more.

    A loop that ends with an exception stops the daemon, because a node that serves
    without one of its parts is harder to detect than a node that is gone.

    Parameters
    ----------
    timers : TimerService
        Run until `close`.
    max_threads : int
        Number of loops and of short jobs that may run at once.
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
        future.add_done_callback(lambda done: self._check(name, done))
        return future

    def request_stop(self, *_) -> None:
        """Make `wait_for_stop` return; a second call cuts a graceful stop short."""
        self._stop_count += 1
        self._stop_requested.set()

    def handle_signals(self) -> None:
        """Stop on SIGTERM and SIGINT."""
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self.request_stop)

    def wait_for_stop(self) -> None:
        """Return when the daemon has to stop."""
        self._stop_requested.wait()

    @property
    def is_stop_urgent(self) -> bool:
        """Whether the daemon has to stop without waiting for work in hand."""
        return self.has_failed or self._stop_count > 1

    def close(self) -> None:
        """End the timers and wait for every thread."""
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

    def _check(self, name: str, done: Future) -> None:
        if done.cancelled() or done.exception() is None:
            return
        error = done.exception()
        log.error("thread %s failed: %r", name, error, exc_info=error)
        self.has_failed = True
        self._stop_requested.set()


def run_daemon(
    daemon: Daemon, wait: Callable[[ThreadGroup], None] | None = None
) -> int:
    """Run `daemon` until it has to stop and return the exit status.

    Parameters
    ----------
    daemon : Daemon
        Started and stopped here.
    wait : callable, optional
        Waits for the stop; by default for a signal.
    """
    if wait is None:
        daemon.threads.handle_signals()
        wait = ThreadGroup.wait_for_stop
    daemon.start()
    wait(daemon.threads)
    daemon.stop()
    return int(daemon.threads.has_failed)
