"""Places requests on free slots, evenly by what the ranks of a group then have to do."""

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
"""A report on other entries' requests loses weight in the time that an answer usually takes."""
BUSY_RETRY_AFTER_S = 0.1
TOKENS_OF_A_SLOT = 400.0
"""Prompt tokens that lengthen steps about as much as a request that is writing does; a rank that
reads several prompts at once makes all ranks of its group wait."""
CHOICES = 4
"""Candidates drawn for a placement. Reports are a tenth of a second old, so gateways that all took
the emptiest one would meet there; a few drawn ones spread them (the power of several choices)."""
AGENT_SILENCE_S = 1.0
"""Agents tell a load three times in this time, also one that does not change."""
MAX_SILENT_SHARE = 0.5
"""If more agents than this are silent, it says nothing of the backend servers beside them."""
SLOW_FACTOR = 1.5
"""Paces of sound backend servers differ by less."""


class FreeSlotRouting(RoutingPolicy):
    """Picks, of a few candidates drawn, the one with the fewest slots in use, then tokens.

    It answers many gateways that place requests on one large group by reports that are a bit old.

    A request beyond the slots waits inside the backend server, where it can't be moved to a slot
    that becomes free elsewhere. So there is no candidate while all slots are in use.

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
            suspected = _suspected(candidates, request)
            if not suspected:
                return available
            # All are suspected, so the suspicion says more of the requests than of them.
            available = suspected
        available = _drop_slow(_drop_silent(available, now_s))
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
            if candidate.slots and used > candidate.slots - 1:
                continue
            prompts = candidate.own_prompt_tokens / TOKENS_OF_A_SLOT
            cost = (round(used) + prompts, candidate.own_tokens, self._generator.random())
            if cost < best_cost:
                best, best_cost = candidate, cost
        return best


def _suspected(candidates: Sequence[Candidate], request: RoutedRequest) -> list[Candidate]:
    """Return those that only an open breaker keeps from taking the request."""
    return [
        candidate
        for candidate in candidates
        if candidate.connected and not candidate.leaving and candidate.name not in request.excluded
    ]


def _drop_silent(available: list[Candidate], now_s: float) -> list[Candidate]:
    """Leave out candidates whose agents have fallen silent.

    A machine that stands still takes in requests and answers none of them, long after their callers
    have left.
    """
    heard = [
        candidate
        for candidate in available
        if candidate.told_at_s is None or now_s - candidate.told_at_s <= AGENT_SILENCE_S
    ]
    if len(available) - len(heard) > MAX_SILENT_SHARE * len(available):
        return available
    return heard


def _drop_slow(available: list[Candidate]) -> list[Candidate]:
    """Leave out candidates that are much slower than the fastest.

    In a group in lock-step all ranks wait for the slowest one, so its own requests are the first to
    be taken from it.
    """
    limit = SLOW_FACTOR * min(candidate.pace for candidate in available)
    return [candidate for candidate in available if candidate.pace <= limit]


def slots_in_use(candidate: Candidate, now_s: float) -> float:
    """Estimate the slots in use from own requests and the last report."""
    others = candidate.others_requests
    if not others:
        return candidate.own_requests
    age_s = max(0.0, now_s - candidate.reported_at_s)
    return candidate.own_requests + others * math.exp(-age_s / REPORT_TIME_CONSTANT_S)
