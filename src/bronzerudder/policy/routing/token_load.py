"""Our strategy: the least work outstanding in tokens, less what a cached prefix saves."""

from __future__ import annotations

import math
import random
from collections.abc import Sequence
from typing import NamedTuple

from bronzerudder.policy.routing.api import (
    NoCandidate,
    RoutedRequest,
    RoutingPolicy,
    select_available,
)
from bronzerudder.policy.routing.candidate import Candidate
from bronzerudder.policy.routing.prefix_memory import PrefixMemory


class TokenLoadTerms(NamedTuple):
    """What the strategy weighs.

    Parameters
    ----------
    choices : int
        Candidates drawn at random for each pick, besides holders of the prefix.
    report_time_constant_s : float
        Time constant in seconds with which a report's weight falls towards the pool's mean.
    prefix_weight : float
        Outstanding tokens that one saved prompt token is worth.
    prefix_load_bound : float
        A holder of the prefix is considered up to this multiple of the mean load.
    remote_tokens : int
        Tokens that the way to another failure domain is worth.
    """

    choices: int = 2
    report_time_constant_s: float = 2.0
    prefix_weight: float = 1.0
    prefix_load_bound: float = 1.5
    remote_tokens: int = 50


DEFAULT_TERMS = TokenLoadTerms()


class TokenLoadRouting(RoutingPolicy):
    """Picks the least loaded of a few random candidates and the holders of the prefix.

    Parameters
    ----------
    generator : random.Random
        Source of the draws.
    failure_domain : str
        The entry's own.
    terms : TokenLoadTerms
        What is weighed.
    """

    def __init__(
        self,
        generator: random.Random,
        failure_domain: str = "",
        terms: TokenLoadTerms = DEFAULT_TERMS,
    ) -> None:
        self._generator = generator
        self._failure_domain = failure_domain
        self._terms = terms
        self._memory = PrefixMemory()

    def pick(
        self, candidates: Sequence[Candidate], request: RoutedRequest, now_s: float
    ) -> Candidate | NoCandidate:
        """Pick by work outstanding, prefix and failure domain."""
        available = select_available(candidates, request, now_s)
        if isinstance(available, NoCandidate):
            return available
        others_mean = sum(candidate.others_tokens for candidate in available) / len(available)
        holders = self._find_holders(available, request, now_s, others_mean)
        picked = None
        least = math.inf
        for candidate in self._draw(available):
            cost = self._load(candidate, now_s, others_mean)
            if candidate.failure_domain != self._failure_domain:
                cost += self._terms.remote_tokens
            if candidate not in holders:
                cost += request.prompt_tokens * self._terms.prefix_weight
            if cost < least:
                picked, least = candidate, cost
        for candidate in holders:
            cost = self._load(candidate, now_s, others_mean)
            if candidate.failure_domain != self._failure_domain:
                cost += self._terms.remote_tokens
            if cost < least:
                picked, least = candidate, cost
        if request.prefix:
            self._memory.record(request.prefix, picked.name, now_s)
        return picked

    def _draw(self, available: list[Candidate]) -> list[Candidate]:
        if len(available) <= self._terms.choices:
            return available
        return self._generator.sample(available, self._terms.choices)

    def _load(self, candidate: Candidate, now_s: float, others_mean: float) -> float:
        age_s = max(0.0, now_s - candidate.reported_at_s)
        weight = math.exp(-age_s / self._terms.report_time_constant_s)
        others = weight * candidate.others_tokens + (1 - weight) * others_mean
        return candidate.own_tokens + others

    def _find_holders(
        self,
        available: list[Candidate],
        request: RoutedRequest,
        now_s: float,
        others_mean: float,
    ) -> list[Candidate]:
        if not request.prefix:
            return []
        prefix = request.prefix
        names = self._memory.holders(prefix, now_s)
        holders = [
            candidate
            for candidate in available
            if candidate.name in names or prefix in candidate.report.cached_prefixes
        ]
        if not holders:
            return holders
        own_mean = sum(candidate.own_tokens for candidate in available) / len(available)
        bound = (own_mean + others_mean) * self._terms.prefix_load_bound + request.estimated_tokens
        return [
            candidate for candidate in holders if self._load(candidate, now_s, others_mean) <= bound
        ]
