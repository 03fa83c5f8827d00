"""Captures log records during a scenario."""

import logging

from bramleystair.logs import ROOT_LOGGER_NAME


class RecordingHandler(logging.Handler):
    def __init__(self):
        super().__init__()
        self.records = []

    def emit(self, record):
        self.records.append(record)


def record_logs(context):
    """Capture the records of the product's loggers in `context.recorder`."""
    context.recorder = RecordingHandler()
    logger = logging.getLogger(ROOT_LOGGER_NAME)
    level = logger.level
    logger.setLevel(logging.INFO)
    logger.addHandler(context.recorder)
    context.add_cleanup(logger.removeHandler, context.recorder)
    context.add_cleanup(logger.setLevel, level)
