"""Counters and gauges of a process, and the endpoint that publishes them."""

from typing import TYPE_CHECKING, Any

from bramleystair.metrics._registry import Metrics
from bramleystair.metrics._status import NodeStatus, ServiceStatus

if TYPE_CHECKING:
    from bramleystair.metrics._server import MetricsServer

__all__ = ["Metrics", "MetricsServer", "NodeStatus", "ServiceStatus"]


def __getattr__(name: str) -> Any:
    # The HTTP server takes 20 MB, which processes without it should not pay for.
    if name != "MetricsServer":
        raise AttributeError(name)
    from bramleystair.metrics._server import MetricsServer

    return MetricsServer
