"""What an agent sees of its rank's progress."""

from __future__ import annotations

from bronzerudder.backend_server.rank_api import NO_MAP, RankStatus

STALL_TIMEOUT_S = 1.0
DEFAULT_STEP_TIME_S = 0.03
STEP_TIME_WEIGHT = 0.2


class RankProgress:
    """Tells a stalled or unsettled rank from one that advances; times are monotonic seconds.

    In a lock-step group no rank advances while any is stalled, so each agent sees a stall of the
    group at its own engine.
    """

    def __init__(self) -> None:
        self._status = RankStatus()
        self._step_time_s = DEFAULT_STEP_TIME_S
        self._advanced_at: float | None = None
        self._unsettled_since: float | None = None
        self._now = 0.0

    @property
    def status(self) -> RankStatus:
        """State of the engine when last read."""
        return self._status

    @property
    def step_time_s(self) -> float:
        """Smoothed time of a step, in seconds."""
        return self._step_time_s

    @property
    def stalled(self) -> bool:
        """Whether no step has been seen for `STALL_TIMEOUT_S`."""
        return self._advanced_at is not None and self._now - self._advanced_at > STALL_TIMEOUT_S

    @property
    def unsettled_s(self) -> float:
        """How long a decision has been awaited, or a first map missing, in seconds."""
        if self._unsettled_since is None:
            return 0.0
        return self._now - self._unsettled_since

    def note(self, status: RankStatus, now: float) -> None:
        """Take in a state read at ``now``."""
        steps = status.next_step - self._status.next_step
        if self._advanced_at is None:
            self._advanced_at = now
        elif steps > 0:
            measured_s = (now - self._advanced_at) / steps
            self._step_time_s += STEP_TIME_WEIGHT * (measured_s - self._step_time_s)
            self._advanced_at = now
        self._now = now
        unsettled = status.held != NO_MAP or status.active == NO_MAP and status.pending == NO_MAP
        if not unsettled or status.held != self._status.held:
            self._unsettled_since = None
        if unsettled and self._unsettled_since is None:
            self._unsettled_since = now
        self._status = status

    def note_failure(self, now: float) -> None:
        """Take in that the engine gave no answer."""
        if self._advanced_at is None:
            self._advanced_at = now
        self._now = now

    def restart_settling(self, now: float) -> None:
        """Wait the full time again before the next attempt to settle."""
        if self._unsettled_since is not None:
            self._unsettled_since = now
