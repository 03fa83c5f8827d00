"""Start and stop of a node's process."""

import fcntl
import gc
import io
import os
import signal
from collections.abc import Callable
from typing import Protocol

from result import Result

from bramleystair.errors import StepError
from bramleystair.logs import get_log, set_up_logs
from bramleystair.loop import EventLoop
from bramleystair.metrics import Metrics
from bramleystair.nodes._reload import SettingsChange, SettingsMonitor
from bramleystair.nodes._settings import NodeSettings

log = get_log("node")

STDOUT = 1


class Node(Protocol):
    """A node that runs on a loop."""

    def start(self) -> None:
        """Begin to serve."""

    def stop(self) -> None:
        """Leave service, then stop the loop."""

    metrics: Metrics

    def apply_settings(self, settings: NodeSettings) -> SettingsChange:
        """Take over changed settings and return what that changed."""

    def close(self) -> None:
        """Close all sockets."""


class _DroppingStream(io.TextIOBase):
    """Write lines to a descriptor, and drop those that it does not take at once."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self.dropped = 0
        flags = fcntl.fcntl(descriptor, fcntl.F_GETFL)
        fcntl.fcntl(descriptor, fcntl.F_SETFL, flags | os.O_NONBLOCK)

    def write(self, text: str) -> int:
        """Write one line; it is lost if the reader is too slow."""
        try:
            os.write(self._descriptor, text.encode())
        except OSError:
            # A log line about a lost log line would be lost as well.
            self.dropped += 1
        return len(text)


def run_node(
    name: str,
    loop: EventLoop,
    build: Callable[[], Node],
    read_settings: Callable[[], Result[NodeSettings, StepError]],
) -> int:
    """Run a node until SIGTERM and return the exit status.

    Parameters
    ----------
    name : str
        Name of the node in its logs.
    loop : EventLoop
        Loop on which the node runs.
    build : callable
        Returns the node.
    read_settings : callable
        Returns the settings as they are now, or an error.
    """
    node = build()
    loop.add_signal_handler(signal.SIGTERM, node.stop)
    loop.add_signal_handler(signal.SIGINT, node.stop)
    monitor = SettingsMonitor(
        loop.timers, read_settings, node.apply_settings, node.metrics
    )
    loop.add_signal_handler(signal.SIGHUP, monitor.reload)
    node.start()
    monitor.start()
    # The first calls are on their way while the logs are set up.
    set_up_logs(name, stream=_DroppingStream(STDOUT))
    log.info("started", extra={"node": name})
    # Modules and classes stay for good, so that no collection has to look at them.
    gc.freeze()
    gc.enable()
    loop.run()
    node.close()
    log.info("stopped", extra={"node": name})
    return 0
