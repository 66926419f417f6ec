"""One rank of the explored group: its agent, its engine and the last step declared ready."""

from __future__ import annotations

from collections.abc import Coroutine
from typing import Any, NamedTuple

from bronzerudder.backend_server.rank_api import RankStatus
from bronzerudder.backend_server.rank_errors import RankEngineError, RankEngineErrorKind
from bronzerudder.rank_group.messages import GroupReply, GroupRequest
from bronzerudder.rank_group.participant import Participant
from bronzerudder.standin.rank.local import LocalRankEngine
from bronzerudder.standin.rank.maps import RankMaps


class AgentFailedError(Exception):
    """Raised in place of an order's result, to stop an agent that has sent the order."""


class Order(NamedTuple):
    """An order to an engine that is still in flight."""

    name: str
    arguments: tuple


class RankState(NamedTuple):
    """State of one rank; ``ready`` is the last step declared ready and the map version for it."""

    incarnation: int = 1
    promised: int = 0
    recovered: bool = True
    aborted: frozenset[int] = frozenset()
    status: RankStatus = RankStatus()
    term: int = 0
    ready: tuple[int, int] = (0, 0)


class FailingAgentEngine(LocalRankEngine):
    """Stops the agent at an order, which stays in flight."""

    async def hold(self, *arguments):
        raise AgentFailedError("hold", arguments)

    async def reset(self, term, version, step, expert_map):
        raise AgentFailedError("reset", (term, version, step))

    async def activate(self, *arguments):
        raise AgentFailedError("activate", arguments)

    async def release(self, *arguments):
        raise AgentFailedError("release", arguments)


class TimingOutEngine(LocalRankEngine):
    """Lets an order time out at its sender while it stays in flight."""

    def __init__(self, maps: RankMaps) -> None:
        super().__init__(maps)
        self.order: Order | None = None

    def _time_out(self, name: str, *arguments: int) -> RankEngineError:
        self.order = Order(name, arguments)
        return RankEngineError(RankEngineErrorKind.UNREACHABLE, "timed out")

    async def hold(self, *arguments):
        return self._time_out("hold", *arguments)

    async def reset(self, term, version, step, expert_map):
        return self._time_out("reset", term, version, step)

    async def activate(self, *arguments):
        return self._time_out("activate", *arguments)

    async def release(self, *arguments):
        return self._time_out("release", *arguments)


def run_without_waiting(coroutine: Coroutine) -> Any:
    """Run a coroutine that never waits."""
    try:
        coroutine.send(None)
    except StopIteration as stop:
        return stop.value
    raise AssertionError("the coroutine waited")


class LocalRank:
    """Runs the agent's and the stand-in engine's own methods on a rank's state."""

    def __init__(self, state: RankState, participant_type: type, honours_terms: bool) -> None:
        self._state = state
        self._maps = RankMaps(honours_terms)
        self._maps._status = state.status
        self._maps._term = state.term
        self._agent: Participant = participant_type(LocalRankEngine(self._maps), state.incarnation)
        self._agent._promised = state.promised
        self._agent._recovered = state.recovered
        self._agent._aborted = state.aborted

    def state(self) -> RankState:
        agent, maps = self._agent, self._maps
        return RankState(
            agent._incarnation,
            agent._promised,
            agent._recovered,
            agent._aborted,
            maps._status,
            maps._term,
            self._state.ready,
        )

    def deliver(self, request: GroupRequest) -> GroupReply:
        return run_without_waiting(self._agent.answer(request))

    def fail_during(self, request: GroupRequest) -> Order | None:
        self._agent._engine = FailingAgentEngine(self._maps)
        try:
            run_without_waiting(self._agent.answer(request))
        except AgentFailedError as failed:
            return Order(*failed.args)
        return None

    def time_out_during(self, request: GroupRequest) -> Order | None:
        engine = TimingOutEngine(self._maps)
        self._agent._engine = engine
        run_without_waiting(self._agent.answer(request))
        return engine.order

    def recover(self, floors: list[int]) -> None:
        run_without_waiting(self._agent.recover(floors))

    def stage(self, version: int) -> None:
        self._maps.finish_staging(version)

    def apply(self, order: Order) -> None:
        getattr(self._maps, order.name)(*order.arguments)

    def declare(self) -> bool:
        step = self._maps.declare_ready()
        if step is None:
            return False
        self._state = self._state._replace(ready=(step, self._maps.status.active))
        return True
