"""Start and stop of a node's process."""

import fcntl
import io
import os
import signal
from collections.abc import Callable
from typing import Protocol

from bramleystair.logs import get_log, set_up_logs
from bramleystair.loop import EventLoop

log = get_log("node")

STDOUT = 1


class Node(Protocol):
    """A node that runs on a loop."""

    def start(self) -> None:
        """Begin to serve."""

    def stop(self) -> None:
        """Leave service, then stop the loop."""

    def reload(self) -> None:
        """Apply changed settings."""


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
) -> int:
    """Run a node until SIGTERM and return the exit status."""
    node = build()
    loop.subscribe_signal(signal.SIGTERM, node.stop)
    loop.subscribe_signal(signal.SIGINT, node.stop)
    loop.subscribe_signal(signal.SIGHUP, node.reload)
    node.start()
    # The first calls are on their way while the logs are set up.
    set_up_logs(name, stream=_DroppingStream(STDOUT))
    log.info("started", extra={"node": name})
    loop.run()
    log.info("stopped", extra={"node": name})
    return 0
