"""Interface of routing policies, which pick a backend server for a request."""

from __future__ import annotations

import abc
import enum
from collections.abc import Sequence
from typing import NamedTuple

from bronzerudder.policy.routing.candidate import Candidate


class RoutedRequest(NamedTuple):
    """Properties of a request that a routing policy may use.

    Parameters
    ----------
    estimated_tokens : int
        Prompt and generated tokens that the request is expected to cost.
    prompt_tokens : int
        Part of `estimated_tokens` that a cached prefix may save.
    prefix : str
        Identifies the start of the prompt; empty if there is nothing to reuse.
    excluded : frozenset of str
        Names of backend servers already tried.
    """

    estimated_tokens: int = 1
    prompt_tokens: int = 0
    prefix: str = ""
    excluded: frozenset[str] = frozenset()


class NoCandidateKind(enum.Enum):
    """Why no backend server could be picked."""

    EMPTY_POOL = "empty-pool"
    ALL_EXCLUDED = "all-excluded"
    ALL_UNAVAILABLE = "all-unavailable"
    ALL_BUSY = "all-busy"
    ALL_LIMITED = "all-limited"


class NoCandidate(NamedTuple):
    """No backend server can take the request now; nothing was sent.

    Parameters
    ----------
    kind : NoCandidateKind
        Cause, for the code that called the policy.
    reason : str
        Explanation for people.
    retry_after_s : float
        Time after which a retry may succeed, in seconds.
    """

    kind: NoCandidateKind
    reason: str
    retry_after_s: float


class RoutingPolicy(abc.ABC):
    """Picks a backend server for each request."""

    @abc.abstractmethod
    def pick(
        self, candidates: Sequence[Candidate], request: RoutedRequest, now_s: float
    ) -> Candidate | NoCandidate:
        """Pick one of the candidates; the caller then calls `Candidate.begin` on it.

        Parameters
        ----------
        candidates : sequence of Candidate
            Backend servers of the pool, available or not.
        request : RoutedRequest
            The request to place.
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        Candidate or NoCandidate
            One of `candidates`, or the reason why none can be picked.
        """


def select_available(
    candidates: Sequence[Candidate], request: RoutedRequest, now_s: float
) -> list[Candidate] | NoCandidate:
    """Return the candidates that may take the request; shared by the policies."""
    if not candidates:
        return NoCandidate(NoCandidateKind.EMPTY_POOL, "the pool has no backend server", 1.0)
    excluded = request.excluded
    available = []
    for candidate in candidates:
        if candidate.name in excluded or not candidate.is_available(now_s):
            continue
        available.append(candidate)
    if available:
        return available
    return _explain_none_available(candidates, request, now_s)


def _explain_none_available(
    candidates: Sequence[Candidate], request: RoutedRequest, now_s: float
) -> NoCandidate:
    untried = [candidate for candidate in candidates if candidate.name not in request.excluded]
    if not untried:
        return NoCandidate(NoCandidateKind.ALL_EXCLUDED, "every backend server has been tried", 1.0)
    wait_s = min(candidate.retry_after_s(now_s) for candidate in untried)
    return NoCandidate(NoCandidateKind.ALL_UNAVAILABLE, "no backend server is available", wait_s)
