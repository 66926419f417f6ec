"""Participant role: promises terms and carries out proposers' requests at this rank's engine.

A request is refused if its term is lower than the promised one, as otherwise a superseded proposer
could still change the map, and if an earlier incarnation promised its term, as this process doesn't
know those promises. The protocol does not rely on engines checking terms, and it allows for an
order of a failed agent that arrives at any later time.
"""

from __future__ import annotations

from bronzerudder.backend_server.rank_api import NO_MAP, RankEngine, RankStatus
from bronzerudder.backend_server.rank_errors import RankEngineError
from bronzerudder.rank_group.messages import GroupReply, GroupRequest, Phase, Refusal


class Participant:
    """Promises terms and carries out accepted requests, one at a time.

    Calls of `answer` must not overlap.

    Parameters
    ----------
    engine : RankEngine
        The engine of this rank.
    incarnation : int
        Unique to this run of the agent's process; greater than 0.
    """

    def __init__(self, engine: RankEngine, incarnation: int) -> None:
        self._engine = engine
        self._incarnation = incarnation
        self._promised = 0
        self._recovered = False
        self._aborted: frozenset[int] = frozenset()

    @property
    def promised(self) -> int:
        """Highest promised term, or the floor found during recovery if that is higher."""
        return self._promised

    @property
    def recovered(self) -> bool:
        """Whether promises may be given."""
        return self._recovered

    def raise_floor(self, term: int) -> None:
        """Refuse terms lower than one that an earlier incarnation may have promised."""
        self._promised = max(self._promised, term)

    async def recover(self, peer_floors: list[int]) -> RankEngineError | None:
        """Raise the floor to the highest term that an earlier incarnation may have promised.

        Its promises and orders are unknown, so the floor is taken from the versions at the engine,
        which are terms, and from the other agents.

        Parameters
        ----------
        peer_floors : list of int
            Highest promised term of every other rank's agent, queried after this incarnation
            started. A proposer promises its term at its own rank before it sends it to others, so
            the floors cover every live proposer that the earlier incarnation may have promised.
        """
        status = await self._engine.read(self._promised)
        if isinstance(status, RankEngineError):
            return status
        self.raise_floor(max(status.active, status.pending, status.held, *status.staged, 0))
        for floor in peer_floors:
            self.raise_floor(floor)
        self._recovered = True
        return None

    async def answer(self, request: GroupRequest) -> GroupReply:
        """Carry out a request, or refuse it."""
        refusal = self._check(request)
        if refusal is not Refusal.NONE:
            return self._refuse(refusal, f"promised term {self._promised}")
        if request.phase is Phase.FLOOR:
            return self._accept(RankStatus())
        if request.phase is Phase.PROMISE:
            self._promised = request.term
        if request.phase is Phase.ABORT:
            self._aborted |= {request.version}
        result = await self._execute_order(request)
        if isinstance(result, RankEngineError):
            return self._refuse(Refusal.ENGINE, f"{result.kind.value}: {result.reason}")
        if not _shows_effect(request, result):
            return self._refuse(Refusal.ENGINE, "the engine's status doesn't reflect the order")
        if request.phase is Phase.STAGE and request.version not in result.staged:
            return self._refuse(Refusal.NOT_STAGED, "weights are still being loaded")
        return self._accept(result)

    def _check(self, request: GroupRequest) -> Refusal:
        if request.phase is Phase.FLOOR:
            return Refusal.NONE
        if not self._recovered:
            return Refusal.RECOVERING
        if self._is_stale(request):
            return Refusal.STALE_TERM
        if request.phase is not Phase.PROMISE and request.incarnation != self._incarnation:
            return Refusal.WRONG_INCARNATION
        return Refusal.NONE

    def _is_stale(self, request: GroupRequest) -> bool:
        return request.term < self._promised

    async def _execute_order(self, request: GroupRequest) -> RankStatus | RankEngineError:
        term, version = request.term, request.version
        if request.phase is Phase.STAGE:
            return await self._engine.stage(term, version, request.expert_map)
        if request.phase is Phase.ARM:
            return await self._engine.hold(term, version, request.step)
        if request.phase is Phase.RESET:
            return await self._engine.reset(term, version, request.step, request.expert_map)
        if request.phase is Phase.COMMIT:
            return await self._engine.activate(term, version)
        if request.phase is Phase.RELEASE:
            return await self._engine.release(term, version)
        return await self._read()

    async def _read(self) -> RankStatus | RankEngineError:
        return await self._engine.read(self._promised)

    def _accept(self, status: RankStatus) -> GroupReply:
        self._aborted = frozenset(version for version in self._aborted if version > status.active)
        aborted = status.held if status.held in self._aborted else NO_MAP
        return GroupReply(Refusal.NONE, "", self._incarnation, self._promised, aborted, status)

    def _refuse(self, refusal: Refusal, reason: str) -> GroupReply:
        return GroupReply(refusal, reason, self._incarnation, self._promised, NO_MAP, RankStatus())


def _shows_effect(request: GroupRequest, status: RankStatus) -> bool:
    """Whether the engine's status after an order is one that the order results in."""
    used = request.version in (status.pending, status.active)
    if request.phase in (Phase.ARM, Phase.RESET):
        return used or status.held == request.version
    if request.phase is Phase.COMMIT:
        return used
    if request.phase is Phase.RELEASE:
        return status.held != request.version or status.active == NO_MAP
    return True
