"""Chooses the subset of a pool that each entry connects to."""

from __future__ import annotations

from bronzerudder.policy.subset.api import Member, SubsetPolicy
from bronzerudder.policy.subset.full_mesh import FullMesh
from bronzerudder.policy.subset.rendezvous import RendezvousSubset
from bronzerudder.policy.subset.sample import SampleSubset

__all__ = ["FullMesh", "Member", "RendezvousSubset", "SampleSubset", "SubsetPolicy"]
