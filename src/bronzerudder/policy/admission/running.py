"""The requests that run on a backend server, and the rate at which it works."""

from __future__ import annotations

import math

from bronzerudder.policy.admission.api import AdmissionRequest

RATE_TIME_CONSTANT_S = 2.0
INITIAL_TOKEN_RATE = 1000.0
"""Tokens per second assumed until work has been seen."""
MIN_TOKEN_RATE = 1.0
RATE_INTERVAL_S = 0.1


class RunningSet:
    """Counts running work and estimates the backend server's token rate.

    Parameters
    ----------
    concurrency : int
        Requests that may run at a time.
    initial_token_rate : float
        Tokens per second assumed at first.
    """

    def __init__(self, concurrency: int, initial_token_rate: float = INITIAL_TOKEN_RATE) -> None:
        self._concurrency = concurrency
        self._rate = initial_token_rate
        self._left: dict[str, int] = {}
        self._tokens = 0
        self._window_tokens = 0
        self._window_start_s: float | None = None

    @property
    def count(self) -> int:
        """Requests that run."""
        return len(self._left)

    @property
    def tokens(self) -> int:
        """Tokens left to process of the requests that run."""
        return self._tokens

    @property
    def has_room(self) -> bool:
        """Whether one more may start."""
        return len(self._left) < self._concurrency

    @property
    def token_rate(self) -> float:
        """Tokens per second, smoothed; only time with all places taken lowers it."""
        return self._rate

    def wait_s(self, queued_tokens: float) -> float:
        """Seconds until work behind `queued_tokens` starts."""
        if self.has_room and queued_tokens <= 0:
            return 0.0
        return queued_tokens / max(MIN_TOKEN_RATE, self._rate)

    def start(self, request: AdmissionRequest, now_s: float) -> None:
        """Count a request as running."""
        if self._window_start_s is None:
            self._window_start_s = now_s
        self._left[request.request_id] = request.tokens
        self._tokens += request.tokens

    def progress(self, request_id: str, tokens: int, now_s: float) -> None:
        """Count processed tokens of a request."""
        left = self._left.get(request_id)
        if left is None:
            return
        done = min(left, tokens)
        self._left[request_id] = left - done
        self._tokens -= done
        self._record(tokens, now_s)

    def finish(self, request_id: str, now_s: float) -> None:
        """Count a request as ended, its remaining estimate as processed."""
        left = self._left.pop(request_id, None)
        if left is None:
            return
        self._tokens -= left
        self._record(left, now_s)

    def _record(self, tokens: int, now_s: float) -> None:
        if self._window_start_s is None:
            self._window_start_s = now_s
        self._window_tokens += tokens
        elapsed_s = now_s - self._window_start_s
        if elapsed_s < RATE_INTERVAL_S:
            return
        self._update_rate(elapsed_s)
        self._window_start_s = now_s
        self._window_tokens = 0

    def _update_rate(self, elapsed_s: float) -> None:
        measured = self._window_tokens / elapsed_s
        if measured < self._rate and self.has_room:
            return
        keep = math.exp(-elapsed_s / RATE_TIME_CONSTANT_S)
        self._rate = keep * self._rate + (1 - keep) * measured
