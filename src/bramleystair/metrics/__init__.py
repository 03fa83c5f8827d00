"""Metrics of a process and the HTTP server that exposes them."""

from typing import TYPE_CHECKING, Any

from bramleystair.metrics._registry import Metrics

if TYPE_CHECKING:
    from bramleystair.metrics._server import MetricsServer
    from bramleystair.metrics._status import NodeStatus, ServiceStatus

__all__ = ["Metrics", "MetricsServer", "NodeStatus", "ServiceStatus"]


def __getattr__(name: str) -> Any:
    # Imported on demand: the HTTP server takes 20 MB, which processes without it
    # should not use, and the status some of the time in which a node starts.
    if name == "MetricsServer":
        from bramleystair.metrics._server import MetricsServer

        return MetricsServer
    if name in ("NodeStatus", "ServiceStatus"):
        from bramleystair.metrics import _status

        return getattr(_status, name)
    raise AttributeError(name)
