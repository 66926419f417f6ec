"""Bookkeeping that all admission queues share."""

from __future__ import annotations

from bronzerudder.policy.admission.api import AdmissionQueue, AdmissionRequest
from bronzerudder.policy.admission.running import RunningSet


class BaseQueue(AdmissionQueue):
    """Counts queued and running requests; subclasses define the order.

    Parameters
    ----------
    running : RunningSet
        Requests that are running on the backend server.
    """

    def __init__(self, running: RunningSet) -> None:
        self._running = running
        self._queued: dict[str, AdmissionRequest] = {}
        self._queued_tokens = 0

    @property
    def queued_requests(self) -> int:
        """Requests queued and not started."""
        return len(self._queued)

    @property
    def running_requests(self) -> int:
        """Requests started and not finished."""
        return self._running.count

    @property
    def outstanding_tokens(self) -> int:
        """Estimated tokens left to process of all queued and running requests."""
        return self._queued_tokens + self._running.tokens

    @property
    def token_rate(self) -> float:
        """Recent throughput of the backend server, in tokens per second."""
        return self._running.token_rate

    def is_stalled(self, now_s: float) -> bool:
        """Whether responses are in progress but none has advanced for the stall threshold."""
        return self._running.stalled_s(now_s) > 0

    def progressed(self, request_id: str, tokens: int, now_s: float) -> None:
        """Count `tokens` of a running request as processed."""
        self._running.progress(request_id, tokens, now_s)

    def paused(self, request_id: str) -> None:
        """Record that a running request is blocked by its reader until it next progresses."""
        self._running.pause(request_id)
