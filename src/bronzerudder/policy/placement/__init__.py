"""Where a group's experts are placed."""

from __future__ import annotations

from bronzerudder.policy.placement.errors import PlacementError, PlacementErrorKind
from bronzerudder.policy.placement.expert_map import (
    ExpertMap,
    build_map,
    decode_map,
    digest_map,
    encode_map,
    same_placement,
)

__all__ = [
    "ExpertMap",
    "PlacementError",
    "PlacementErrorKind",
    "build_map",
    "decode_map",
    "digest_map",
    "encode_map",
    "same_placement",
]
