"""Turns the observed loads of a group into proposals for its next expert map."""

from __future__ import annotations

import functools
from typing import NamedTuple

import anyio.to_thread

from bronzerudder.policy.placement.api import (
    Hold,
    HoldKind,
    LoadAllowance,
    PlacementPolicy,
    Proposal,
)
from bronzerudder.policy.placement.expert_map import ExpertMap
from bronzerudder.policy.popularity import LoadObservation, PopularityEstimator
from bronzerudder.policy.weight_budget import Grant, WeightBudget


class GrantedProposal(NamedTuple):
    """A proposal and the rate at which its weights may be loaded."""

    proposal: Proposal
    grant: Grant


class Rebalancer:
    """What a group's proposer calls in each interval.

    It calls `observe` with every interval's loads, `propose` while no change of map is under way,
    and `finish` once a proposed map is active or given up.

    Parameters
    ----------
    policy : PlacementPolicy
        Decides.
    estimator : PopularityEstimator
        Follows what is popular.
    budget : WeightBudget
        Shares the weight store with other groups.
    interval_s : float
        Time between proposals; a proposal loads no more than the assured rate allows in it.
    """

    def __init__(
        self,
        policy: PlacementPolicy,
        estimator: PopularityEstimator,
        budget: WeightBudget,
        interval_s: float,
    ) -> None:
        self._policy = policy
        self._estimator = estimator
        self._budget = budget
        self._interval_s = interval_s

    def observe(self, observation: LoadObservation) -> None:
        """Take in the loads of an interval."""
        self._estimator.observe(observation)

    async def propose(self, active: ExpertMap) -> GrantedProposal | Hold:
        """Decide in a worker thread, and get a rate for what has to be loaded.

        Parameters
        ----------
        active : ExpertMap
            The map that the group runs on.
        """
        popularity = self._estimator.estimate()
        if popularity is None:
            return Hold(HoldKind.UNOBSERVED, "no load has been observed yet")
        expected = (active.layer_count, active.expert_count)
        if popularity.shape != expected:
            reason = f"loads of {popularity.shape} for a map of {expected} layers and experts"
            return Hold(HoldKind.SHAPE, reason)
        rate = self._budget.assured_bytes_per_s
        allowance = LoadAllowance(int(rate * self._interval_s), rate)
        decide = functools.partial(self._policy.decide, active, popularity, allowance)
        decision = await anyio.to_thread.run_sync(decide)
        if isinstance(decision, Hold):
            return decision
        return GrantedProposal(decision, await self._budget.acquire(decision.load_bytes))

    async def finish(self) -> None:
        """Give the rate back, after the last weights were loaded."""
        await self._budget.release()
