"""Baseline policy: any available backend server, chosen uniformly at random."""

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


class RandomRouting(RoutingPolicy):
    """Picks uniformly at random.

    Parameters
    ----------
    generator : random.Random
        Random number generator for the picks.
    """

    def __init__(self, generator: random.Random) -> None:
        self._generator = generator

    def pick(
        self, candidates: Sequence[Candidate], request: RoutedRequest, now_s: float
    ) -> Candidate | NoCandidate:
        """Pick any available candidate."""
        available = select_available(candidates, request, now_s)
        if isinstance(available, NoCandidate):
            return available
        return self._generator.choice(available)
