"""Default policy: the fewest outstanding tokens, less the tokens that a cached prefix saves."""

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


class TokenLoadParameters(NamedTuple):
    """Parameters of the policy.

    Parameters
    ----------
    choices : int
        Candidates drawn at random for each pick, in addition to holders of the prefix.
    report_time_constant_s : float
        Time constant in seconds with which a report's weight falls with its age.
    report_bound : float
        Tokens of other entries count only above this multiple of their mean. Reports are old, and
        entries that all act on small differences in them would overload the same candidate.
    prefix_weight : float
        Outstanding tokens that one saved prompt token is worth.
    remote_weight : float
        Cost of another failure domain, as a fraction of the request's estimated tokens.
    """

    choices: int = 4
    report_time_constant_s: float = 2.0
    report_bound: float = 1.5
    prefix_weight: float = 2.0
    remote_weight: float = 0.05


DEFAULT_PARAMETERS = TokenLoadParameters()


class TokenLoadRouting(RoutingPolicy):
    """Picks the least loaded of a few random candidates and the holders of the prefix.

    Parameters
    ----------
    generator : random.Random
        Random number generator for the draws.
    failure_domain : str
        The entry's own failure domain.
    parameters : TokenLoadParameters
        Parameters of the policy.
    """

    def __init__(
        self,
        generator: random.Random,
        failure_domain: str = "",
        parameters: TokenLoadParameters = DEFAULT_PARAMETERS,
    ) -> None:
        self._generator = generator
        self._failure_domain = failure_domain
        self._parameters = parameters
        self._memory = PrefixMemory()

    def pick(
        self, candidates: Sequence[Candidate], request: RoutedRequest, now_s: float
    ) -> Candidate | NoCandidate:
        """Pick by outstanding work, prefix and failure domain."""
        available = select_available(candidates, request, now_s)
        if isinstance(available, NoCandidate):
            return available
        others_mean = sum(candidate.others_tokens for candidate in available) / len(available)
        holders = self._find_holders(available, request, now_s)
        picked = available[0]
        lowest_cost = math.inf
        for candidate in self._draw(available) + holders:
            cost = self._load(candidate, now_s, others_mean)
            if candidate.failure_domain != self._failure_domain:
                cost += request.estimated_tokens * self._parameters.remote_weight
            if candidate not in holders:
                cost += request.prompt_tokens * self._parameters.prefix_weight
            if cost < lowest_cost:
                picked, lowest_cost = candidate, cost
        if request.prefix:
            self._memory.record(request.prefix, picked.name, now_s)
        return picked

    def _draw(self, available: list[Candidate]) -> list[Candidate]:
        if len(available) <= self._parameters.choices:
            return available
        return self._generator.sample(available, self._parameters.choices)

    def _load(self, candidate: Candidate, now_s: float, others_mean: float) -> float:
        excess = candidate.others_tokens - self._parameters.report_bound * others_mean
        if excess <= 0:
            return candidate.own_tokens
        age_s = max(0.0, now_s - candidate.reported_at_s)
        weight = math.exp(-age_s / self._parameters.report_time_constant_s)
        return candidate.own_tokens + weight * excess

    def _find_holders(
        self, available: list[Candidate], request: RoutedRequest, now_s: float
    ) -> list[Candidate]:
        if not request.prefix:
            return []
        prefix = request.prefix
        names = self._memory.holders(prefix, now_s)
        return [
            candidate
            for candidate in available
            if candidate.name in names or prefix in candidate.report.cached_prefixes
        ]
