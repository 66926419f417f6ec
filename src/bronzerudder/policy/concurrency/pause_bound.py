"""Bounds the requests that a group of ranks runs by the pauses of its streams.

It answers load that would fill all slots of a group whose steps are then longer than streams allow,
as when demand has shifted to experts that few ranks hold. All streams of a group advance together,
so they are all late together, and the group works on late answers only. With fewer requests at once
the steps are shorter, and those that run are on time. Additive increase and multiplicative decrease
let several gateways that see the same group come to similar bounds.
"""

from __future__ import annotations

INTERVAL_S = 0.5
"""Between adaptations, in seconds: a few steps, and less than an answer takes, so that a group that
slows down is noticed while most of its requests can still be on time."""
STALE_S = 2.0
"""Pauses from before so long a silence say nothing about the load now."""
MIN_PAUSES = 8
"""Fewer pauses say little; the bound then rises as without load."""
LONG_PAUSE_RATIO = 0.95
SHORT_PAUSE_RATIO = 0.8
"""Pauses relative to the longest one that is on time, above and below which the bound changes."""
QUANTILE = 0.9
"""Pauses of single streams, as behind a long prompt, do not decide."""
DECREASE_FACTOR = 0.88
"""Small, as its effect comes late: requests that run already are not taken back."""
INCREASE = 0.05
"""Share added in an interval; smaller than the decrease, so that the bound rises with care."""
MIN_SHARE = 0.4
"""A group that is slow for another reason than its load must still serve."""


class PauseBound:
    """Share of the slots of a group that may be used, adapted to the pauses of its streams."""

    def __init__(self) -> None:
        self._share = 1.0
        self._ratios: list[float] = []
        self._adapted_at_s = 0.0

    def record_pause(self, ratio: float, now_s: float) -> None:
        """Record the pause between two events of a stream.

        Parameters
        ----------
        ratio : float
            The pause, relative to the longest one that is on time.
        now_s : float
            Monotonic time in seconds.
        """
        self._ratios.append(ratio)
        self.share(now_s)

    def share(self, now_s: float) -> float:
        """Return the share of the slots that may be used, in (0, 1]."""
        elapsed_s = now_s - self._adapted_at_s
        if elapsed_s < INTERVAL_S:
            return self._share
        self._adapted_at_s = now_s
        ratios, self._ratios = sorted(self._ratios), []
        if len(ratios) < MIN_PAUSES or elapsed_s >= STALE_S:
            self._share = min(1.0, self._share + INCREASE * elapsed_s / INTERVAL_S)
            return self._share
        high = ratios[int(QUANTILE * (len(ratios) - 1))]
        if high > LONG_PAUSE_RATIO:
            self._share = max(MIN_SHARE, self._share * DECREASE_FACTOR)
        elif high < SHORT_PAUSE_RATIO:
            self._share = min(1.0, self._share + INCREASE)
        return self._share
