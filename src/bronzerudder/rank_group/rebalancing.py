"""Proposes new expert maps as the popularity of a group's experts changes."""

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
from bronzerudder.rank_group.attempt import ProposalResult


class ExpertLoadSource(abc.ABC):
    """Source of the number of tokens routed to each expert of the group."""

    @abc.abstractmethod
    async def read(self) -> LoadObservation | None:
        """Read the token counts of all ranks since the last call; None when unavailable."""


class GroupMember(Protocol):
    """The methods of a `RankGroupMember` used here."""

    @property
    def last_map(self) -> bytes:
        """Encoded map of the latest commit."""

    async def is_lowest_live(self) -> bool:
        """Whether this rank should propose."""

    async def change_map(self, expert_map: bytes) -> ProposalResult:
        """Propose a map to the group."""


class GroupRebalancing:
    """Proposes a new map when its rebalancer finds one whose gain is worth its cost.

    Every rank observes the loads, so that any of them can take over; only the lowest live rank
    proposes. If two ranks both find themselves the lowest, the terms of their proposals order them.

    Parameters
    ----------
    member : GroupMember
        Proposes the map to all ranks.
    source : ExpertLoadSource
        Provides the loads of the experts.
    rebalancer : Rebalancer
        Decides whether to propose a map, and which.
    interval_s : float
        Time between observations, in seconds.
    """

    def __init__(
        self,
        member: GroupMember,
        source: ExpertLoadSource,
        rebalancer: Rebalancer,
        interval_s: float,
    ) -> None:
        self._member = member
        self._source = source
        self._rebalancer = rebalancer
        self._interval_s = interval_s
        self._change_in_progress = False
        self._last_no_change: NoChange | PlacementError | None = None

    @property
    def last_no_change(self) -> NoChange | PlacementError | None:
        """Why no map was proposed at the last decision; None if one was."""
        return self._last_no_change

    async def run(self) -> None:
        """Observe and propose at each interval until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                await anyio.sleep(self._interval_s)
                await self.run_interval(tasks)

    async def run_interval(self, tasks: TaskGroup) -> None:
        """Observe one interval's loads, and propose a map if this rank is the lowest live one.

        Parameters
        ----------
        tasks : TaskGroup
            Runs the map change in the background, as loading weights takes longer than an interval.
        """
        observation = await self._source.read()
        if observation is not None:
            self._rebalancer.observe(observation)
        if self._change_in_progress or not await self._member.is_lowest_live():
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
        self._change_in_progress = True
        tasks.start_soon(self._change, decision)

    async def _change(self, decision: GrantedProposal) -> None:
        proposal = decision.proposal
        logging.info(
            "proposing an expert map: %d weight loads, predicted gain %.3f",
            proposal.load_count,
            proposal.predicted_gain,
        )
        try:
            await self._member.change_map(encode_map(proposal.expert_map))
        finally:
            self._change_in_progress = False
            with anyio.CancelScope(shield=True):
                await self._rebalancer.finish()
