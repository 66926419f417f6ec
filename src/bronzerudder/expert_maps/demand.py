"""Which experts the requests of a group have demanded lately, as load scenarios to plan a map for.

A map comes into force some time after its plan, so it should suit the demand that follows and not
the last moment. How well the past foretells it differs: demand that drifts or stays is foretold
best by its last second, demand that moves back and forth between mixtures by all of them together.
The history therefore chooses the window whose mean would have foretold later demand best.
"""

from __future__ import annotations

import collections

import numpy as np

from bronzerudder.expert_maps.scenarios import LEVEL_BITS, MAX_LEVEL, Scenario

SLICE_S = 0.2
"""A few steps; the choices of all ranks in one slice approximate the load of a step."""
MIN_SLICE_FRACTION = 0.25
"""Slices with less than this fraction of the largest slice's choices are too noisy to plan by."""
WINDOWS_S = (1.2, 2.4, 4.8, 9.6, 19.2)
HISTORY_S = 24.0
FORETOLD_S = 1.0
"""Demand that a window must foretell: the mean over this time, from when a change is in force."""
MIN_COMPARISONS = 5
"""Fewer moments to compare at say little about which window foretells best."""
MIN_COMPARED_SLICES = 6
"""Slices of the history before the first of these moments."""
CHOICE_INTERVAL_S = 1.0
MAX_ROWS = 8
"""Bounds the search, which evaluates every move for every row."""


def unpack(scenario: Scenario) -> np.ndarray:
    """Return the number of choices of each expert, as approximated by its level."""
    packed = np.frombuffer(scenario.levels, dtype=np.uint8)
    levels = np.empty(2 * len(packed))
    levels[::2] = packed >> LEVEL_BITS
    levels[1::2] = packed & MAX_LEVEL
    squared = levels * levels
    return squared * (scenario.weight / squared.sum())


def foretelling_error(rows: np.ndarray, window: int, lead: int, foretold: int) -> float:
    """Return how far the mean of a window was from the demand that followed.

    Parameters
    ----------
    rows : numpy.ndarray
        Shape ``(slices, experts)``: share of each expert in the choices of a slice, oldest first.
    window, lead, foretold : int
        Slices that the mean is taken over, that pass after them, and that are foretold.

    Returns
    -------
    float
        Mean of the squared distance.
    """
    sums = np.concatenate((np.zeros((1, rows.shape[1])), rows.cumsum(axis=0)))
    moments = np.arange(MIN_COMPARED_SLICES, len(rows) - lead - foretold + 1)
    begins = np.maximum(0, moments - window)
    means = (sums[moments] - sums[begins]) / (moments - begins)[:, None]
    later = (sums[moments + lead + foretold] - sums[moments + lead]) / foretold
    return float(((means - later) ** 2).sum(axis=1).mean())


class _Slice:
    def __init__(self, number: int, size: int) -> None:
        self.number = number
        self.scenarios = 0
        self.choices = np.zeros(size)


class DemandHistory:
    """Expert choices of all ranks of a group.

    Parameters
    ----------
    sets, experts : int
        Number of sets, and of experts in each; scenarios of another size are ignored.
    """

    def __init__(self, sets: int, experts: int) -> None:
        self._sets = sets
        self._size = sets * experts
        self._packed_size = (self._size + 1) // 2
        self._slices: collections.deque[_Slice] = collections.deque()
        self._window_s = WINDOWS_S[0]
        self._chosen_at_s = 0.0

    @property
    def window_s(self) -> float:
        """Window that foretold demand best, in seconds."""
        return self._window_s

    def add(self, scenario: Scenario, now_s: float) -> None:
        """Add a scenario; `now_s` is a monotonic time in seconds."""
        if len(scenario.levels) != self._packed_size:
            return
        number = int(now_s / SLICE_S)
        if not self._slices or self._slices[-1].number != number:
            self._slices.append(_Slice(number, self._size))
        current = self._slices[-1]
        current.scenarios += 1
        current.choices += unpack(scenario)[: self._size]
        oldest = number - int(HISTORY_S / SLICE_S)
        while self._slices[0].number < oldest:
            self._slices.popleft()

    def choose_window(self, now_s: float, lead_s: float) -> None:
        """Choose the window anew, for changes that take this time."""
        if now_s - self._chosen_at_s < CHOICE_INTERVAL_S:
            return
        self._chosen_at_s = now_s
        kept = self._largest(list(self._slices))
        lead = max(1, round(lead_s / SLICE_S))
        foretold = round(FORETOLD_S / SLICE_S)
        if len(kept) - lead - foretold - MIN_COMPARED_SLICES < MIN_COMPARISONS:
            return
        rows = np.stack([item.choices / item.choices.sum() for item in kept])
        errors = [
            foretelling_error(rows, round(window_s / SLICE_S), lead, foretold)
            for window_s in WINDOWS_S
        ]
        self._window_s = WINDOWS_S[int(np.argmin(errors))]

    def count_scenarios(self, now_s: float) -> int:
        """Count the scenarios of the window."""
        return sum(item.scenarios for item in self._recent(now_s))

    def loads(self, now_s: float) -> np.ndarray:
        """Return the loads of the window in shape ``(sets, rows, experts)``, the oldest first."""
        kept = self._largest(self._recent(now_s))
        merged = np.array_split(np.arange(len(kept)), min(MAX_ROWS, max(1, len(kept))))
        rows = [
            np.sum([kept[index].choices for index in group], axis=0)
            for group in merged
            if len(group)
        ]
        if not rows:
            return np.zeros((self._sets, 0, self._size // self._sets))
        return np.stack(rows).reshape(len(rows), self._sets, -1).transpose(1, 0, 2)

    def _recent(self, now_s: float) -> list[_Slice]:
        oldest = (now_s - self._window_s) / SLICE_S - 1
        return [item for item in self._slices if item.number > oldest]

    def _largest(self, slices: list[_Slice]) -> list[_Slice]:
        """Leave out the slices with few choices."""
        weights = [item.choices.sum() for item in slices]
        least = MIN_SLICE_FRACTION * max(weights, default=0.0)
        pairs = zip(slices, weights, strict=True)
        return [item for item, weight in pairs if weight and weight >= least]
