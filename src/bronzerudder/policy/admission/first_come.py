"""Baseline: a bounded queue in order of arrival."""

from __future__ import annotations

from bronzerudder.policy.admission.api import (
    AdmissionQueue,
    AdmissionRefusal,
    AdmissionRefusalKind,
    AdmissionRequest,
    Queued,
)
from bronzerudder.policy.admission.running import RunningSet

DEFAULT_QUEUE_LENGTH = 256
FULL_RETRY_AFTER_S = 1.0


class FirstComeQueue(AdmissionQueue):
    """Starts requests in order of arrival and refuses only when full.

    Parameters
    ----------
    concurrency : int
        Requests that the backend server runs at a time.
    max_queued : int
        Requests held at most.
    """

    def __init__(self, concurrency: int, max_queued: int = DEFAULT_QUEUE_LENGTH) -> None:
        self._running = RunningSet(concurrency)
        self._max_queued = max_queued
        self._waiting: dict[str, AdmissionRequest] = {}
        self._waiting_tokens = 0

    @property
    def queued_requests(self) -> int:
        """Requests held and not started."""
        return len(self._waiting)

    @property
    def running_requests(self) -> int:
        """Requests started and not finished."""
        return self._running.count

    @property
    def outstanding_tokens(self) -> int:
        """Work of all requests held or running."""
        return self._waiting_tokens + self._running.tokens

    @property
    def token_rate(self) -> float:
        """Tokens per second that the backend server has lately processed."""
        return self._running.token_rate

    def estimated_wait_s(self, now_s: float) -> float:
        """Estimate the wait in seconds of a request offered now."""
        return self._running.wait_s(self._waiting_tokens, bool(self._waiting), now_s)

    def is_stalled(self, now_s: float) -> bool:
        """Whether answers have begun and none has advanced for a while."""
        return self._running.silence_s(now_s) > 0

    def offer(self, request: AdmissionRequest, now_s: float) -> Queued | AdmissionRefusal:
        """Take a request in unless the queue is full."""
        if len(self._waiting) >= self._max_queued:
            return AdmissionRefusal(
                request.request_id,
                AdmissionRefusalKind.QUEUE_FULL,
                "the queue is full",
                max(FULL_RETRY_AFTER_S, self.estimated_wait_s(now_s)),
            )
        wait_s = self.estimated_wait_s(now_s)
        self._waiting[request.request_id] = request
        self._waiting_tokens += request.tokens
        return Queued(wait_s)

    def next(self, now_s: float) -> AdmissionRequest | None:
        """Start the oldest request, if there is room."""
        if not self._waiting or not self._running.has_room:
            return None
        request_id = next(iter(self._waiting))
        request = self._waiting.pop(request_id)
        self._waiting_tokens -= request.tokens
        self._running.start(request, now_s)
        return request

    def expire(self, now_s: float) -> tuple[AdmissionRefusal, ...]:
        """Refuse nothing: this baseline lets requests wait past their deadlines."""
        return ()

    def progressed(self, request_id: str, tokens: int, now_s: float) -> None:
        """Count `tokens` of a running request as processed."""
        self._running.progress(request_id, tokens, now_s)

    def paused(self, request_id: str) -> None:
        """Note that a running request waits for its reader until it next progresses."""
        self._running.pause(request_id)

    def finished(self, request_id: str, now_s: float) -> None:
        """Count a running request as ended."""
        self._running.finish(request_id, now_s)

    def cancel(self, request_id: str, now_s: float) -> bool:
        """Remove a request that has not started; return whether it was held."""
        request = self._waiting.pop(request_id, None)
        if request is None:
            return False
        self._waiting_tokens -= request.tokens
        return True
