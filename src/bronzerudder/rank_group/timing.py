"""How long the members of a group wait for each other, by its size."""

from __future__ import annotations

import math

ARM_TIME_BASE_S = 0.3
ARM_TIME_PER_RANK_S = 0.002
MIN_MARGIN_STEPS = 2
MAX_MARGIN_STEPS = 1_000
SETTLE_MARGIN_S = 0.1
FIRST_RANKS = 4
FIRST_STAGGER_S = 0.15
LATER_STAGGER_S = 0.01


def arm_time_s(rank_count: int) -> float:
    """Return the time allowed between choosing a step and the decision reaching all, in seconds."""
    return ARM_TIME_BASE_S + rank_count * ARM_TIME_PER_RANK_S


def margin_steps(rank_count: int, step_time_s: float) -> int:
    """Return how many steps ahead a change is armed, so that no rank has to wait for it."""
    steps = math.ceil(arm_time_s(rank_count) / step_time_s)
    return min(max(steps, MIN_MARGIN_STEPS), MAX_MARGIN_STEPS)


def settle_delay_s(rank: int, rank_count: int) -> float:
    """Return how long a rank waits for a decision before it proposes, in seconds.

    Lower ranks come first, so that they seldom outbid each other.
    """
    first = min(rank, FIRST_RANKS) * FIRST_STAGGER_S
    later = max(rank - FIRST_RANKS, 0) * LATER_STAGGER_S
    return arm_time_s(rank_count) + SETTLE_MARGIN_S + first + later
