"""The balancer: entry node without state of flows."""

from bramleystair.balancer._forwarding import Forwarder

__all__ = ["Forwarder"]
