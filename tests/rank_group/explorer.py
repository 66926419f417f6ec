"""Model checker of the protocol: explores all interleavings of a small group's events.

It runs the agents' own decision methods. A sent request may be delivered at any later time, several
times or never, and a proposer may stop at any time. An agent may fail before, while or after
carrying out a request; an order that it had sent to its engine may then arrive at any later time. A
reply is available as soon as the request is carried out: a proposer that hasn't received it yet is
the same as one that hasn't continued yet.
"""

from __future__ import annotations

import collections
import random
from collections.abc import Iterator
from typing import Any, NamedTuple

from bronzerudder.backend_server.rank_api import NO_MAP, RankStatus
from bronzerudder.rank_group.messages import GroupReply, GroupRequest, Phase
from bronzerudder.rank_group.participant import Participant
from bronzerudder.rank_group.proposer import Proposer, next_term
from tests.rank_group.local_rank import LocalRank, RankState

RANKS = 3
AWAITED_PHASES = (Phase.PROMISE, Phase.ARM, Phase.RESET, Phase.ABORT)
"""Phases whose replies the next request depends on; staging takes no event of its own."""
ORDER_PHASES = (Phase.ARM, Phase.RESET, Phase.COMMIT, Phase.RELEASE)


class Limits(NamedTuple):
    """Bounds of a run; ``proposers`` gives the rank of each proposer's agent.

    With ``formed`` the group starts on a map. With ``late_orders`` an agent that fails may leave an
    order in flight.

    With a ``shuffle_seed`` the search is depth-first in a seeded order, which finds violations
    sooner; without it, breadth-first.
    """

    proposers: tuple[int, ...] = (0, 1)
    agent_restarts: int = 1
    restarting_ranks: tuple[int, ...] = (0, 1, 2)
    order_timeouts: int = 0
    engine_restarts: int = 0
    margin_steps: int = 0
    last_step: int = 1
    honours_terms: bool = False
    formed: bool = True
    late_orders: bool = True
    shuffle_seed: int | None = None


class Attempt(NamedTuple):
    """One proposer's term."""

    term: int
    sent: tuple[GroupRequest, ...]
    incarnations: tuple[int, ...] = ()
    replies: tuple[GroupReply | None, ...] = (None,) * RANKS
    alive: bool = True


class Node(NamedTuple):
    """One state of the group; its parts are interned and given by their numbers."""

    ranks: tuple[int, ...]
    attempts: tuple[int, ...]
    late: tuple[tuple[int, int], ...] = ()
    agent_restarts: int = 0
    order_timeouts: int = 0
    engine_restarts: int = 0


class InternTable:
    """Assigns a number to each distinct value."""

    def __init__(self) -> None:
        self._numbers: dict[Any, int] = {}
        self._values: list[Any] = []

    def number(self, value: Any) -> int:
        found = self._numbers.get(value)
        if found is None:
            found = self._numbers[value] = len(self._values)
            self._values.append(value)
        return found

    def __getitem__(self, number: int) -> Any:
        return self._values[number]


class Explorer:
    """Visits every reachable state."""

    def __init__(
        self,
        limits: Limits,
        participant_type: type = Participant,
        proposer_type: type = Proposer,
    ) -> None:
        self._limits = limits
        self._participant_type = participant_type
        self._proposer_type = proposer_type
        self._ranks = InternTable()
        self._attempts = InternTable()
        self._orders = InternTable()
        self._cached_changes: dict[tuple, Any] = {}
        self._cached_deliveries: dict[tuple[int, int, int, int], tuple[int, int]] = {}
        self.visited = 0
        self.committed: set[int] = set()
        self.unexpected_reset = False
        self.trace: list[str] | None = None
        self._attempts.number(None)
        self._may_reset = not limits.formed or limits.engine_restarts > 0

    def run(self) -> None:
        """Visit states until all are visited or one violates an invariant."""
        status = RankStatus(next_step=1, active=1) if self._limits.formed else RankStatus()
        rank = self._ranks.number(RankState(status=status))
        start = Node((rank,) * RANKS, (0,) * len(self._limits.proposers))
        seen: dict[Node, tuple[Node, str] | None] = {start: None}
        queue = collections.deque([start])
        while queue:
            node = queue.popleft() if self._limits.shuffle_seed is None else queue.pop()
            self.visited += 1
            for event, successor in self._ordered_events(node):
                if successor in seen:
                    continue
                seen[successor] = (node, event)
                if self._violates(successor):
                    self.trace = self._make_trace(seen, successor)
                    return
                if self._is_finished(successor):
                    continue
                queue.append(successor)

    def _ordered_events(self, node: Node) -> list[tuple[tuple, Node]]:
        events = list(self._events(node))
        if self._limits.shuffle_seed is not None:
            random.Random(hash((self._limits.shuffle_seed, node))).shuffle(events)
        return events

    def _make_trace(self, seen: dict, node: Node) -> list[str]:
        events = []
        while seen[node] is not None:
            node, event = seen[node]
            events.append(self._describe(event))
        return events[::-1]

    def _describe(self, event: tuple) -> str:
        name, rank, detail = event
        if name.startswith("request"):
            return f"{name} {detail} at rank {rank}"
        if name == "late":
            return f"late {self._orders[detail]} at rank {rank}"
        return f"{name} {rank}"

    def _violates(self, node: Node) -> bool:
        return self._has_mixed_step(node) or not self._may_reset and self._has_partial_commit(node)

    def _has_partial_commit(self, node: Node) -> bool:
        """Whether a version is pending at one rank, and neither held nor used at another."""
        statuses = [self._ranks[rank].status for rank in node.ranks]
        for version in {status.pending for status in statuses} - {NO_MAP}:
            others = [each for each in statuses if each.active != NO_MAP]
            if any(version not in (each.held, each.pending, each.active) for each in others):
                return True
        return False

    def _has_mixed_step(self, node: Node) -> bool:
        ready = [self._ranks[rank].ready for rank in node.ranks]
        lowest = min(step for step, _ in ready)
        if lowest == 0:
            return False
        return len({version for step, version in ready if step == lowest}) > 1

    def _is_finished(self, node: Node) -> bool:
        return all(self._ranks[rank].ready[0] >= self._limits.last_step for rank in node.ranks)

    def _events(self, node: Node) -> Iterator[tuple[tuple, Node]]:
        for rank in range(RANKS):
            yield from self._rank_events(node, rank)
        for index, attempt in enumerate(node.attempts):
            if attempt == 0:
                yield from self._begin(node, index)
            else:
                yield from self._attempt_events(node, index)
        for late in node.late:
            rank, order = late
            kept = list(node.late)
            kept.remove(late)
            number, _ = self._change(node.ranks[rank], "apply", order)
            yield ("late", rank, order), _set_rank(node, rank, number)._replace(late=tuple(kept))

    def _rank_events(self, node: Node, rank: int) -> Iterator[tuple[tuple, Node]]:
        if self._may_declare(node, rank):
            number, declared = self._change(node.ranks[rank], "declare", None)
            if declared:
                yield ("declare", rank, None), _set_rank(node, rank, number)
        state = self._ranks[node.ranks[rank]]
        if not state.recovered:
            others = [each for other, each in enumerate(node.ranks) if other != rank]
            floors = tuple(self._ranks[each].promised for each in others)
            number, _ = self._change(node.ranks[rank], "recover", floors)
            yield ("recover", rank, None), _set_rank(node, rank, number)
        if self._may_restart(node, rank):
            yield ("restart of agent", rank, None), self._restart_agent(node, rank)
        if node.engine_restarts < self._limits.engine_restarts:
            number = self._ranks.number(state._replace(status=RankStatus(), term=0, ready=(0, 0)))
            successor = _set_rank(node, rank, number)
            restarts = node.engine_restarts + 1
            yield ("restart of engine", rank, None), successor._replace(engine_restarts=restarts)

    def _may_declare(self, node: Node, rank: int) -> bool:
        states = [self._ranks[each] for each in node.ranks]
        last = states[rank].ready[0]
        next_step = states[rank].status.next_step
        if next_step > self._limits.last_step:
            return False
        return next_step != last + 1 or all(state.ready[0] >= last for state in states)

    def _restart_agent(self, node: Node, rank: int) -> Node:
        state = self._ranks[node.ranks[rank]]
        fresh = RankState(incarnation=state.incarnation + 1, promised=0, recovered=False)
        fresh = fresh._replace(status=state.status, term=state.term, ready=state.ready)
        attempts = list(node.attempts)
        for index, proposer_rank in enumerate(self._limits.proposers):
            if proposer_rank == rank and attempts[index]:
                attempts[index] = self._end(self._attempts[attempts[index]])
        successor = _set_rank(node, rank, self._ranks.number(fresh))
        restarts = node.agent_restarts + 1
        return successor._replace(attempts=tuple(attempts), agent_restarts=restarts)

    def _end(self, attempt: Attempt) -> int:
        return self._attempts.number(attempt._replace(alive=False, replies=(None,) * RANKS))

    def _begin(self, node: Node, index: int) -> Iterator[tuple[tuple, Node]]:
        proposer_rank = self._limits.proposers[index]
        for earlier, rank in enumerate(self._limits.proposers[:index]):
            attempt = self._attempts[node.attempts[earlier]]
            if rank == proposer_rank and (attempt is None or attempt.alive):
                return
        state = self._ranks[node.ranks[proposer_rank]]
        if not state.recovered:
            return
        term = next_term(state.promised, proposer_rank, RANKS)
        attempt = Attempt(term, (self._proposer(term, ()).first_request(),))
        attempts = list(node.attempts)
        attempts[index] = self._attempts.number(attempt)
        node = node._replace(attempts=tuple(attempts))
        yield ("begin", index, None), self._deliver(node, index, 0, proposer_rank)

    def _proposer(self, term: int, incarnations: tuple[int, ...]) -> Proposer:
        proposer = self._proposer_type(RANKS, term, b"new", b"reset", self._limits.margin_steps)
        proposer._incarnations = dict(enumerate(incarnations))
        return proposer

    def _attempt_events(self, node: Node, index: int) -> Iterator[tuple[tuple, Node]]:
        attempt = self._attempts[node.attempts[index]]
        for position, request in enumerate(attempt.sent):
            for rank in range(RANKS):
                event = ("request", rank, request)
                yield event, self._deliver(node, index, position, rank)
                if request.phase in ORDER_PHASES and self._may_delay_order(node, rank):
                    event = ("request, agent fails", rank, request)
                    yield event, self._fail_agent_during(node, index, request, rank)
                if request.phase in ORDER_PHASES and self._may_time_out(node):
                    event = ("request, order times out", rank, request)
                    yield event, self._time_out(node, index, request, rank)
        if attempt.alive:
            successor = self._advance(node, index)
            if successor is not None:
                yield ("attempt continues", index, None), successor

    def _may_restart(self, node: Node, rank: int) -> bool:
        if rank not in self._limits.restarting_ranks:
            return False
        return node.agent_restarts < self._limits.agent_restarts

    def _may_delay_order(self, node: Node, rank: int) -> bool:
        return self._limits.late_orders and self._may_restart(node, rank)

    def _deliver(self, node: Node, index: int, position: int, rank: int) -> Node:
        key = (node.attempts[index], position, rank, node.ranks[rank])
        found = self._cached_deliveries.get(key)
        if found is None:
            found = self._cached_deliveries[key] = self._compute_delivery(*key)
        successor = _set_rank(node, rank, found[0])
        if found[1] == node.attempts[index]:
            return successor
        attempts = list(node.attempts)
        attempts[index] = found[1]
        return successor._replace(attempts=tuple(attempts))

    def _compute_delivery(
        self, attempt_number: int, position: int, rank: int, rank_number: int
    ) -> tuple[int, int]:
        """Return the numbers of the rank's and the attempt's states after a delivery."""
        attempt = self._attempts[attempt_number]
        request = attempt.sent[position]
        number, reply = self._change(rank_number, "deliver", _address(attempt, request, rank))
        if not attempt.alive or position < len(attempt.sent) - 1 or attempt.replies[rank]:
            return number, attempt_number
        if not reply.accepted or request.phase not in AWAITED_PHASES:
            return number, attempt_number
        replies = list(attempt.replies)
        replies[rank] = _keep_relevant_fields(request, reply, self._may_reset)
        return number, self._attempts.number(attempt._replace(replies=tuple(replies)))

    def _fail_agent_during(self, node: Node, index: int, request: GroupRequest, rank: int) -> Node:
        attempt = self._attempts[node.attempts[index]]
        addressed = _address(attempt, request, rank)
        number, order = self._change(node.ranks[rank], "fail_during", addressed)
        successor = self._restart_agent(_set_rank(node, rank, number), rank)
        if order is None:
            return successor
        late = (*node.late, (rank, self._orders.number(order)))
        return successor._replace(late=tuple(sorted(late)))

    def _may_time_out(self, node: Node) -> bool:
        return node.order_timeouts < self._limits.order_timeouts

    def _time_out(self, node: Node, index: int, request: GroupRequest, rank: int) -> Node:
        attempt = self._attempts[node.attempts[index]]
        addressed = _address(attempt, request, rank)
        number, order = self._change(node.ranks[rank], "time_out_during", addressed)
        if order is None:
            return node
        late = tuple(sorted((*node.late, (rank, self._orders.number(order)))))
        successor = _set_rank(node, rank, number)
        return successor._replace(late=late, order_timeouts=node.order_timeouts + 1)

    def _advance(self, node: Node, index: int) -> Node | None:
        attempt = self._attempts[node.attempts[index]]
        replies = {rank: reply for rank, reply in enumerate(attempt.replies) if reply}
        proposer = self._proposer(attempt.term, attempt.incarnations)
        request = proposer.next_request(attempt.sent[-1], replies)
        attempts = list(node.attempts)
        if request is None:
            if self._limits.proposers.count(self._limits.proposers[index]) == 1:
                return None
            attempts[index] = self._end(attempt)
            return node._replace(attempts=tuple(attempts))
        if request.phase is Phase.COMMIT:
            self.committed.add(request.version)
        self.unexpected_reset |= request.phase is Phase.RESET and not self._may_reset
        if request.phase is Phase.STAGE:
            node, request = self._stage(node, proposer, request, replies)
        incarnations = tuple(each for _, each in sorted(proposer._incarnations.items()))
        sent = (*attempt.sent, request)
        attempts[index] = self._attempts.number(Attempt(attempt.term, sent, incarnations))
        return node._replace(attempts=tuple(attempts))

    def _stage(
        self, node: Node, proposer: Proposer, request: GroupRequest, replies: dict
    ) -> tuple[Node, GroupRequest]:
        staged = {}
        for rank, reply in replies.items():
            number, _ = self._change(node.ranks[rank], "stage", request.version)
            node = _set_rank(node, rank, number)
            staged[rank] = reply._replace(status=self._ranks[number].status)
        return node, proposer.next_request(request, staged)

    def _change(self, number: int, name: str, argument: Any) -> tuple[int, Any]:
        key = (number, name, argument)
        found = self._cached_changes.get(key)
        if found is not None:
            return found
        honours = self._limits.honours_terms
        rank = LocalRank(self._ranks[number], self._participant_type, honours)
        method = getattr(rank, name)
        if isinstance(argument, int) and name == "apply":
            argument = self._orders[argument]
        result = method() if argument is None else method(argument)
        found = self._cached_changes[key] = (self._ranks.number(rank.state()), result)
        return found


def _set_rank(node: Node, rank: int, number: int) -> Node:
    if node.ranks[rank] == number:
        return node
    ranks = list(node.ranks)
    ranks[rank] = number
    return node._replace(ranks=tuple(ranks))


def _address(attempt: Attempt, request: GroupRequest, rank: int) -> GroupRequest:
    if not attempt.incarnations:
        return request
    return request._replace(incarnation=attempt.incarnations[rank])


def _keep_relevant_fields(request: GroupRequest, reply: GroupReply, needs_step: bool) -> GroupReply:
    """Clear the fields of a reply that the proposer doesn't use, so that fewer states differ."""
    if request.phase is not Phase.PROMISE:
        return reply._replace(promised=0, aborted=0, status=RankStatus())
    status = reply.status._replace(staged=())
    if not needs_step:
        status = status._replace(next_step=0, held_step=0)
    return reply._replace(promised=0, status=status)
