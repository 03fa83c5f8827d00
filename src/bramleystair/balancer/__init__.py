"""Balancer: stateless entry node that forwards packets and dispatches requests."""

from bramleystair.balancer._daemon import BalancerDaemon, run_balancer
from bramleystair.balancer._forwarding import Forwarder
from bramleystair.balancer._main import main

__all__ = ["BalancerDaemon", "Forwarder", "main", "run_balancer"]
