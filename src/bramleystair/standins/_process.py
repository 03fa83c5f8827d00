"""Waiting for the signal that ends a stand-in."""

import signal
import threading


def wait_for_stop() -> None:
    """Return after SIGTERM or SIGINT."""
    stopped = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stopped.set())
    stopped.wait()
