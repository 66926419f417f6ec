"""What the system needs from the engine of one rank of a lock-step group."""

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
        First step that the engine hasn't yet declared itself ready for.
    active : int
        Version of the map in use; `NO_MAP` until the engine has been given one.
    pending : int
        Version that will become active at ``held_step``; `NO_MAP` if there is none.
    held : int
        Version whose activation or release the engine awaits before ``held_step``.
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
    """Control side of one rank's engine.

    Every order carries a term as its fencing number; an engine may ignore it. An order names the
    version that it concerns, so a repeat, or a late arrival after that version was settled, has no
    effect. Each method returns `RankEngineError` when it fails.
    """

    @abc.abstractmethod
    async def read(self, term: int) -> RankStatus | RankEngineError:
        """Read maps and progress; an engine that honours terms refuses lower ones from then on."""

    @abc.abstractmethod
    async def stage(
        self, term: int, version: int, expert_map: bytes
    ) -> RankStatus | RankEngineError:
        """Start to load the weights of a version beside those in use; return without waiting."""

    @abc.abstractmethod
    async def hold(self, term: int, version: int, step: int) -> RankStatus | RankEngineError:
        """Forbid the engine to enter ``step`` until ``version`` is activated or released.

        Refused when the step has been declared ready, when another version is held or pending, and
        when the version isn't staged.
        """

    @abc.abstractmethod
    async def reset(
        self, term: int, version: int, step: int, expert_map: bytes
    ) -> RankStatus | RankEngineError:
        """Drop all maps, continue at ``step``, and hold there until ``version`` is activated.

        Refused when the step has been declared ready.
        """

    @abc.abstractmethod
    async def activate(self, term: int, version: int) -> RankStatus | RankEngineError:
        """Use a held version from its step on; a repeat for an active version succeeds."""

    @abc.abstractmethod
    async def release(self, term: int, version: int) -> RankStatus | RankEngineError:
        """End the hold of a version without activating it; succeeds when it isn't held."""
