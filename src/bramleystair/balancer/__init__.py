"""The balancer: entry node without state of flows."""

from bramleystair.balancer._daemon import BalancerDaemon, run_balancer
from bramleystair.balancer._forwarding import Forwarder
from bramleystair.balancer._main import main

__all__ = ["BalancerDaemon", "Forwarder", "main", "run_balancer"]
