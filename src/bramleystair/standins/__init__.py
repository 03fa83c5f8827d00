"""Stand-ins for external systems, used by tests and the demonstration."""

from bramleystair.standins._main import main
from bramleystair.standins._networks import reserve_network
from bramleystair.standins._processes import try_call, wait_until

__all__ = ["main", "reserve_network", "try_call", "wait_until"]
