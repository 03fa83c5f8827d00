"""Routing of packets to the home of their flow by rendezvous hashing."""

from bramleystair.routing._rendezvous import find_home, rank_candidates
from bramleystair.routing._router import Route, Router, RouteRefusal

__all__ = ["Route", "RouteRefusal", "Router", "find_home", "rank_candidates"]
