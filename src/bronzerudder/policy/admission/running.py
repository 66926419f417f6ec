"""Tracks the running requests of a backend server and estimates its throughput."""

from __future__ import annotations

import math
from typing import NamedTuple

from bronzerudder.policy.admission.api import AdmissionRequest

RATE_TIME_CONSTANT_S = 2.0
INITIAL_TOKEN_RATE = 10_000.0
"""Tokens per second assumed before the first measurement."""
MIN_TOKEN_RATE = 1.0
RATE_INTERVAL_S = 0.1
SERVICE_TIME_DECAY = 0.9
"""Weight of the previous service-time estimate in each update of the moving average."""
STALL_THRESHOLD_S = 1.0
"""Time without progress of any response after which the backend server counts as stalled."""


class _Started(NamedTuple):
    tokens: int
    at_s: float


class RunningSet:
    """Counts running requests and estimates the backend server's token rate and service time.

    Parameters
    ----------
    concurrency : int
        Requests that may run at a time.
    initial_token_rate : float
        Tokens per second assumed before the first measurement.
    stall_threshold_s : float
        Time without progress of any response, in seconds, that counts as a stall.
    """

    def __init__(
        self,
        concurrency: int,
        initial_token_rate: float = INITIAL_TOKEN_RATE,
        stall_threshold_s: float = STALL_THRESHOLD_S,
    ) -> None:
        self._stall_threshold_s = stall_threshold_s
        self._concurrency = concurrency
        self._rate = initial_token_rate
        self._seconds_per_token = 0.0
        self._remaining: dict[str, int] = {}
        self._started: dict[str, _Started] = {}
        self._tokens = 0
        self._progressing: set[str] = set()
        self._window_tokens = 0
        self._window_start_s = 0.0
        self._last_progress_s = 0.0
        self._observed_s = 0.0

    @property
    def count(self) -> int:
        """Number of running requests."""
        return len(self._remaining)

    @property
    def tokens(self) -> int:
        """Tokens that running requests have yet to process."""
        return self._tokens

    @property
    def has_room(self) -> bool:
        """Whether another request may start."""
        return len(self._remaining) < self._concurrency

    @property
    def token_rate(self) -> float:
        """Estimated tokens per second; only measurements at full concurrency lower it."""
        return self._rate

    def service_time_s(self, tokens: int) -> float:
        """Estimate the service time of a request in seconds."""
        return tokens * self._seconds_per_token

    def wait_s(self, tokens_ahead: float, others_wait: bool, now_s: float) -> float:
        """Estimate the seconds until a request queued behind `tokens_ahead` starts.

        A stalled backend server is expected to stay stalled for as long again.
        """
        stalled_s = self.stalled_s(now_s)
        if self.has_room and not others_wait:
            return stalled_s
        return stalled_s + tokens_ahead / max(MIN_TOKEN_RATE, self._rate)

    def stalled_s(self, now_s: float) -> float:
        """Return how long no response has progressed; 0 below the stall threshold."""
        if not self._progressing:
            return 0.0
        stalled_s = now_s - self._last_progress_s
        return stalled_s if stalled_s >= self._stall_threshold_s else 0.0

    def start(self, request: AdmissionRequest, now_s: float) -> None:
        """Count a request as running."""
        if not self._remaining:
            self._window_start_s = now_s
            self._window_tokens = 0
            self._last_progress_s = now_s
        self._remaining[request.request_id] = request.tokens
        self._started[request.request_id] = _Started(request.tokens, now_s)
        self._tokens += request.tokens

    def progress(self, request_id: str, tokens: int, now_s: float) -> None:
        """Count processed tokens of a request."""
        remaining = self._remaining.get(request_id)
        if remaining is None:
            return
        done = min(remaining, tokens)
        self._remaining[request_id] = remaining - done
        self._tokens -= done
        self._progressing.add(request_id)
        self._record(done, not self.has_room, now_s)

    def pause(self, request_id: str) -> None:
        """Exclude a request that is blocked by its reader from stall detection."""
        self._progressing.discard(request_id)

    def finish(self, request_id: str, now_s: float) -> int:
        """Count a request as ended; return the estimated tokens that it did not use."""
        was_full = not self.has_room
        remaining = self._remaining.pop(request_id, None)
        if remaining is None:
            return 0
        self._tokens -= remaining
        started = self._started.pop(request_id)
        self._progressing.discard(request_id)
        if remaining < started.tokens:
            self._update_service_time(started, now_s)
        self._record(remaining, was_full, now_s)
        return remaining

    def _update_service_time(self, started: _Started, now_s: float) -> None:
        measured = (now_s - started.at_s) / started.tokens
        if self._seconds_per_token == 0.0:
            self._seconds_per_token = measured
            return
        decayed = SERVICE_TIME_DECAY * self._seconds_per_token
        self._seconds_per_token = decayed + (1 - SERVICE_TIME_DECAY) * measured

    def _record(self, tokens: int, was_full: bool, now_s: float) -> None:
        self._last_progress_s = now_s
        self._window_tokens += tokens
        elapsed_s = now_s - self._window_start_s
        if elapsed_s < RATE_INTERVAL_S:
            return
        self._update_rate(elapsed_s, was_full)
        self._window_start_s = now_s
        self._window_tokens = 0

    def _update_rate(self, elapsed_s: float, was_full: bool) -> None:
        measured = self._window_tokens / elapsed_s
        if measured < self._rate and not was_full:
            return
        # The first measurement replaces the assumed rate; early ones get a higher weight.
        time_constant_s = min(RATE_TIME_CONSTANT_S, self._observed_s)
        decay = math.exp(-elapsed_s / time_constant_s) if time_constant_s > 0 else 0.0
        self._observed_s += elapsed_s
        self._rate = decay * self._rate + (1 - decay) * measured
