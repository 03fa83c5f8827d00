"""Start-up and shutdown of a node process."""

import fcntl
import gc
import io
import os
import signal
from collections.abc import Callable
from typing import Protocol

from result import Result

from bramleystair.errors import StepError
from bramleystair.logs import configure_logging, get_logger
from bramleystair.loop import EventLoop
from bramleystair.metrics import Metrics
from bramleystair.nodes._reload import SettingsChange, SettingsMonitor
from bramleystair.nodes._settings import NodeSettings

log = get_logger("node")

STDOUT = 1


class Node(Protocol):
    """A node that runs on an event loop."""

    def start(self) -> None:
        """Start to serve."""

    def stop(self) -> None:
        """Withdraw from service, then stop the loop."""

    metrics: Metrics
    reread_settings: Callable[[], None]

    def apply_settings(self, settings: NodeSettings) -> SettingsChange:
        """Apply the reloadable settings that changed and return the change."""

    def close(self) -> None:
        """Close all sockets."""


class _NonBlockingStream(io.TextIOBase):
    """Write to a descriptor without blocking; drop lines that it cannot take."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self.dropped = 0
        flags = fcntl.fcntl(descriptor, fcntl.F_GETFL)
        fcntl.fcntl(descriptor, fcntl.F_SETFL, flags | os.O_NONBLOCK)

    def write(self, text: str) -> int:
        """Write one line, or count it as dropped if the reader is too slow."""
        try:
            os.write(self._descriptor, text.encode())
        except OSError:
            # Not logged: that line would be dropped as well.
            self.dropped += 1
        return len(text)


def run_node(
    name: str,
    loop: EventLoop,
    build: Callable[[], Node],
    read_settings: Callable[[], Result[NodeSettings, StepError]],
) -> int:
    """Run a node until SIGTERM or SIGINT and return the exit status.

    Parameters
    ----------
    name : str
        Name of the node in its logs.
    loop : EventLoop
        Loop on which the node runs.
    build : callable
        Creates the node.
    read_settings : callable
        Returns the current settings, or an error.
    """
    node = build()
    loop.add_signal_handler(signal.SIGTERM, node.stop)
    loop.add_signal_handler(signal.SIGINT, node.stop)
    monitor = SettingsMonitor(
        loop.timers, read_settings, node.apply_settings, node.metrics
    )
    loop.add_signal_handler(signal.SIGHUP, monitor.reload)
    node.reread_settings = monitor.check
    node.start()
    monitor.start()
    # Logging is configured after the start, so that the first calls to the store are
    # already in progress meanwhile.
    configure_logging(name, stream=_NonBlockingStream(STDOUT))
    log.info("started", extra={"node": name})
    # Modules and classes live as long as the process; frozen, they are not scanned by
    # the garbage collector.
    gc.freeze()
    gc.enable()
    loop.run()
    node.close()
    log.info("stopped", extra={"node": name})
    return 0
