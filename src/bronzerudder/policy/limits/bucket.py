"""A token bucket with an adjustable rate."""

from __future__ import annotations

BURST_S = 0.25
"""Bucket capacity, in seconds of its rate."""
MIN_BURST = 1.0
MAX_WAIT_S = 60.0


class TokenBucket:
    """Allows `rate` requests per second with small bursts.

    Parameters
    ----------
    rate : float
        Tokens per second.
    """

    def __init__(self, rate: float) -> None:
        self._rate = rate
        self._tokens = MIN_BURST
        self._filled_at_s: float | None = None

    @property
    def rate(self) -> float:
        """Tokens per second."""
        return self._rate

    def set_rate(self, rate: float, now_s: float) -> None:
        """Change the rate from now on."""
        self._fill(now_s)
        self._rate = rate

    def take(self, now_s: float) -> bool:
        """Take one token if available; return whether one was taken."""
        self._fill(now_s)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def reserve(self, max_wait_s: float, now_s: float) -> float | None:
        """Take a token that is available within `max_wait_s`, even if not yet now.

        Returns
        -------
        float or None
            Seconds until the token is available; None if none was taken.
        """
        wait_s = self.wait_s(now_s)
        if wait_s > max_wait_s:
            return None
        self._tokens -= 1.0
        return wait_s

    def give_back(self) -> None:
        """Return an unused token."""
        self._tokens += 1.0

    def wait_s(self, now_s: float) -> float:
        """Seconds until a token is available."""
        self._fill(now_s)
        if self._tokens >= 1.0:
            return 0.0
        if self._rate <= 0:
            return MAX_WAIT_S
        return min(MAX_WAIT_S, (1.0 - self._tokens) / self._rate)

    def _fill(self, now_s: float) -> None:
        if self._filled_at_s is not None:
            earned = self._rate * max(0.0, now_s - self._filled_at_s)
            self._tokens = min(max(MIN_BURST, self._rate * BURST_S), self._tokens + earned)
        self._filled_at_s = now_s
