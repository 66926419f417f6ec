"""Interface of a subset policy."""

from __future__ import annotations

import abc
from collections.abc import Sequence
from typing import NamedTuple


class Member(NamedTuple):
    """A backend server of a pool."""

    name: str
    failure_domain: str


class SubsetPolicy(abc.ABC):
    """Chooses which backend servers of a pool an entry keeps connections to."""

    @abc.abstractmethod
    def select(self, entry_id: str, members: Sequence[Member]) -> tuple[Member, ...]:
        """Choose the entry's members; deterministic for the same arguments."""
