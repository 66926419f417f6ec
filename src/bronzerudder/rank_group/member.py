"""One agent's membership of a lock-step group: participant, proposer and recovery.

The agent answers requests of proposers and watches its own engine. When the engine has waited too
long for a decision, as after the failure of a proposer, or has no map, the agent itself becomes a
proposer and settles the change.
"""

from __future__ import annotations

import time

import anyio

from bronzerudder.backend_server.rank_api import NO_MAP, RankEngine
from bronzerudder.backend_server.rank_errors import RankEngineError
from bronzerudder.rank_group.attempt import ProposalAttempt, ProposalResult
from bronzerudder.rank_group.messages import GroupReply, GroupRequest, Phase
from bronzerudder.rank_group.participant import Participant
from bronzerudder.rank_group.peers import RankPeers
from bronzerudder.rank_group.progress import RankProgress
from bronzerudder.rank_group.proposer import Proposer, next_term
from bronzerudder.rank_group.record import CommittedMap, MapRecord
from bronzerudder.rank_group.timing import margin_steps, settle_delay_s

FLOOR_TIMEOUT_S = 0.3
RETRY_DELAY_S = 0.1
WATCH_INTERVAL_S = 0.1
RECORD_TIMEOUT_S = 0.5
RECORD_RETRY_DELAY_S = 1.0
RECORDING_RANKS = 3
"""Number of lowest ranks that save committed maps; more than one, as an agent may be down."""

MAX_PROPOSED_MAPS = 4
"""Number of staged or reset maps kept until their commit arrives, which names only a version."""


class RankGroupMember:
    """Answers proposers, settles unfinished changes, and proposes maps.

    Parameters
    ----------
    rank, rank_count : int
        This rank and the number of ranks.
    engine : RankEngine
        The engine of this rank.
    peers : RankPeers
        The agents of all ranks.
    record : MapRecord
        The platform's copy of the last committed map.
    incarnation : int
        Unique to this run of the agent's process.
    initial_map : bytes
        The map on which the group is formed while no committed one is known.
    """

    def __init__(
        self,
        rank: int,
        rank_count: int,
        engine: RankEngine,
        peers: RankPeers,
        record: MapRecord,
        incarnation: int,
        initial_map: bytes,
    ) -> None:
        self._rank = rank
        self._rank_count = rank_count
        self._engine = engine
        self._peers = peers
        self._record = record
        self._participant = Participant(engine, incarnation)
        self._answer_lock = anyio.Lock()
        self._propose_lock = anyio.Lock()
        self._progress = RankProgress()
        self._last_map = CommittedMap(NO_MAP, initial_map)
        self._proposed_maps: dict[int, bytes] = {}
        self._save_due = anyio.Event()
        self._highest_term = 0

    @property
    def group_stalled(self) -> bool:
        """Whether this rank, and with it the whole lock-step group, makes no progress."""
        return self._progress.stalled

    @property
    def active_version(self) -> int:
        """Version of the map that the engine was last seen to use."""
        return self._progress.status.active

    @property
    def last_map(self) -> bytes:
        """Encoded map of the latest commit known to this rank."""
        return self._last_map.expert_map

    async def run(self) -> None:
        """Recover from an earlier run, then watch the engine until cancelled."""
        await self._recover()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._watch_engine)
            if self._rank < RECORDING_RANKS:
                tasks.start_soon(self._save_committed_maps)

    async def answer(self, request: GroupRequest) -> GroupReply:
        """Answer one request of a proposer."""
        if request.phase is Phase.FLOOR:
            return await self._participant.answer(request)
        async with self._answer_lock:
            reply = await self._participant.answer(request)
        if request.expert_map and reply.accepted:
            self._remember_proposed_map(request)
        if request.phase is Phase.COMMIT and reply.accepted:
            self._on_committed(request.version)
        return reply

    async def change_map(self, expert_map: bytes) -> ProposalResult:
        """Propose a map to the group; if a change is unfinished, settle that one instead."""
        return await self._propose(expert_map)

    async def is_lowest_live(self) -> bool:
        """Whether no agent of a lower rank answers.

        It decides only which agent proposes; safety doesn't depend on it, as terms order proposers.
        """
        for rank in range(self._rank):
            reply = await self._peers.call(rank, GroupRequest(Phase.FLOOR, 0), FLOOR_TIMEOUT_S)
            if isinstance(reply, GroupReply):
                return False
        return True

    async def _recover(self) -> None:
        floors: dict[int, int] = {}
        async with anyio.create_task_group() as tasks:
            for rank in range(self._rank_count):
                if rank != self._rank:
                    tasks.start_soon(self._query_floor, rank, floors)
        while True:
            async with self._answer_lock:
                error = await self._participant.recover(list(floors.values()))
            if error is None:
                return
            await anyio.sleep(RETRY_DELAY_S)

    async def _query_floor(self, rank: int, floors: dict[int, int]) -> None:
        while True:
            reply = await self._peers.call(rank, GroupRequest(Phase.FLOOR, 0), FLOOR_TIMEOUT_S)
            if isinstance(reply, GroupReply):
                floors[rank] = reply.promised
                return
            await anyio.sleep(RETRY_DELAY_S)

    async def _watch_engine(self) -> None:
        delay_s = settle_delay_s(self._rank, self._rank_count)
        while True:
            await anyio.sleep(WATCH_INTERVAL_S)
            status = await self._engine.read(self._participant.promised)
            if isinstance(status, RankEngineError):
                self._progress.record_failure(time.monotonic())
                continue
            self._progress.record_status(status, time.monotonic())
            if self._progress.unsettled_s < delay_s or self._propose_lock.locked():
                continue
            await self._propose(None)
            self._progress.restart_unsettled_timer(time.monotonic())

    async def _propose(self, new_map: bytes | None) -> ProposalResult:
        if not self._participant.recovered:
            return ProposalResult(
                NO_MAP, self._highest_term, Phase.PROMISE, "this agent is still recovering"
            )
        async with self._propose_lock:
            if self._progress.status.active == NO_MAP:
                await self._load_record()
            floor = max(self._participant.promised, self._highest_term)
            proposer = Proposer(
                self._rank_count,
                next_term(floor, self._rank, self._rank_count),
                new_map,
                self._last_map.expert_map,
                margin_steps(self._rank_count, self._progress.step_time_s),
            )
            attempt = ProposalAttempt(
                proposer, self._rank, self._rank_count, self._peers, self.answer
            )
            result = await attempt.run()
            self._highest_term = max(self._highest_term, result.highest_term)
            return result

    def _remember_proposed_map(self, request: GroupRequest) -> None:
        self._proposed_maps[request.version] = request.expert_map
        if len(self._proposed_maps) > MAX_PROPOSED_MAPS:
            del self._proposed_maps[min(self._proposed_maps)]

    def _on_committed(self, version: int) -> None:
        expert_map = self._proposed_maps.get(version)
        if expert_map is None or version <= self._last_map.version:
            return
        self._last_map = CommittedMap(version, expert_map)
        self._save_due.set()

    async def _load_record(self) -> None:
        with anyio.move_on_after(RECORD_TIMEOUT_S):
            found = await self._record.load()
            if isinstance(found, CommittedMap) and found.version > self._last_map.version:
                self._last_map = found
                self._highest_term = max(self._highest_term, found.version)

    async def _save_committed_maps(self) -> None:
        while True:
            await self._save_due.wait()
            # Higher ranks save later: they find the record written, and spare the store an update.
            await anyio.sleep(RECORD_RETRY_DELAY_S * self._rank)
            self._save_due = anyio.Event()
            while True:
                error = await self._record.save(self._last_map)
                if error is None:
                    break
                await anyio.sleep(RECORD_RETRY_DELAY_S)
