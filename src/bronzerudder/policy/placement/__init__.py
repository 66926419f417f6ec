"""Decides where a group's experts are placed and when they move."""

from __future__ import annotations

from bronzerudder.policy.placement.api import (
    LoadAllowance,
    NoChange,
    NoChangeKind,
    PlacementParameters,
    PlacementPolicy,
    Proposal,
    parameters_of_group,
)
from bronzerudder.policy.placement.errors import PlacementError, PlacementErrorKind
from bronzerudder.policy.placement.expert_map import (
    ExpertMap,
    build_map,
    decode_map,
    digest_map,
    encode_map,
    same_placement,
)
from bronzerudder.policy.placement.full import FullPlacement
from bronzerudder.policy.placement.incremental import IncrementalPlacement, IncrementalTuning
from bronzerudder.policy.placement.layout import initial_map
from bronzerudder.policy.placement.rebalancer import GrantedProposal, Rebalancer
from bronzerudder.policy.placement.static import StaticPlacement

__all__ = [
    "ExpertMap",
    "FullPlacement",
    "GrantedProposal",
    "NoChange",
    "NoChangeKind",
    "IncrementalPlacement",
    "IncrementalTuning",
    "LoadAllowance",
    "PlacementError",
    "PlacementErrorKind",
    "PlacementPolicy",
    "PlacementParameters",
    "Proposal",
    "Rebalancer",
    "StaticPlacement",
    "build_map",
    "decode_map",
    "digest_map",
    "encode_map",
    "initial_map",
    "same_placement",
    "parameters_of_group",
]
