"""Single-threaded event loop over sockets, signals and timers."""

from bramleystair.loop._loop import READ, WRITE, EventLoop

__all__ = ["READ", "WRITE", "EventLoop"]
