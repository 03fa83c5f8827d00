"""Small stand-ins for tests and the demonstration."""

from bramleystair.standins._fleet import try_call, wait_until
from bramleystair.standins._main import main

__all__ = ["main", "try_call", "wait_until"]
