"""Tracks the progress of a rank's engine from its periodically read status."""

from __future__ import annotations

from bronzerudder.backend_server.rank_api import NO_MAP, RankStatus

STALL_TIMEOUT_S = 1.0
DEFAULT_STEP_TIME_S = 0.03
STEP_TIME_WEIGHT = 0.2


class RankProgress:
    """Detects a stalled engine and one that waits for a decision; times are monotonic seconds.

    In a lock-step group no rank advances while any is stalled, so each agent detects a stall of the
    group at its own engine.
    """

    def __init__(self) -> None:
        self._status = RankStatus()
        self._step_time_s = DEFAULT_STEP_TIME_S
        self._advanced_at: float | None = None
        self._unsettled_since: float | None = None
        self._last_checked_at = 0.0

    @property
    def status(self) -> RankStatus:
        """Status of the engine as last read."""
        return self._status

    @property
    def step_time_s(self) -> float:
        """Exponentially smoothed step time, in seconds."""
        return self._step_time_s

    @property
    def stalled(self) -> bool:
        """Whether the engine has not advanced for `STALL_TIMEOUT_S`."""
        return (
            self._advanced_at is not None
            and self._last_checked_at - self._advanced_at > STALL_TIMEOUT_S
        )

    @property
    def unsettled_s(self) -> float:
        """Time for which a version has been held undecided or no map has been set, in seconds."""
        if self._unsettled_since is None:
            return 0.0
        return self._last_checked_at - self._unsettled_since

    def record_status(self, status: RankStatus, now: float) -> None:
        """Record a status read at ``now``."""
        steps = status.next_step - self._status.next_step
        if self._advanced_at is None:
            self._advanced_at = now
        elif steps > 0:
            measured_s = (now - self._advanced_at) / steps
            self._step_time_s += STEP_TIME_WEIGHT * (measured_s - self._step_time_s)
            self._advanced_at = now
        self._last_checked_at = now
        unsettled = status.held != NO_MAP or status.active == NO_MAP and status.pending == NO_MAP
        if not unsettled or status.held != self._status.held:
            self._unsettled_since = None
        if unsettled and self._unsettled_since is None:
            self._unsettled_since = now
        self._status = status

    def record_failure(self, now: float) -> None:
        """Record that the engine gave no answer."""
        if self._advanced_at is None:
            self._advanced_at = now
        self._last_checked_at = now

    def restart_unsettled_timer(self, now: float) -> None:
        """Restart `unsettled_s` from 0 after an attempt to settle."""
        if self._unsettled_since is not None:
            self._unsettled_since = now
