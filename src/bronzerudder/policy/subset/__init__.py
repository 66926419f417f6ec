"""Chooses each entry's part of a pool."""

from __future__ import annotations

from bronzerudder.policy.subset.api import Member, SubsetPolicy
from bronzerudder.policy.subset.full_mesh import FullMesh

__all__ = ["FullMesh", "Member", "SubsetPolicy"]
