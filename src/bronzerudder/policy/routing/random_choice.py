"""Baseline: any available backend server, evenly."""

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
    """Picks evenly at random.

    Parameters
    ----------
    generator : random.Random
        Source of the draws.
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
