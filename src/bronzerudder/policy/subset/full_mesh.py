"""Connects every entry to all backend servers of a pool."""

from __future__ import annotations

from collections.abc import Sequence

from bronzerudder.policy.subset.api import Member, SubsetPolicy


class FullMesh(SubsetPolicy):
    """Chooses all members; suitable for pools of tens of backend servers."""

    def select(self, entry_id: str, members: Sequence[Member]) -> tuple[Member, ...]:
        """Choose all members."""
        return tuple(members)
