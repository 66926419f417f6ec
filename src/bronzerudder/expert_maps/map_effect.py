"""Compares what a change of map was planned for with what followed.

The answer tells apart why steps are long in spite of changes: a plan from old counts shows as a
difference between the expected and the measured skew, a slow leader as its processor time.
"""

from __future__ import annotations

import time
from typing import NamedTuple


class PlannedEffect(NamedTuple):
    """What a change was planned from and for.

    Parameters
    ----------
    version : int
        Of the new map.
    skew : float
        Expected largest over mean load of the ranks.
    step_s : float
        Duration of a step before the change, in seconds.
    newest_counts_s, oldest_counts_s : float
        Monotonic times at which the counts arrived that it was planned from.
    """

    version: int
    skew: float
    step_s: float
    newest_counts_s: float
    oldest_counts_s: float


class MapEffect:
    """Follows one change from its plan until its effect can be measured.

    Call `expect` for a plan, `observe_map` with each report of the rank next to the leader, and
    `summarize` once `in_use_s` is set and requests have run on the map.
    """

    def __init__(self) -> None:
        self._planned: PlannedEffect | None = None
        self._in_use_s: float | None = None
        self._first_step = 0
        self._last_step = 0
        self._cpu_s = time.process_time()
        self._cpu_since_s = time.monotonic()

    @property
    def in_use_s(self) -> float | None:
        """Monotonic time since which the planned map is known to be in use; None before."""
        return self._in_use_s

    def expect(self, planned: PlannedEffect) -> None:
        """Follow a change that is about to be made."""
        self._planned = planned
        self._in_use_s = None

    def observe_map(self, version: int, step: int, now_s: float) -> None:
        """Note the map that the rank next to the leader uses, and its last step."""
        self._last_step = step
        if self._planned is None or self._in_use_s is not None:
            return
        if version == self._planned.version:
            self._in_use_s = now_s
            self._first_step = step

    def summarize(self, skew: float, now_s: float) -> dict[str, float]:
        """End following the change; return the fields of its log line.

        Parameters
        ----------
        skew : float
            Largest over mean load of the ranks, by what requests chose since the map is in use.
        now_s : float
            Monotonic time in seconds.
        """
        planned, in_use_s = self._planned, self._in_use_s
        assert planned is not None and in_use_s is not None
        self._planned = None
        self._in_use_s = None
        cpu_s = time.process_time()
        cpu_share = (cpu_s - self._cpu_s) / max(now_s - self._cpu_since_s, 1e-9)
        self._cpu_s, self._cpu_since_s = cpu_s, now_s
        return {
            "version": planned.version,
            "expected_skew": round(planned.skew, 3),
            "skew": round(skew, 3),
            "step_before_s": round(planned.step_s, 4),
            "step_s": round((now_s - in_use_s) / max(1, self._last_step - self._first_step), 4),
            "newest_counts_age_s": round(in_use_s - planned.newest_counts_s, 3),
            "oldest_counts_age_s": round(in_use_s - planned.oldest_counts_s, 3),
            "cpu_cores": round(cpu_share, 3),
        }
