"""Rate-limited log of steering decisions."""

import socket
from collections.abc import Callable

from bramleystair.logs import get_logger
from bramleystair.steering import Decision

log = get_logger("decision")

# Limit for each pair of step and outcome, so that rare decisions are still written
# while others are frequent.
MAX_LINES_PER_S = 20


class DecisionLog:
    """Log one line per decision, up to a rate for each step and outcome.

    Parameters
    ----------
    now : callable
        Returns the time in seconds.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._second = 0
        self._written: dict[tuple[str, str], int] = {}
        self._suppressed = 0

    def record(self, decision: Decision) -> None:
        """Log the decision, or count it as suppressed above the rate limit."""
        second = int(self._now())
        if second != self._second:
            self._begin_second(second)
        key = (decision.step, decision.outcome)
        written = self._written.get(key, 0)
        if written >= MAX_LINES_PER_S:
            self._suppressed += 1
            return
        self._written[key] = written + 1
        fields = {"step": decision.step, "outcome": decision.outcome}
        if decision.flow:
            fields["flow"] = format_flow(decision.flow)
        log.info("%s", decision.step, extra={**fields, **decision.inputs})

    def _begin_second(self, second: int) -> None:
        if self._suppressed:
            log.info(
                "rate limit exceeded; lines suppressed",
                extra={"count": self._suppressed},
            )
        self._second = second
        self._written.clear()
        self._suppressed = 0


def format_flow(flow: bytes) -> str:
    """Return a flow key as ``caller:port>service:port``."""
    caller, service = socket.inet_ntoa(flow[:4]), socket.inet_ntoa(flow[4:8])
    caller_port = int.from_bytes(flow[8:10], "big")
    service_port = int.from_bytes(flow[10:12], "big")
    return f"{caller}:{caller_port}>{service}:{service_port}"
