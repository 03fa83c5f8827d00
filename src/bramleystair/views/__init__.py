"""What a node holds of the configuration and of the liveness of others."""

from bramleystair.views._view import Candidate, View

__all__ = ["Candidate", "View"]
