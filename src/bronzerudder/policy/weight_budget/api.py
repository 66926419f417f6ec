"""Interface of a budget for the weight store's rate."""

from __future__ import annotations

import abc
from typing import NamedTuple


class WeightStoreLimits(NamedTuple):
    """Rate of the weight store and the number of groups that share it.

    Parameters
    ----------
    bytes_per_s : float
        Rate of the store, shared by all groups.
    group_count : int
        Number of groups in the configuration, including this one.
    """

    bytes_per_s: float
    group_count: int


class Grant(NamedTuple):
    """The rate at which a group may load weights until it calls `WeightBudget.release`.

    Parameters
    ----------
    bytes_per_s : float
        Rate of all ranks of the group together.
    borrowed_bytes_per_s : float
        The borrowed share of `bytes_per_s`.
    borrowed_for_s : float
        Time in seconds after which the borrowed share must no longer be used.
    """

    bytes_per_s: float
    borrowed_bytes_per_s: float = 0.0
    borrowed_for_s: float = 0.0


class WeightBudget(abc.ABC):
    """Limits how fast a group loads weights so that all groups stay within the store's rate."""

    @property
    @abc.abstractmethod
    def assured_bytes_per_s(self) -> float:
        """Rate that this group may always use, independent of the other groups."""

    @abc.abstractmethod
    def set_limits(self, limits: WeightStoreLimits) -> None:
        """Apply the limits of a new configuration."""

    @abc.abstractmethod
    async def acquire(self, load_bytes: int) -> Grant:
        """Request a rate for loading this many bytes; it is never below the assured rate."""

    @abc.abstractmethod
    async def release(self) -> None:
        """Release the granted rate when loading has finished or was abandoned."""
