"""Termination signals of a stand-in process."""

import signal
import threading


def wait_for_stop_signal() -> None:
    """Block until SIGTERM or SIGINT."""
    stopped = threading.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda *_: stopped.set())
    stopped.wait()
