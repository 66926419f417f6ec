"""The waiting requests of one workspace."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator

from bronzerudder.policy.admission.api import AdmissionRequest


class Backlog:
    """Orders one workspace's requests by priority, then by arrival.

    Parameters
    ----------
    start_tag : float
        Virtual time at which the workspace's next request is due, in tokens by weight.
    """

    def __init__(self, start_tag: float) -> None:
        self.start_tag = start_tag
        self.weight = 1
        self._tokens = 0
        self._by_priority: dict[int, deque[AdmissionRequest]] = {}

    @property
    def tokens(self) -> int:
        """Work of all requests."""
        return self._tokens

    @property
    def is_empty(self) -> bool:
        """Whether none waits."""
        return not self._by_priority

    @property
    def excess(self) -> float:
        """Waiting work by weight; the workspace with the most gives way first."""
        return self._tokens / self.weight

    def __iter__(self) -> Iterator[AdmissionRequest]:
        for requests in self._by_priority.values():
            yield from requests

    def tokens_ahead(self, priority: int) -> int:
        """Work that a new request of a priority would wait for."""
        if len(self._by_priority) <= 1 and priority in self._by_priority:
            return self._tokens
        return sum(request.tokens for request in self if request.priority >= priority)

    def push(self, request: AdmissionRequest) -> None:
        """Add a request; its weight holds for the workspace from now on."""
        self.weight = max(1, request.weight)
        self._by_priority.setdefault(request.priority, deque()).append(request)
        self._tokens += request.tokens

    def pop_first(self) -> AdmissionRequest:
        """Remove the request that is due."""
        return self._remove(max(self._by_priority), 0)

    def last(self) -> AdmissionRequest:
        """Return the request that gives way first."""
        return self._by_priority[min(self._by_priority)][-1]

    def remove(self, request: AdmissionRequest) -> None:
        """Remove a request wherever it stands."""
        self._remove(request.priority, self._by_priority[request.priority].index(request))

    def _remove(self, priority: int, index: int) -> AdmissionRequest:
        requests = self._by_priority[priority]
        request = requests[index]
        del requests[index]
        if not requests:
            del self._by_priority[priority]
        self._tokens -= request.tokens
        return request
