"""Timeouts between the members of a group, which grow with its size."""

from __future__ import annotations

import math

ARM_TIME_BASE_S = 0.3
ARM_TIME_PER_RANK_S = 0.002
MIN_MARGIN_STEPS = 2
MAX_MARGIN_STEPS = 1_000
SETTLE_MARGIN_S = 0.1
LOW_RANKS = 4
LOW_RANK_STAGGER_S = 0.15
HIGH_RANK_STAGGER_S = 0.01


def arm_time_s(rank_count: int) -> float:
    """Return the time allowed from choosing a step until all have the decision, in seconds."""
    return ARM_TIME_BASE_S + rank_count * ARM_TIME_PER_RANK_S


def margin_steps(rank_count: int, step_time_s: float) -> int:
    """Return how many steps ahead a change is armed.

    The decision must reach all ranks before the armed step, as a rank without it holds there and
    stalls the group.
    """
    steps = math.ceil(arm_time_s(rank_count) / step_time_s)
    return min(max(steps, MIN_MARGIN_STEPS), MAX_MARGIN_STEPS)


def settle_delay_s(rank: int, rank_count: int) -> float:
    """Return how long a rank waits for a decision before it proposes, in seconds.

    Lower ranks wait less, so that ranks seldom propose at once and supersede each other's terms.
    """
    low = min(rank, LOW_RANKS) * LOW_RANK_STAGGER_S
    high = max(rank - LOW_RANKS, 0) * HIGH_RANK_STAGGER_S
    return arm_time_s(rank_count) + SETTLE_MARGIN_S + low + high
