"""Queued requests of one workspace."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator

from bronzerudder.policy.admission.api import AdmissionRequest


class Backlog:
    """Orders one workspace's requests by priority, then by arrival.

    Parameters
    ----------
    start_tag : float
        Virtual start time of the workspace's next request, in tokens divided by weight.
    """

    def __init__(self, start_tag: float) -> None:
        self.start_tag = start_tag
        self.weight = 1
        self._tokens = 0
        self._by_priority: dict[int, deque[AdmissionRequest]] = {}

    @property
    def tokens(self) -> int:
        """Estimated tokens of all requests."""
        return self._tokens

    @property
    def is_empty(self) -> bool:
        """Whether the backlog has no requests."""
        return not self._by_priority

    @property
    def weighted_tokens(self) -> float:
        """Queued tokens divided by weight; a full queue evicts from the largest backlog."""
        return self._tokens / self.weight

    def __iter__(self) -> Iterator[AdmissionRequest]:
        for requests in self._by_priority.values():
            yield from requests

    def tokens_ahead(self, priority: int) -> int:
        """Tokens of the requests that would start before a new request of this priority."""
        if len(self._by_priority) <= 1 and priority in self._by_priority:
            return self._tokens
        return sum(request.tokens for request in self if request.priority >= priority)

    def push(self, request: AdmissionRequest) -> None:
        """Add a request; its weight replaces the previous weight of the workspace."""
        self.weight = max(1, request.weight)
        self._by_priority.setdefault(request.priority, deque()).append(request)
        self._tokens += request.tokens

    def pop_first(self) -> AdmissionRequest:
        """Remove and return the oldest request of the highest priority."""
        return self._remove(max(self._by_priority), 0)

    def eviction_candidate(self) -> AdmissionRequest:
        """Return the newest request of the lowest priority."""
        return self._by_priority[min(self._by_priority)][-1]

    def remove(self, request: AdmissionRequest) -> None:
        """Remove a request from any position."""
        self._remove(request.priority, self._by_priority[request.priority].index(request))

    def _remove(self, priority: int, index: int) -> AdmissionRequest:
        requests = self._by_priority[priority]
        request = requests[index]
        del requests[index]
        if not requests:
            del self._by_priority[priority]
        self._tokens -= request.tokens
        return request
