"""What a placement policy takes and gives."""

from __future__ import annotations

import abc
import enum
from typing import NamedTuple

import numpy as np

from bronzerudder.policy.placement.expert_map import ExpertMap
from bronzerudder.tables.rows import GroupRow


class PlacementTerms(NamedTuple):
    """What a group's terms weigh, and what a load of weights costs.

    Parameters
    ----------
    skew_weight, rebalancing_weight : float
        How much step-time skew counts against the cost of moving experts, each from 0 to 1.
    expert_bytes : int
        Weights of one expert of one layer.
    """

    skew_weight: float
    rebalancing_weight: float
    expert_bytes: int


class LoadAllowance(NamedTuple):
    """How many bytes may be loaded for the next map, and how fast."""

    bytes: int
    bytes_per_s: float


class Proposal(NamedTuple):
    """A map that is worth changing to.

    Parameters
    ----------
    expert_map : ExpertMap
        Its version is one above that of the map it is derived from.
    load_count : int
        Experts that ranks have to load, counted over all layers and ranks.
    load_bytes : int
        What these loads take from the weight store.
    predicted_gain : float
        Step time that the change saves, as a share of the step time of a perfectly even group.
    """

    expert_map: ExpertMap
    load_count: int
    load_bytes: int
    predicted_gain: float


class HoldKind(enum.Enum):
    """Why a policy keeps the active map."""

    STATIC = "static"
    UNOBSERVED = "unobserved"
    BALANCED = "balanced"
    NOT_WORTH_ITS_COST = "not-worth-its-cost"
    NO_BUDGET = "no-budget"
    SHAPE = "shape"


class Hold(NamedTuple):
    """The active map stays; returned in place of a proposal."""

    kind: HoldKind
    reason: str


class PlacementPolicy(abc.ABC):
    """Decides where the experts of a group are placed."""

    @abc.abstractmethod
    def decide(
        self, active: ExpertMap, popularity: np.ndarray, allowance: LoadAllowance
    ) -> Proposal | Hold:
        """Propose the next map, or say why the active one stays.

        Parameters
        ----------
        active : ExpertMap
            The map that the group runs on.
        popularity : numpy.ndarray
            Shape ``(layers, experts)``: the share of each layer's tokens that each expert takes.
        allowance : LoadAllowance
            What may be loaded.

        Notes
        -----
        It takes processor time and awaits nothing: call it from a worker thread.
        """


def terms_of_group(group: GroupRow, expert_bytes: int) -> PlacementTerms:
    """Take the terms from a pool's row."""
    return PlacementTerms(group["skew_weight"], group["rebalancing_weight"], expert_bytes)
