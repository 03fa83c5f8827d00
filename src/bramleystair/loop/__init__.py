"""Single-threaded event loop over sockets and timers."""

from bramleystair.loop._loop import READ, WRITE, EventLoop

__all__ = ["READ", "WRITE", "EventLoop"]
