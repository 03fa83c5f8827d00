"""Loggers of the components, and JSON output of log lines."""

import logging
import sys
from typing import TextIO

import attrs

from bramleystair.timers import Clock

ROOT_LOGGER_NAME = "bramleystair"
# Lines of one kind that are written in a second.
MAX_LINES_PER_S = 20


class _ComponentAdapter(logging.LoggerAdapter):
    """Prefix each message with the name of the component."""

    def process(self, msg, kwargs):
        """Return the prefixed message and the unchanged keyword arguments."""
        return f"{self.extra['component']}: {msg}", kwargs


@attrs.define
class LogLimit:
    """Limit of the lines of one kind, whose number other writers decide.

    Parameters
    ----------
    clock : Clock
        Time in seconds.
    """

    clock: Clock
    _second: int = attrs.field(default=-1, init=False)
    _written: int = attrs.field(default=0, init=False)

    def permits(self) -> bool:
        """Return whether a line may be written now, and count it if so."""
        second = int(self.clock.now())
        if second != self._second:
            self._second, self._written = second, 0
        self._written += 1
        return self._written <= MAX_LINES_PER_S


def get_logger(component: str) -> logging.LoggerAdapter:
    """Return the logger of `component`, which prefixes its messages with that name."""
    logger = logging.getLogger(f"{ROOT_LOGGER_NAME}.{component}")
    return _ComponentAdapter(logger, {"component": component})


def configure_logging(
    process: str, level: int = logging.INFO, stream: TextIO | None = None
) -> None:
    """Write the log lines of this process as JSON.

    Parameters
    ----------
    process : str
        Name of the node or backend server; field `process` of each line.
    level : int
        Minimum level of the lines that are written.
    stream : text stream, optional
        Output stream; standard error by default.
    """
    # Imported here, so that a process can start to serve before it loads the formatter.
    from pythonjsonlogger.json import JsonFormatter

    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(
        JsonFormatter(
            "%(asctime)s %(levelname)s %(message)s",
            rename_fields={"asctime": "time", "levelname": "level"},
            static_fields={"process": process},
        )
    )
    root = logging.getLogger(ROOT_LOGGER_NAME)
    root.handlers = [handler]
    root.setLevel(level)
    root.propagate = False
