"""State of the ranks of a group, and the orders that ranks accept."""

from __future__ import annotations

import abc
import enum
from collections.abc import Sequence
from typing import NamedTuple

import msgspec

Layout = list[list[list[int]]]
"""Experts that each rank holds, by set of layers and rank."""


class ArmedMap(msgspec.Struct, frozen=True):
    """A map that a rank will switch to when the given step begins."""

    version: int
    step: int


class RankState(msgspec.Struct, frozen=True):
    """State of a rank, as it reports it.

    Parameters
    ----------
    address : str
        ``host:port`` that receives its orders.
    group : str
        Name of its group.
    epoch : int
        Rises each time that the group forms.
    rank, size : int
        Its number, and the number of ranks.
    is_open : bool
        Whether the group serves requests.
    born_ms : int
        Unix time of its start, in milliseconds.
    step : int
        Last step that began.
    map_version : int
        Map in use.
    prepared_version : int or None
        Map that it has loaded and can switch to.
    armed : ArmedMap or None
        Switch that it has accepted to make.
    held_step : int or None
        Step that does not begin until it is released at this rank.
    requests : int
        Running and waiting requests.
    pace : float
        Time that its work takes, relative to the usual time; above 1 the rank is slow.
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

    @property
    def newest_version(self) -> int:
        """Highest version that it shows; a map that is still being loaded does not appear."""
        armed_version = 0 if self.armed is None else self.armed.version
        return max(self.map_version, self.prepared_version or 0, armed_version)


class RankCounts(msgspec.Struct, frozen=True):
    """How often a rank's requests chose each expert since its start, by set and expert."""

    epoch: int
    counts: list[int]


class RankExperts(msgspec.Struct, frozen=True):
    """Experts that a rank holds under the map in use, by set of layers."""

    map_version: int
    experts: list[list[int]]


class OrderResult(enum.Enum):
    """Result of an order, as far as the sender knows it.

    ``UNSENT`` means that the order was never sent; ``UNKNOWN``, that it was not answered and may
    take effect immediately, seconds later or never.
    """

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNSENT = "not-given"
    UNKNOWN = "unknown"


class RankFailure(NamedTuple):
    """Why a query to a rank failed; returned in place of its answer."""

    reason: str


class RankOrders(abc.ABC):
    """Sends orders to ranks; an order for another epoch of the group is refused."""

    @abc.abstractmethod
    async def prepare(self, rank: RankState, version: int, layout: Layout) -> OrderResult:
        """Load the experts that a map places on the rank.

        Refused while the rank is armed, and for a version that is not higher than all earlier ones.
        A map that was prepared earlier can't be armed any more.
        """

    def set_ranks(self, ranks: Sequence[RankState], own_address: str) -> None:
        """Set the ranks of the group and the one next to the leader, before a change."""
        del ranks, own_address

    async def prepare_many(
        self, ranks: Sequence[RankState], version: int, layout: Layout
    ) -> dict[str, OrderResult]:
        """Send the order to many ranks, faster than one by one.

        Returns
        -------
        dict
            Results by address, of the ranks whose result is known. Others may have accepted it too.
        """
        del ranks, version, layout
        return {}

    @abc.abstractmethod
    async def arm(self, rank: RankState, version: int, step: int) -> OrderResult:
        """Switch to the prepared map when a step begins; refused once it has begun."""

    @abc.abstractmethod
    async def disarm(self, rank: RankState, version: int) -> OrderResult:
        """Cancel the switch to a map."""

    @abc.abstractmethod
    async def hold(self, rank: RankState, step: int) -> OrderResult:
        """Keep the group from beginning a step until it is released at this rank."""

    @abc.abstractmethod
    async def release(self, rank: RankState, step: int) -> OrderResult:
        """Let the group begin a held step."""

    async def is_reachable(self, rank: RankState) -> bool:
        """Whether a rank can receive orders now."""
        return not isinstance(await self.state(rank.address), RankFailure)

    @abc.abstractmethod
    async def state(self, address: str) -> RankState | RankFailure:
        """Query the state of a rank; from another instance it may be some hundred ms old."""


class RankCalls(RankOrders):
    """Sends orders to ranks, and queries what they report besides their state."""

    @abc.abstractmethod
    async def counts(self, address: str) -> RankCounts | RankFailure:
        """Query which experts were chosen; from another instance this pauses the group."""

    @abc.abstractmethod
    async def experts(self, address: str) -> RankExperts | RankFailure:
        """Query which experts a rank holds."""
