"""Interface to the engine of one rank of a lock-step group: expert maps and progress.

A new map is staged (weights loaded), held (the engine waits before a step), and then activated or
released (the hold ends without it).
"""

from __future__ import annotations

import abc
from typing import NamedTuple

from bronzerudder.backend_server.rank_errors import RankEngineError

NO_MAP = 0


class RankStatus(NamedTuple):
    """Expert maps and progress of one rank's engine.

    Parameters
    ----------
    next_step : int
        First step for which the engine hasn't yet declared itself ready.
    active : int
        Version of the map in use; `NO_MAP` until the engine has one.
    pending : int
        Activated version that takes effect at ``held_step``; `NO_MAP` if there is none.
    held : int
        Version for whose activation or release the engine waits before ``held_step``.
    held_step : int
        Step at which ``held`` or ``pending`` takes effect.
    staged : tuple of int
        Versions whose weights are loaded.
    """

    next_step: int = 0
    active: int = NO_MAP
    pending: int = NO_MAP
    held: int = NO_MAP
    held_step: int = 0
    staged: tuple[int, ...] = ()


class RankEngine(abc.ABC):
    """Control interface of one rank's engine.

    Every order carries the proposer's term as a fencing token, which an engine may ignore. An order
    names its version, so that a repeated order, or one that arrives after the version was activated
    or released, has no effect. A method that fails returns `RankEngineError`.
    """

    @abc.abstractmethod
    async def read(self, term: int) -> RankStatus | RankEngineError:
        """Read maps and progress; an engine that checks terms refuses lower terms from then on."""

    @abc.abstractmethod
    async def stage(
        self, term: int, version: int, expert_map: bytes
    ) -> RankStatus | RankEngineError:
        """Start to load the weights of a version next to those in use; return without waiting."""

    @abc.abstractmethod
    async def hold(self, term: int, version: int, step: int) -> RankStatus | RankEngineError:
        """Forbid the engine to enter ``step`` until ``version`` is activated or released.

        Refused if the step has been declared ready, if another version is held or pending, or if
        the version isn't staged.
        """

    @abc.abstractmethod
    async def reset(
        self, term: int, version: int, step: int, expert_map: bytes
    ) -> RankStatus | RankEngineError:
        """Drop all maps, continue at ``step``, and hold there until ``version`` is activated.

        Refused if the step has been declared ready.
        """

    @abc.abstractmethod
    async def activate(self, term: int, version: int) -> RankStatus | RankEngineError:
        """Use a held version from its step on; succeeds if it is already active."""

    @abc.abstractmethod
    async def release(self, term: int, version: int) -> RankStatus | RankEngineError:
        """End the hold of a version without activating it; succeeds if it isn't held."""
