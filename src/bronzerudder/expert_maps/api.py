"""What is known of the ranks of a group, and the orders that they take."""

from __future__ import annotations

import abc
import enum
from collections.abc import Sequence
from typing import NamedTuple

import msgspec

Layout = list[list[list[int]]]
"""Experts that each rank holds, by set of layers and rank."""


class ArmedMap(msgspec.Struct, frozen=True):
    """A map that a rank will switch to when a step begins."""

    version: int
    step: int


class RankState(msgspec.Struct, frozen=True):
    """What a rank says of itself.

    Parameters
    ----------
    address : str
        ``host:port`` that takes its orders.
    group : str
        Group that it is in.
    epoch : int
        Rises each time that the group forms.
    rank, size : int
        Its place, and the number of ranks.
    is_open : bool
        Whether the group runs.
    born_ms : int
        Unix time of its start, in milliseconds.
    step : int
        Last step that was begun.
    map_version : int
        Map in use.
    prepared_version : int or None
        Map that it has loaded and can switch to.
    armed : ArmedMap or None
        Switch that it will make.
    held_step : int or None
        Step that waits for its release at this rank.
    requests : int
        Requests that run or wait.
    pace : float
        Time that its work takes, against what it usually takes.
    """

    address: str
    group: str
    epoch: int
    rank: int
    size: int
    is_open: bool
    born_ms: int
    step: int
    map_version: int
    prepared_version: int | None
    armed: ArmedMap | None
    held_step: int | None
    requests: int
    pace: float = 1.0


class RankCounts(msgspec.Struct, frozen=True):
    """How often a rank's requests chose each expert since its start, by set and expert."""

    epoch: int
    counts: list[int]


class RankPlaces(msgspec.Struct, frozen=True):
    """Experts that a rank holds by the map in use, by set of layers."""

    map_version: int
    experts: list[list[int]]


class OrderResult(enum.Enum):
    """What is known of an order after it was given.

    ``NOT_GIVEN`` means that it never left; ``UNKNOWN``, that it may take effect at once or seconds
    later.
    """

    ACCEPTED = "accepted"
    REFUSED = "refused"
    NOT_GIVEN = "not-given"
    UNKNOWN = "unknown"


class RankFailure(NamedTuple):
    """Why a rank could not be asked; returned in place of its answer."""

    reason: str


class RankOrders(abc.ABC):
    """Gives orders to ranks; an order that carries an epoch is refused in another one."""

    @abc.abstractmethod
    async def prepare(self, rank: RankState, version: int, layout: Layout) -> OrderResult:
        """Load what a map places on the rank.

        Refused while the rank is armed, and for versions that are not above all that it has had.
        A map that was prepared earlier can't be armed any more.
        """

    def set_ranks(self, ranks: Sequence[RankState], own_address: str) -> None:
        """Say which ranks there are, and which is beside the leader, before a change."""
        del ranks, own_address

    async def prepare_many(
        self, ranks: Sequence[RankState], version: int, layout: Layout
    ) -> dict[str, OrderResult]:
        """Give the order to many ranks, in a way that is quicker than one by one.

        Returns
        -------
        dict
            Results by address, of the ranks whose result is known. Others may have taken it too.
        """
        del ranks, version, layout
        return {}

    @abc.abstractmethod
    async def arm(self, rank: RankState, version: int, step: int) -> OrderResult:
        """Switch to the prepared map when a step begins; refused once it has begun."""

    @abc.abstractmethod
    async def disarm(self, rank: RankState, version: int) -> OrderResult:
        """Take back the switch to a map."""

    @abc.abstractmethod
    async def hold(self, rank: RankState, step: int) -> OrderResult:
        """Keep the group from beginning a step until it is released at this rank."""

    @abc.abstractmethod
    async def release(self, rank: RankState, step: int) -> OrderResult:
        """Let the group begin a held step."""

    async def answers(self, rank: RankState) -> bool:
        """Tell whether a rank can be given orders now."""
        return not isinstance(await self.state(rank.address), RankFailure)

    @abc.abstractmethod
    async def state(self, address: str) -> RankState | RankFailure:
        """Ask a rank for its state; what another machine is told may be some hundred ms old."""


class RankCalls(RankOrders):
    """Orders, and what ranks tell besides their state."""

    @abc.abstractmethod
    async def counts(self, address: str) -> RankCounts | RankFailure:
        """Ask a rank what its requests chose; from another machine this pauses the group."""

    @abc.abstractmethod
    async def places(self, address: str) -> RankPlaces | RankFailure:
        """Ask a rank which experts it holds."""
