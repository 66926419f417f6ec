"""Interface of a placement policy."""

from __future__ import annotations

import abc
import enum
from typing import NamedTuple

import numpy as np

from bronzerudder.policy.placement.expert_map import ExpertMap
from bronzerudder.tables.rows import GroupRow


class PlacementParameters(NamedTuple):
    """Weights of a group's placement objective, and the size of one expert.

    Parameters
    ----------
    skew_weight, rebalancing_weight : float
        Importance of low step-time skew and of low rebalancing cost, each from 0 to 1.
    expert_bytes : int
        Size of the weights of one expert in one layer.
    """

    skew_weight: float
    rebalancing_weight: float
    expert_bytes: int


class LoadAllowance(NamedTuple):
    """Limits on the bytes loaded for the next map and on their rate."""

    bytes: int
    bytes_per_s: float


class Proposal(NamedTuple):
    """The next map that a policy proposes.

    Parameters
    ----------
    expert_map : ExpertMap
        Its version is one above that of the active map.
    load_count : int
        Number of experts to load, summed over all layers and ranks.
    load_bytes : int
        Bytes that these loads read from the weight store.
    predicted_gain : float
        Step time that the change saves, as a fraction of that of a perfectly balanced group.
    """

    expert_map: ExpertMap
    load_count: int
    load_bytes: int
    predicted_gain: float


class NoChangeKind(enum.Enum):
    """Why a policy keeps the active map."""

    STATIC = "static"
    UNOBSERVED = "unobserved"
    BALANCED = "balanced"
    NOT_WORTH_ITS_COST = "not-worth-its-cost"
    NO_BUDGET = "no-budget"
    SHAPE = "shape"


class NoChange(NamedTuple):
    """Returned in place of a proposal when the active map is kept."""

    kind: NoChangeKind
    reason: str


class PlacementPolicy(abc.ABC):
    """Decides on which ranks the experts of a group are placed."""

    @abc.abstractmethod
    def decide(
        self, active: ExpertMap, popularity: np.ndarray, allowance: LoadAllowance
    ) -> Proposal | NoChange:
        """Propose the next map, or return why the active one is kept.

        Parameters
        ----------
        active : ExpertMap
            The map in use by the group.
        popularity : numpy.ndarray
            Shape ``(layers, experts)``: each expert's share of the tokens of its layer.
        allowance : LoadAllowance
            Limits on loading weights.

        Notes
        -----
        It is CPU-bound and blocks: call it from a worker thread.
        """


def parameters_of_group(group: GroupRow, expert_bytes: int) -> PlacementParameters:
    """Build the parameters from the group settings in a pool's row."""
    return PlacementParameters(group["skew_weight"], group["rebalancing_weight"], expert_bytes)
