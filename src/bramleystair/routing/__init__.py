"""Choice of the home of a flow."""

from bramleystair.routing._rendezvous import find_home, rank_candidates
from bramleystair.routing._router import Route, Router, RouteRefusal

__all__ = ["Route", "RouteRefusal", "Router", "find_home", "rank_candidates"]
