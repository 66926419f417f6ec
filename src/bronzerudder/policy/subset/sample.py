"""Baseline policy: a random sample seeded by the entry's name."""

from __future__ import annotations

import random
from collections.abc import Sequence

from bronzerudder.policy.subset.api import Member, SubsetPolicy


class SampleSubset(SubsetPolicy):
    """Chooses a random sample; any change of members may change all choices.

    Parameters
    ----------
    size : int
        Number of members chosen.
    """

    def __init__(self, size: int) -> None:
        self._size = size

    def select(self, entry_id: str, members: Sequence[Member]) -> tuple[Member, ...]:
        """Choose the entry's members, sorted by name."""
        count = min(self._size, len(members))
        return tuple(sorted(random.Random(entry_id).sample(sorted(members), count)))
