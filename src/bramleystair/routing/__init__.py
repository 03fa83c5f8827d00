"""Choice of the home of a flow."""

from bramleystair.routing._rendezvous import find_home, rank_candidates

__all__ = ["find_home", "rank_candidates"]
