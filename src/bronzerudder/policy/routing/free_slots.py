"""Routes requests to free slots and balances the work of the ranks of a group."""

from __future__ import annotations

import math
import random
from collections.abc import Sequence

from bronzerudder.policy.routing.api import (
    NoCandidate,
    NoCandidateKind,
    RoutedRequest,
    RoutingPolicy,
    select_available,
)
from bronzerudder.policy.routing.candidate import Candidate

REPORT_TIME_CONSTANT_S = 1.0
"""Time constant of the decay of a report's weight; about the usual time of an answer."""
BUSY_RETRY_AFTER_S = 0.1
PROMPT_TOKENS_PER_SLOT = 400.0
"""Prompt tokens that lengthen a step about as much as one decoding request; a rank that prefills
several prompts at once delays all ranks of its group."""
CHOICES = 4
"""Candidates drawn at random for each pick. Reports are 0.1 s old, so gateways that all pick the
emptiest candidate would overload it; a few random choices avoid that (power of d choices)."""
AGENT_TIMEOUT_S = 1.0
"""Agents report their load, even if unchanged, three times within this time."""
MAX_UNRESPONSIVE_FRACTION = 0.5
"""If a larger fraction of the agents is unresponsive, the backend servers are not at fault, so
none is left out."""
SLOW_FACTOR = 1.5
"""Paces of healthy backend servers differ by less than this factor."""


class FreeSlotRouting(RoutingPolicy):
    """Picks the candidate with the fewest slots in use, then tokens, of a few drawn at random.

    The random draw allows many gateways to share one large group with slightly outdated reports.

    Candidates whose gate admits no request now are left out.

    A request beyond the slots would queue inside the backend server and could not move to a slot
    that becomes free elsewhere. So none is picked while all slots are in use.

    Parameters
    ----------
    generator : random.Random
        Draws candidates and breaks ties, so that several gateways don't pick alike.
    """

    def __init__(self, generator: random.Random) -> None:
        self._generator = generator

    def pick(
        self, candidates: Sequence[Candidate], request: RoutedRequest, now_s: float
    ) -> Candidate | NoCandidate:
        """Pick a candidate with a free slot."""
        available = select_available(candidates, request, now_s)
        if isinstance(available, NoCandidate):
            blocked = _find_breaker_blocked(candidates, request, now_s)
            if not blocked:
                return available
            # Breakers open on all candidates point to faulty requests, not to faulty servers.
            available = blocked
        admitting = [candidate for candidate in available if candidate.gate.admits(now_s)]
        if not admitting:
            reason = f"{len(available)} backend servers are at the rate that they accept"
            return NoCandidate(NoCandidateKind.ALL_LIMITED, reason, BUSY_RETRY_AFTER_S)
        available = _drop_slow(_drop_unresponsive(admitting, now_s))
        best = self._pick_from(self._draw(available), now_s)
        if best is None and len(available) > CHOICES:
            best = self._pick_from(available, now_s)
        if best is not None:
            return best
        reason = f"all slots of {len(available)} backend servers are in use"
        return NoCandidate(NoCandidateKind.ALL_BUSY, reason, BUSY_RETRY_AFTER_S)

    def _draw(self, available: list[Candidate]) -> list[Candidate]:
        if len(available) <= CHOICES:
            return available
        return self._generator.sample(available, CHOICES)

    def _pick_from(self, candidates: list[Candidate], now_s: float) -> Candidate | None:
        best: Candidate | None = None
        best_cost = (math.inf, math.inf, math.inf)
        for candidate in candidates:
            used = slots_in_use(candidate, now_s)
            if not _is_free(candidate, used):
                continue
            prompts = candidate.own_prompt_tokens / PROMPT_TOKENS_PER_SLOT
            cost = (round(used) + prompts, candidate.own_tokens, self._generator.random())
            if cost < best_cost:
                best, best_cost = candidate, cost
        return best


def _find_breaker_blocked(
    candidates: Sequence[Candidate], request: RoutedRequest, now_s: float
) -> list[Candidate]:
    """Return the candidates that only an open breaker keeps from taking the request."""
    return [
        candidate
        for candidate in candidates
        if candidate.wants_requests(now_s) and candidate.name not in request.excluded
    ]


def _drop_unresponsive(available: list[Candidate], now_s: float) -> list[Candidate]:
    """Leave out candidates whose agents are unresponsive.

    A paused instance still receives requests, but answers none before their callers time out.
    """
    responsive = [
        candidate
        for candidate in available
        if candidate.agent_seen_at_s is None or now_s - candidate.agent_seen_at_s <= AGENT_TIMEOUT_S
    ]
    if len(available) - len(responsive) > MAX_UNRESPONSIVE_FRACTION * len(available):
        return available
    return responsive


def _drop_slow(available: list[Candidate]) -> list[Candidate]:
    """Leave out candidates that are much slower than the fastest.

    All ranks of a lock-step group wait for the slowest one, so it is the first to get no more
    requests.
    """
    limit = SLOW_FACTOR * min(candidate.slowdown for candidate in available)
    return [candidate for candidate in available if candidate.slowdown <= limit]


def _is_free(candidate: Candidate, used: float) -> bool:
    return not candidate.slots or used <= candidate.usable_slots - 1


def has_free_slot(candidate: Candidate, now_s: float) -> bool:
    """Whether a candidate can run a further request immediately."""
    return _is_free(candidate, slots_in_use(candidate, now_s))


def slots_in_use(candidate: Candidate, now_s: float) -> float:
    """Estimate the slots in use from own requests and the last report."""
    others = candidate.others_requests
    if not others:
        return candidate.own_requests
    age_s = max(0.0, now_s - candidate.reported_at_s)
    return candidate.own_requests + others * math.exp(-age_s / REPORT_TIME_CONSTANT_S)
