"""What every admission queue counts alike."""

from __future__ import annotations

from bronzerudder.policy.admission.api import AdmissionQueue, AdmissionRequest
from bronzerudder.policy.admission.running import RunningSet


class CountedQueue(AdmissionQueue):
    """Counts the requests that wait and run, whatever their order.

    Parameters
    ----------
    running : RunningSet
        Requests that the backend server runs.
    """

    def __init__(self, running: RunningSet) -> None:
        self._running = running
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

    def is_stalled(self, now_s: float) -> bool:
        """Whether answers have begun and none has advanced for a while."""
        return self._running.silence_s(now_s) > 0

    def progressed(self, request_id: str, tokens: int, now_s: float) -> None:
        """Count `tokens` of a running request as processed."""
        self._running.progress(request_id, tokens, now_s)

    def paused(self, request_id: str) -> None:
        """Note that a running request waits for its reader until it next progresses."""
        self._running.pause(request_id)
