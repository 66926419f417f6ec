"""Turns the observed expert loads of a group into proposals for its next expert map."""

from __future__ import annotations

import functools
from typing import NamedTuple

import anyio.to_thread

from bronzerudder.policy.placement.api import (
    LoadAllowance,
    NoChange,
    NoChangeKind,
    PlacementPolicy,
    Proposal,
)
from bronzerudder.policy.placement.expert_map import ExpertMap
from bronzerudder.policy.popularity import LoadObservation, PopularityEstimator
from bronzerudder.policy.weight_budget import Grant, WeightBudget


class GrantedProposal(NamedTuple):
    """A proposal and the granted rate for loading its weights."""

    proposal: Proposal
    grant: Grant


class Rebalancer:
    """Proposes map changes for a group, once per interval.

    The caller calls `observe` with every interval's loads, `propose` while no map change is in
    progress, and `finish` once a proposed map is active or abandoned.

    Parameters
    ----------
    policy : PlacementPolicy
        Decides on the next map.
    estimator : PopularityEstimator
        Estimates the popularity of experts.
    budget : WeightBudget
        This group's share of the weight store's rate.
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
        """Record the loads of an interval."""
        self._estimator.observe(observation)

    async def propose(self, active: ExpertMap) -> GrantedProposal | NoChange:
        """Decide in a worker thread, and acquire a rate for the loads of a proposal.

        Parameters
        ----------
        active : ExpertMap
            The map in use by the group.
        """
        popularity = self._estimator.estimate()
        if popularity is None:
            return NoChange(NoChangeKind.UNOBSERVED, "no load has been observed yet")
        expected = (active.layer_count, active.expert_count)
        if popularity.shape != expected:
            reason = f"loads of shape {popularity.shape} for a map of {expected} layers and experts"
            return NoChange(NoChangeKind.SHAPE, reason)
        rate = self._budget.assured_bytes_per_s
        allowance = LoadAllowance(int(rate * self._interval_s), rate)
        decide = functools.partial(self._policy.decide, active, popularity, allowance)
        decision = await anyio.to_thread.run_sync(decide)
        if isinstance(decision, NoChange):
            return decision
        return GrantedProposal(decision, await self._budget.acquire(decision.load_bytes))

    async def finish(self) -> None:
        """Release the rate after the last weights were loaded."""
        await self._budget.release()
