"""A node's view of the configuration and of the liveness of other nodes."""

from bramleystair.views._view import Candidate, View

__all__ = ["Candidate", "View"]
