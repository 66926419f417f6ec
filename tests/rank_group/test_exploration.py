"""Explores the protocol exhaustively; its invariants must hold.

The mutation tests drop one rule each and must find a violation, so that a search that no longer
reaches the failure which a rule prevents is noticed.
"""

from __future__ import annotations

import unittest

from bronzerudder.backend_server.rank_api import NO_MAP, RankStatus
from bronzerudder.rank_group.messages import Phase
from bronzerudder.rank_group.participant import Participant
from bronzerudder.rank_group.proposer import Proposer
from tests.rank_group.explorer import Explorer, Limits


class AcceptsLowerTerms(Participant):
    def _is_stale(self, request):
        return False


class ForgetsOnRestart(Participant):
    """Reports neither a held nor a pending version after a restart."""

    async def _read(self):
        status = await super()._read()
        if self._incarnation > 1 and isinstance(status, RankStatus):
            return status._replace(held=NO_MAP, pending=NO_MAP)
        return status


class IgnoresDecisions(Proposer):
    """Treats a version as undecided even if it is pending or active at a rank."""

    def _is_decided(self, version, statuses):
        return False


class ReleasesWithoutAbort(Proposer):
    """Releases a version without marking it as aborted first."""

    def next_request(self, request, replies):
        following = super().next_request(request, replies)
        if following is not None and following.phase is Phase.ABORT:
            return following._replace(phase=Phase.RELEASE)
        return following


class ExplorationTest(unittest.TestCase):
    def _assert_holds(self, limits: Limits) -> Explorer:
        explorer = Explorer(limits)
        explorer.run()
        self.assertIsNone(explorer.trace)
        self.assertFalse(explorer.unexpected_reset)
        self.assertTrue(explorer.committed)
        return explorer

    def test_two_proposers(self):
        explorer = self._assert_holds(Limits(agent_restarts=0))
        self.assertGreater(len(explorer.committed), 2)

    def test_one_proposer_and_a_restart_of_any_agent(self):
        for honours_terms in (False, True):
            self._assert_holds(Limits(proposers=(0,), honours_terms=honours_terms))

    def test_steps_before_the_armed_one(self):
        self._assert_holds(Limits(proposers=(0,), agent_restarts=0, margin_steps=1, last_step=2))

    def test_formation(self):
        self._assert_holds(Limits(proposers=(0,), formed=False, last_step=2))
        self._assert_holds(Limits(agent_restarts=0, formed=False, last_step=2))

    def test_restart_of_any_engine(self):
        limits = Limits(proposers=(0,), agent_restarts=0, engine_restarts=1, last_step=3)
        self._assert_holds(limits)


class MutationTest(unittest.TestCase):
    def _assert_violated(self, limits, participant_type=Participant, proposer_type=Proposer):
        explorer = Explorer(limits, participant_type, proposer_type)
        explorer.run()
        self.assertIsNotNone(explorer.trace)

    def test_accepting_lower_terms_is_caught(self):
        limits = Limits(agent_restarts=0, shuffle_seed=0)
        self._assert_violated(limits, participant_type=AcceptsLowerTerms)

    def test_ignoring_a_reported_decision_is_caught(self):
        limits = Limits(agent_restarts=0, shuffle_seed=0)
        self._assert_violated(limits, proposer_type=IgnoresDecisions)

    def test_a_restart_that_does_not_read_the_engine_is_caught(self):
        limits = Limits(restarting_ranks=(0,), late_orders=False, shuffle_seed=0)
        self._assert_violated(limits, participant_type=ForgetsOnRestart)

    def test_releasing_before_all_know_of_the_abort_is_caught(self):
        self._assert_violated(Limits(shuffle_seed=0), proposer_type=ReleasesWithoutAbort)
