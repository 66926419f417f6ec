"""Baseline policy: the backend server with the fewest outstanding requests."""

from __future__ import annotations

import random
from collections.abc import Sequence

from bronzerudder.policy.routing.api import (
    NoCandidate,
    RoutedRequest,
    RoutingPolicy,
    select_available,
)
from bronzerudder.policy.routing.candidate import Candidate


class LeastOutstandingRouting(RoutingPolicy):
    """Picks the candidate to which this entry has the fewest requests outstanding.

    Parameters
    ----------
    generator : random.Random
        Breaks ties.
    """

    def __init__(self, generator: random.Random) -> None:
        self._generator = generator

    def pick(
        self, candidates: Sequence[Candidate], request: RoutedRequest, now_s: float
    ) -> Candidate | NoCandidate:
        """Pick the candidate with the fewest own requests."""
        available = select_available(candidates, request, now_s)
        if isinstance(available, NoCandidate):
            return available
        fewest = min(candidate.own_requests for candidate in available)
        return self._generator.choice(
            [candidate for candidate in available if candidate.own_requests == fewest]
        )
