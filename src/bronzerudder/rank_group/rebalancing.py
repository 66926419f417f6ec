"""Keeps a group's experts placed by their popularity."""

from __future__ import annotations

import abc
import logging
from typing import Protocol

import anyio
from anyio.abc import TaskGroup

from bronzerudder.policy.placement import (
    GrantedProposal,
    NoChange,
    PlacementError,
    Rebalancer,
    decode_map,
    encode_map,
)
from bronzerudder.policy.popularity import LoadObservation
from bronzerudder.rank_group.attempt import AttemptResult


class ExpertLoadSource(abc.ABC):
    """Tells how many tokens each expert of the group took."""

    @abc.abstractmethod
    async def read(self) -> LoadObservation | None:
        """Read the tokens since the last call, over all ranks; None when they are not known."""


class MapChanger(Protocol):
    """What is used of a `RankGroupMember`."""

    @property
    def last_map(self) -> bytes:
        """Encoded map that was committed last."""

    async def is_lowest_live(self) -> bool:
        """Whether this rank is the one to propose."""

    async def change_map(self, expert_map: bytes) -> AttemptResult:
        """Propose a map to the group."""


class GroupRebalancing:
    """Proposes a new map to the group whenever its rebalancer finds one worth its cost.

    Every rank observes, so that whichever comes to propose knows what is popular; only the lowest
    live one proposes. Two that both believe so are kept apart by the group's protocol.

    Parameters
    ----------
    member : MapChanger
        Takes the map to all ranks.
    source : ExpertLoadSource
        Tells the loads.
    rebalancer : Rebalancer
        Decides.
    interval_s : float
        Time between observations, in seconds.
    """

    def __init__(
        self,
        member: MapChanger,
        source: ExpertLoadSource,
        rebalancer: Rebalancer,
        interval_s: float,
    ) -> None:
        self._member = member
        self._source = source
        self._rebalancer = rebalancer
        self._interval_s = interval_s
        self._changing = False
        self._last_no_change: NoChange | PlacementError | None = None

    @property
    def last_no_change(self) -> NoChange | PlacementError | None:
        """Why the last interval proposed nothing; None when it did."""
        return self._last_no_change

    async def run(self) -> None:
        """Observe and propose for ever."""
        async with anyio.create_task_group() as tasks:
            while True:
                await anyio.sleep(self._interval_s)
                await self.run_interval(tasks)

    async def run_interval(self, tasks: TaskGroup) -> None:
        """Observe one interval's loads, and propose a map if this rank is the one to do so.

        Parameters
        ----------
        tasks : TaskGroup
            Runs the change of map, as its loads outlast the interval.
        """
        observation = await self._source.read()
        if observation is not None:
            self._rebalancer.observe(observation)
        if self._changing or not await self._member.is_lowest_live():
            return
        active = decode_map(self._member.last_map)
        if isinstance(active, PlacementError):
            self._last_no_change = active
            return
        decision = await self._rebalancer.propose(active)
        if isinstance(decision, NoChange):
            self._last_no_change = decision
            return
        self._last_no_change = None
        self._changing = True
        tasks.start_soon(self._change, decision)

    async def _change(self, decision: GrantedProposal) -> None:
        proposal = decision.proposal
        logging.info(
            "proposing an expert map with %d loads and a predicted gain of %.3f",
            proposal.load_count,
            proposal.predicted_gain,
        )
        try:
            await self._member.change_map(encode_map(proposal.expert_map))
        finally:
            self._changing = False
            with anyio.CancelScope(shield=True):
                await self._rebalancer.finish()
