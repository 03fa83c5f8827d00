"""Counters and gauges of a process, and the endpoint that publishes them."""

from bramleystair.metrics._registry import Metrics
from bramleystair.metrics._server import MetricsServer
from bramleystair.metrics._status import NodeStatus, ServiceStatus

__all__ = ["Metrics", "MetricsServer", "NodeStatus", "ServiceStatus"]
