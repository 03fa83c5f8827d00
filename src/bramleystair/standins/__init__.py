"""Small stand-ins for tests and the demonstration."""

from bramleystair.standins._main import main

__all__ = ["main"]
