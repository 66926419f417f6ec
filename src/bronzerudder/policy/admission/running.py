"""The requests that run on a backend server, and the rate at which it works."""

from __future__ import annotations

import math
from typing import NamedTuple

from bronzerudder.policy.admission.api import AdmissionRequest

RATE_TIME_CONSTANT_S = 2.0
INITIAL_TOKEN_RATE = 10_000.0
"""Tokens per second assumed until work has been seen."""
MIN_TOKEN_RATE = 1.0
RATE_INTERVAL_S = 0.1
SERVICE_KEEP = 0.9
"""Part of the old estimate of service time kept with each request that ends."""
STALL_THRESHOLD_S = 1.0
"""Silence amid answers that is no longer ordinary."""


class _Started(NamedTuple):
    tokens: int
    at_s: float


class RunningSet:
    """Counts running work and estimates the backend server's token rate and service time.

    Parameters
    ----------
    concurrency : int
        Requests that may run at a time.
    initial_token_rate : float
        Tokens per second assumed at first.
    stall_threshold_s : float
        Silence amid answers, in seconds, that is taken for a stall.
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
        self._left: dict[str, int] = {}
        self._started: dict[str, _Started] = {}
        self._tokens = 0
        self._begun: set[str] = set()
        self._window_tokens = 0
        self._window_start_s = 0.0
        self._progress_s = 0.0
        self._measured_s = 0.0

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
        """Estimated tokens cleared per second; only time with all places taken lowers it."""
        return self._rate

    def service_s(self, tokens: int) -> float:
        """Estimate the seconds that a request runs once started."""
        return tokens * self._seconds_per_token

    def wait_s(self, tokens_ahead: float, others_wait: bool, now_s: float) -> float:
        """Estimate the seconds until work behind `tokens_ahead` starts.

        A backend server that has been silent is expected to stay so for as long again.
        """
        silence_s = self.silence_s(now_s)
        if self.has_room and not others_wait:
            return silence_s
        return silence_s + tokens_ahead / max(MIN_TOKEN_RATE, self._rate)

    def silence_s(self, now_s: float) -> float:
        """Tell how long answers that have begun have not advanced; 0 for an ordinary time."""
        if not self._begun:
            return 0.0
        silence_s = now_s - self._progress_s
        return silence_s if silence_s >= self._stall_threshold_s else 0.0

    def start(self, request: AdmissionRequest, now_s: float) -> None:
        """Count a request as running."""
        if not self._left:
            self._window_start_s = now_s
            self._window_tokens = 0
            self._progress_s = now_s
        self._left[request.request_id] = request.tokens
        self._started[request.request_id] = _Started(request.tokens, now_s)
        self._tokens += request.tokens

    def progress(self, request_id: str, tokens: int, now_s: float) -> None:
        """Count processed tokens of a request."""
        left = self._left.get(request_id)
        if left is None:
            return
        done = min(left, tokens)
        self._left[request_id] = left - done
        self._tokens -= done
        self._begun.add(request_id)
        self._record(done, not self.has_room, now_s)

    def pause(self, request_id: str) -> None:
        """Note that a request waits for its reader, so that its silence says nothing."""
        self._begun.discard(request_id)

    def finish(self, request_id: str, now_s: float) -> int:
        """Count a request as ended; return the part of its estimate that was not used."""
        was_full = not self.has_room
        left = self._left.pop(request_id, None)
        if left is None:
            return 0
        self._tokens -= left
        started = self._started.pop(request_id)
        self._begun.discard(request_id)
        if left < started.tokens:
            self._learn_service(started, now_s)
        self._record(left, was_full, now_s)
        return left

    def _learn_service(self, started: _Started, now_s: float) -> None:
        measured = (now_s - started.at_s) / started.tokens
        if self._seconds_per_token == 0.0:
            self._seconds_per_token = measured
            return
        kept = SERVICE_KEEP * self._seconds_per_token
        self._seconds_per_token = kept + (1 - SERVICE_KEEP) * measured

    def _record(self, tokens: int, was_full: bool, now_s: float) -> None:
        self._progress_s = now_s
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
        # The first measurement replaces the assumed rate, and early ones weigh more.
        time_constant_s = min(RATE_TIME_CONSTANT_S, self._measured_s)
        keep = math.exp(-elapsed_s / time_constant_s) if time_constant_s > 0 else 0.0
        self._measured_s += elapsed_s
        self._rate = keep * self._rate + (1 - keep) * measured
