"""Weighted rendezvous hashing."""

import functools
import math
from collections.abc import Sequence

import xxhash

from bramleystair.views import Candidate

HASH_BITS = 64
SCORE_BITS = 52


def find_home(flow: bytes, candidates: Sequence[Candidate]) -> Candidate | None:
    """Return the candidate with the highest score for `flow`, or None.

    Each candidate is the home of a share of the flows proportional to its weight. A
    change of one candidate moves only the flows that it gains or loses.
    """
    return max(candidates, key=lambda candidate: _score(flow, candidate), default=None)


def rank_candidates(flow: bytes, candidates: Sequence[Candidate]) -> list[Candidate]:
    """Return the candidates in descending order of their score for `flow`."""
    return sorted(
        candidates, key=lambda candidate: _score(flow, candidate), reverse=True
    )


def _score(flow: bytes, candidate: Candidate) -> float:
    digest = xxhash.xxh64_intdigest(flow, _compute_seed(candidate.server))
    # 52 bits plus 0.5 are exact in a float, so the fraction is never 0 or 1.
    fraction = ((digest >> (HASH_BITS - SCORE_BITS)) + 0.5) / 2.0**SCORE_BITS
    return -candidate.weight / math.log(fraction)


@functools.lru_cache(maxsize=65_536)
def _compute_seed(server: str) -> int:
    return xxhash.xxh64_intdigest(server.encode())
