"""Loads of the ranks of a group under a layout.

"Load" means the work that requests bring to an expert or a rank. Ranks that hold an expert share
its load evenly, and a step takes as long as its most loaded rank, set by set.
"""

from __future__ import annotations

import numpy as np

from bronzerudder.expert_maps.api import Layout


def rank_loads(layout: Layout, scenarios: np.ndarray, slowdowns: np.ndarray) -> np.ndarray:
    """Return the loads of ranks in shape ``(sets, scenarios, ranks)``.

    Parameters
    ----------
    layout : list
        Experts by set and rank.
    scenarios : numpy.ndarray
        Shape ``(sets, scenarios, experts)``: load of each expert.
    slowdowns : numpy.ndarray
        Shape ``(ranks,)``: time that a rank takes for a load of one.
    """
    holding = _build_holding(layout, scenarios.shape[2])
    shares = scenarios / np.maximum(holding.sum(axis=1), 1.0)[:, None]
    return (shares @ holding.transpose(0, 2, 1)) * slowdowns


def layout_skew(layout: Layout, scenarios: np.ndarray, slowdowns: np.ndarray) -> float:
    """Return the largest over the mean load of a step, over all sets and scenarios; 1 if even."""
    loads = rank_loads(layout, scenarios, slowdowns)
    mean = float(loads.mean(axis=2).sum())
    return float(loads.max(axis=2).sum()) / mean if mean > 0 else 1.0


def _build_holding(layout: Layout, experts: int) -> np.ndarray:
    """Return 1 where a rank holds an expert, in shape ``(sets, ranks, experts)``."""
    ranks = len(layout[0])
    rows = [held for ranked in layout for held in ranked]
    holding = np.zeros((len(rows), experts))
    row_numbers = np.repeat(np.arange(len(rows)), [len(held) for held in rows])
    holding[row_numbers, [expert for held in rows for expert in held]] = 1.0
    return holding.reshape(len(layout), ranks, experts)
