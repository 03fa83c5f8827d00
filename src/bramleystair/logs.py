"""JSON logs with a fixed prefix for each component."""

import logging
import sys
from typing import TextIO

ROOT_LOGGER_NAME = "bramleystair"


class _PrefixAdapter(logging.LoggerAdapter):
    """Put the component's prefix before each message."""

    def process(self, msg, kwargs):
        """Return the message with its prefix."""
        return f"{self.extra['component']}: {msg}", kwargs


def get_logger(component: str) -> logging.LoggerAdapter:
    """Return the log whose messages start with `component`."""
    logger = logging.getLogger(f"{ROOT_LOGGER_NAME}.{component}")
    return _PrefixAdapter(logger, {"component": component})


def configure_logging(
    process: str, level: int = logging.INFO, stream: TextIO | None = None
) -> None:
    """Write the logs of this process as JSON lines.

    Parameters
    ----------
    process : str
        Name of the node or backend server, a field of each line.
    level : int
        Lowest level that is written.
    stream : text stream, optional
        Destination; standard error by default.
    """
    # Loaded here, so that a process can begin to serve before it loads the formatter.
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
