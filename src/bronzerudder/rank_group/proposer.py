"""Proposer role: changes the group's map under one term, or settles an unfinished change.

The normal sequence is promise, stage, arm, commit; abort, then release, if a rank can't be armed.
Every decision needs the replies of all ranks, not of a majority, as no rank may run a step on
another map. The rules and what each prevents:

- A version that is pending or active at any rank was committed, so it is committed at the others;
  ignoring it would leave ranks on different maps.
- A version is aborted at all ranks before any releases it; otherwise a proposer that takes over
  might find it held by all and commit it while a release order is still in flight.
- A new map is proposed only when no version is held or pending at any rank.
- If a rank has no map or lacks a committed version, or if the ranks' active versions differ, all
  are reset to one map.
"""

from __future__ import annotations

from bronzerudder.backend_server.rank_api import NO_MAP, RankStatus
from bronzerudder.rank_group.messages import GroupReply, GroupRequest, Phase, Refusal

Replies = dict[int, GroupReply]


def next_term(floor: int, rank: int, rank_count: int) -> int:
    """Return a term above ``floor`` that no other rank uses: ``rank`` modulo ``rank_count``."""
    return (floor // rank_count + 1) * rank_count + rank


class Proposer:
    """Decides each request of one term from the replies to the previous one.

    Parameters
    ----------
    rank_count : int
        Number of ranks; every decision needs replies of all of them.
    term : int
        Term of this attempt, and version of a map that it proposes.
    new_map : bytes or None
        The map to change to; with None the attempt only settles an unfinished change.
    reset_map : bytes
        The map on which all ranks are reset if one has none.
    margin_steps : int
        Steps between arming a version and the first step on it.
    """

    def __init__(
        self,
        rank_count: int,
        term: int,
        new_map: bytes | None,
        reset_map: bytes,
        margin_steps: int,
    ) -> None:
        self._rank_count = rank_count
        self._term = term
        self._new_map = new_map
        self._reset_map = reset_map
        self._margin_steps = margin_steps
        self._incarnations: dict[int, int] = {}
        self._committed = NO_MAP

    @property
    def committed(self) -> int:
        """Version whose commit all ranks have accepted; `NO_MAP` before that."""
        return self._committed

    def first_request(self) -> GroupRequest:
        """Return the request for promises, which begins the term."""
        return GroupRequest(Phase.PROMISE, self._term)

    def address(self, request: GroupRequest, rank: int) -> GroupRequest:
        """Return the request addressed to the incarnation of a rank's agent that promised."""
        return request._replace(incarnation=self._incarnations.get(rank, 0))

    def next_request(self, request: GroupRequest, replies: Replies) -> GroupRequest | None:
        """Return the request that follows, given the replies by rank; None ends the attempt."""
        accepted = self._all_accepted(replies)
        if request.phase is Phase.PROMISE:
            return self._after_promises(replies) if accepted else None
        if request.phase is Phase.STAGE:
            return self._after_stage(request, replies, accepted)
        if request.phase is Phase.ARM:
            phase = Phase.COMMIT if accepted else Phase.ABORT
            return self._request(phase, request.version)
        if request.phase is Phase.RESET:
            return self._request(Phase.COMMIT, request.version) if accepted else None
        if request.phase is Phase.ABORT:
            return self._request(Phase.RELEASE, request.version) if accepted else None
        if request.phase is Phase.COMMIT and accepted:
            self._committed = request.version
        return None

    def _all_accepted(self, replies: Replies) -> bool:
        if len(replies) < self._rank_count:
            return False
        return all(reply.accepted for reply in replies.values())

    def _after_promises(self, replies: Replies) -> GroupRequest | None:
        self._incarnations = {rank: reply.incarnation for rank, reply in replies.items()}
        statuses = [reply.status for reply in replies.values()]
        if any(status.active == NO_MAP and status.held == NO_MAP for status in statuses):
            return self._reset(statuses)
        unsettled = {version for status in statuses for version in (status.held, status.pending)}
        unsettled.discard(NO_MAP)
        if unsettled:
            return self._settle_version(min(unsettled), replies)
        if len({status.active for status in statuses}) > 1:
            return self._reset(statuses)
        if self._new_map is None:
            return None
        return self._request(Phase.STAGE, self._term)._replace(expert_map=self._new_map)

    def _settle_version(self, version: int, replies: Replies) -> GroupRequest:
        statuses = [reply.status for reply in replies.values()]
        if self._is_decided(version, statuses):
            if all(version in (status.held, status.pending, status.active) for status in statuses):
                return self._request(Phase.COMMIT, version)
            return self._reset(statuses)
        aborted = any(reply.aborted == version for reply in replies.values())
        if not aborted and all(status.held == version for status in statuses):
            return self._request(Phase.COMMIT, version)
        if any(status.active == NO_MAP for status in statuses):
            return self._reset(statuses)
        return self._request(Phase.ABORT, version)

    def _is_decided(self, version: int, statuses: list[RankStatus]) -> bool:
        return any(version in (status.pending, status.active) for status in statuses)

    def _after_stage(
        self, request: GroupRequest, replies: Replies, accepted: bool
    ) -> GroupRequest | None:
        if accepted:
            step = max(reply.status.next_step for reply in replies.values()) + self._margin_steps
            return self._request(Phase.ARM, request.version)._replace(step=step)
        refusals = {reply.refusal for reply in replies.values()} - {Refusal.NONE}
        if refusals == {Refusal.NOT_STAGED}:
            return request
        return None

    def _reset(self, statuses: list[RankStatus]) -> GroupRequest:
        step = max(max(status.next_step, status.held_step) for status in statuses) + 1
        request = self._request(Phase.RESET, self._term)
        return request._replace(step=step, expert_map=self._reset_map)

    def _request(self, phase: Phase, version: int) -> GroupRequest:
        return GroupRequest(phase, self._term, version)
