"""One rank of the explored group: its agent, its engine and the step it is ready for."""

from __future__ import annotations

from collections.abc import Coroutine
from typing import Any, NamedTuple

from bronzerudder.backend_server.rank_api import RankStatus
from bronzerudder.backend_server.rank_errors import RankEngineError, RankEngineErrorKind
from bronzerudder.rank_group.messages import GroupReply, GroupRequest
from bronzerudder.rank_group.participant import Participant
from bronzerudder.standin.rank.local import LocalRankEngine
from bronzerudder.standin.rank.maps import RankMaps


class AgentDeathError(Exception):
    """Ends an agent that has sent an order and not seen its result."""


class Order(NamedTuple):
    """An order in flight from an agent that has died."""

    name: str
    arguments: tuple


class RankState(NamedTuple):
    """State of one rank; ``ready`` is the last declared step and the version it would run on."""

    incarnation: int = 1
    promised: int = 0
    recovered: bool = True
    aborted: frozenset[int] = frozenset()
    status: RankStatus = RankStatus()
    term: int = 0
    ready: tuple[int, int] = (0, 0)


class DyingEngine(LocalRankEngine):
    """Keeps the order in flight in place of carrying it out."""

    async def hold(self, *arguments):
        raise AgentDeathError("hold", arguments)

    async def reset(self, term, version, step, expert_map):
        raise AgentDeathError("reset", (term, version, step))

    async def activate(self, *arguments):
        raise AgentDeathError("activate", arguments)

    async def release(self, *arguments):
        raise AgentDeathError("release", arguments)


class UnansweredEngine(LocalRankEngine):
    """Keeps the order in flight and lets its sender time out."""

    def __init__(self, maps: RankMaps) -> None:
        super().__init__(maps)
        self.order: Order | None = None

    def _keep(self, name: str, *arguments: int) -> RankEngineError:
        self.order = Order(name, arguments)
        return RankEngineError(RankEngineErrorKind.UNREACHABLE, "timed out")

    async def hold(self, *arguments):
        return self._keep("hold", *arguments)

    async def reset(self, term, version, step, expert_map):
        return self._keep("reset", term, version, step)

    async def activate(self, *arguments):
        return self._keep("activate", *arguments)

    async def release(self, *arguments):
        return self._keep("release", *arguments)


def finish(coroutine: Coroutine) -> Any:
    """Run a coroutine that never has to wait."""
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
        return finish(self._agent.answer(request))

    def die_during(self, request: GroupRequest) -> Order | None:
        self._agent._engine = DyingEngine(self._maps)
        try:
            finish(self._agent.answer(request))
        except AgentDeathError as died:
            return Order(*died.args)
        return None

    def time_out_during(self, request: GroupRequest) -> Order | None:
        engine = UnansweredEngine(self._maps)
        self._agent._engine = engine
        finish(self._agent.answer(request))
        return engine.order

    def recover(self, floors: list[int]) -> None:
        finish(self._agent.recover(floors))

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
