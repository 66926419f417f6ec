"""Baseline queue: bounded, first come, first served."""

from __future__ import annotations

from bronzerudder.policy.admission.api import (
    AdmissionRefusal,
    AdmissionRefusalKind,
    AdmissionRequest,
    Queued,
)
from bronzerudder.policy.admission.base_queue import BaseQueue
from bronzerudder.policy.admission.running import RunningSet

DEFAULT_QUEUE_LENGTH = 256
FULL_RETRY_AFTER_S = 1.0


class FirstComeQueue(BaseQueue):
    """Starts requests in order of arrival and refuses only when full.

    Parameters
    ----------
    concurrency : int
        Requests that may run on the backend server at a time.
    max_queued : int
        Maximum number of queued requests.
    """

    def __init__(self, concurrency: int, max_queued: int = DEFAULT_QUEUE_LENGTH) -> None:
        super().__init__(RunningSet(concurrency))
        self._max_queued = max_queued

    def estimated_wait_s(self, now_s: float) -> float:
        """Estimate the wait in seconds of a request offered now."""
        return self._running.wait_s(self._queued_tokens, bool(self._queued), now_s)

    def offer(self, request: AdmissionRequest, now_s: float) -> Queued | AdmissionRefusal:
        """Enqueue a request unless the queue is full."""
        if len(self._queued) >= self._max_queued:
            return AdmissionRefusal(
                request.request_id,
                AdmissionRefusalKind.QUEUE_FULL,
                "the queue is full",
                max(FULL_RETRY_AFTER_S, self.estimated_wait_s(now_s)),
            )
        wait_s = self.estimated_wait_s(now_s)
        self._queued[request.request_id] = request
        self._queued_tokens += request.tokens
        return Queued(wait_s)

    def next(self, now_s: float) -> AdmissionRequest | None:
        """Start the oldest queued request if a slot is free."""
        if not self._queued or not self._running.has_room:
            return None
        request_id = next(iter(self._queued))
        request = self._queued.pop(request_id)
        self._queued_tokens -= request.tokens
        self._running.start(request, now_s)
        return request

    def expire(self, now_s: float) -> tuple[AdmissionRefusal, ...]:
        """Refuse nothing: requests may wait past their deadlines."""
        return ()

    def finished(self, request_id: str, now_s: float) -> None:
        """Count a running request as ended."""
        self._running.finish(request_id, now_s)

    def cancel(self, request_id: str, now_s: float) -> bool:
        """Remove a request that has not started; return whether it was queued."""
        request = self._queued.pop(request_id, None)
        if request is None:
            return False
        self._queued_tokens -= request.tokens
        return True
