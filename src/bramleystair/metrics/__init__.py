"""Metrics of a process and the HTTP server that exposes them."""

from typing import TYPE_CHECKING, Any

from bramleystair.metrics._registry import Metrics
from bramleystair.metrics._status import NodeStatus, ServiceStatus

if TYPE_CHECKING:
    from bramleystair.metrics._server import MetricsServer

__all__ = ["Metrics", "MetricsServer", "NodeStatus", "ServiceStatus"]


def __getattr__(name: str) -> Any:
    # Imported on demand: the HTTP server takes 20 MB, which processes without it
    # should not use.
    if name != "MetricsServer":
        raise AttributeError(name)
    from bramleystair.metrics._server import MetricsServer

    return MetricsServer
