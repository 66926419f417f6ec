"""What a budget for the weight store takes and gives."""

from __future__ import annotations

import abc
from typing import NamedTuple


class WeightStoreLimits(NamedTuple):
    """What the weight store allows, and how many groups there are to share it.

    Parameters
    ----------
    bytes_per_s : float
        Rate of the store over all groups.
    group_count : int
        Groups known from the configuration, this one included.
    """

    bytes_per_s: float
    group_count: int


class Grant(NamedTuple):
    """The rate at which a group may load, until it is done.

    Parameters
    ----------
    bytes_per_s : float
        Rate over all ranks of the group.
    borrowed_bytes_per_s : float
        The part of it that is lent by others.
    borrowed_for_s : float
        After this time the borrowed part must not be used any more.
    """

    bytes_per_s: float
    borrowed_bytes_per_s: float = 0.0
    borrowed_for_s: float = 0.0


class WeightBudget(abc.ABC):
    """Says how fast a group may load weights so that all groups keep to the store's rate."""

    @property
    @abc.abstractmethod
    def assured_bytes_per_s(self) -> float:
        """Rate that this group may use at any time, whatever the others do."""

    @abc.abstractmethod
    def set_limits(self, limits: WeightStoreLimits) -> None:
        """Take over limits from a new configuration."""

    @abc.abstractmethod
    async def acquire(self, load_bytes: int) -> Grant:
        """Get a rate for loading so many bytes; never below the assured rate."""

    @abc.abstractmethod
    async def release(self) -> None:
        """Say that the loading is done or was given up."""
