"""Runs one proposer's term: sends each request to all ranks and collects their replies.

A rank that doesn't answer is retried until the phase times out; the attempt then ends without a
commit, and its unfinished change is settled under a later term.
"""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import anyio

from bronzerudder.backend_server.rank_api import NO_MAP
from bronzerudder.rank_group.messages import GroupReply, GroupRequest, Phase, Refusal
from bronzerudder.rank_group.peers import RankPeers
from bronzerudder.rank_group.proposer import Proposer, Replies

CALL_TIMEOUT_S = 0.3
RETRY_DELAY_S = 0.05
PHASE_TIMEOUT_S = 1.5
"""Time for which ranks that don't answer one request are retried."""

STAGE_POLL_INTERVAL_S = 0.1
STAGE_TIMEOUT_S = 600.0


class ProposalResult(NamedTuple):
    """Result of an attempt.

    Parameters
    ----------
    committed : int
        Version that all ranks accepted a commit of; `NO_MAP` if none.
    highest_term : int
        Highest promised term found in the replies.
    last_phase : Phase
        Phase in which it ended.
    reason : str
        Why it ended without a commit; empty otherwise.
    """

    committed: int
    highest_term: int
    last_phase: Phase
    reason: str


class ProposalAttempt:
    """Sends the proposer's requests to all ranks, its own rank first.

    Parameters
    ----------
    proposer : Proposer
        Decides each request.
    rank, rank_count : int
        This rank and the number of ranks.
    peers : RankPeers
        The other ranks' agents.
    answer : callable
        Carries out a request at this rank, without the network.
    """

    def __init__(
        self,
        proposer: Proposer,
        rank: int,
        rank_count: int,
        peers: RankPeers,
        answer: Callable[[GroupRequest], Awaitable[GroupReply]],
    ) -> None:
        self._proposer = proposer
        self._rank = rank
        self._rank_count = rank_count
        self._peers = peers
        self._answer = answer
        self._highest_term = 0
        self._reason = ""

    async def run(self) -> ProposalResult:
        """Send requests until the proposer has no further one or staging times out."""
        request = self._proposer.first_request()
        stage_deadline = time.monotonic() + STAGE_TIMEOUT_S
        while True:
            replies = await self._send_to_all(request)
            next_request = self._proposer.next_request(request, replies)
            if next_request is None:
                break
            if next_request is request:
                if time.monotonic() > stage_deadline:
                    self._reason = f"weights not staged within {STAGE_TIMEOUT_S:g} s"
                    break
                await anyio.sleep(STAGE_POLL_INTERVAL_S)
            request = next_request
        committed = self._proposer.committed
        reason = "" if committed != NO_MAP else self._reason
        return ProposalResult(committed, self._highest_term, request.phase, reason)

    async def _send_to_all(self, request: GroupRequest) -> Replies:
        replies: Replies = {}
        # This rank goes first: a recovering peer reads the terms of live proposers at their ranks.
        replies[self._rank] = await self._answer(self._proposer.address(request, self._rank))
        with anyio.move_on_after(PHASE_TIMEOUT_S):
            async with anyio.create_task_group() as tasks:
                for rank in range(self._rank_count):
                    if rank != self._rank:
                        tasks.start_soon(self._send, request, rank, replies)
        for rank, reply in replies.items():
            self._highest_term = max(self._highest_term, reply.promised)
            if not reply.accepted and not self._reason:
                self._reason = f"rank {rank}: {reply.refusal.name.lower()}: {reply.reason}"
        if len(replies) < self._rank_count:
            missing = sorted(set(range(self._rank_count)) - set(replies))
            self._reason = f"no answer from ranks {missing[:8]}"
        return replies

    async def _send(self, request: GroupRequest, rank: int, replies: Replies) -> None:
        addressed = self._proposer.address(request, rank)
        while True:
            reply = await self._peers.call(rank, addressed, CALL_TIMEOUT_S)
            if isinstance(reply, GroupReply) and reply.refusal is not Refusal.RECOVERING:
                replies[rank] = reply
                return
            await anyio.sleep(RETRY_DELAY_S)
