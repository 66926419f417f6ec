"""Records the results of operators' edits and the configuration in force at each process."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

import anyio
import grpc.aio

from bronzerudder.configuration import RowKey, SharedConfiguration
from bronzerudder.configuration.peer_pb2 import DescribeRequest, FetchRequest
from bronzerudder.configuration.peer_pb2_grpc import ConfigurationPeerStub
from bronzerudder.configuration.rows import Decision
from bronzerudder.configuration.wire import receive_update
from bronzerudder.operators.editor import RowEditor
from bronzerudder.operators.errors import OperatorError
from bronzerudder.operators.tables import TableReader

POLL_INTERVAL_S = 0.1
POLL_TIMEOUT_S = 2.0


class Accepted(NamedTuple):
    """An edit that was reported to its operator as accepted; times are in monotonic seconds.

    ``version`` is the new version of the row, and ``replaced`` the version that the operator had
    read and the edit replaced, or 0 if there was no row. ``revision`` is the revision of the
    configuration that contains the edit.
    """

    key: RowKey
    version: int
    replaced: int
    revision: int
    deleted: bool
    requested_at: float
    reported_at: float


class Sighting(NamedTuple):
    """A process reported that a revision is in force; times are in monotonic seconds.

    ``rows`` has the version of each row in force; None if the revision has not changed since the
    previous sighting.
    """

    process: str
    requested_at: float
    answered_at: float
    revision: int
    ready: bool
    rows: dict[RowKey, int] | None


class MissedPoll(NamedTuple):
    """A poll that a process did not answer."""

    process: str
    requested_at: float


class ConfigurationHistory:
    """Edits and observed revisions, each in the order in which they were recorded.

    ``recorded`` has the accepted decisions in the platform's log at the end; ``started_at`` has the
    time at which each process was started, set by the test.

    Parameters
    ----------
    poll_interval_s : float
        Time between two polls of a process, in seconds.
    """

    def __init__(self, poll_interval_s: float = POLL_INTERVAL_S) -> None:
        self._poll_interval_s = poll_interval_s
        self.accepted: list[Accepted] = []
        self.refused: list[Decision] = []
        self.failures: list[str] = []
        self.sightings: list[Sighting] = []
        self.recorded: list[Decision] = []
        self.missed_polls: list[MissedPoll] = []
        self.started_at: dict[str, float] = {}

    async def observe(self, process: str, address: str, is_running: Callable[[], bool]) -> None:
        """Poll a process until it has ended."""
        known = -1
        async with grpc.aio.insecure_channel(address) as channel:
            stub = ConfigurationPeerStub(channel)
            while is_running():
                requested_at = anyio.current_time()
                try:
                    sighting = await self._poll(stub, process, known)
                except grpc.aio.AioRpcError:
                    self.missed_polls.append(MissedPoll(process, requested_at))
                else:
                    known = sighting.revision
                    self.sightings.append(sighting)
                await anyio.sleep(self._poll_interval_s)

    async def edit(
        self, editor: RowEditor, key: RowKey, value: bytes | None, timeout_s: float
    ) -> None:
        """Edit a row and record the result reported to the operator."""
        requested_at = anyio.current_time()
        written = await editor.write(key, value, None)
        if isinstance(written, OperatorError):
            self.failures.append(written.reason)
            return
        decision = await editor.await_decision(written.edit, timeout_s)
        if decision is None:
            self.failures.append("superseded")
            return
        if isinstance(decision, OperatorError):
            self.failures.append(decision.reason)
            return
        if decision.reason:
            self.refused.append(decision)
            return
        version, reported_at = written.edit.version, anyio.current_time()
        self.accepted.append(
            Accepted(
                key,
                version,
                written.replaced_revision,
                decision.revision,
                value is None,
                requested_at,
                reported_at,
            )
        )

    async def read_log(self, reader: TableReader) -> None:
        """Read the platform's log of the rows that were edited."""
        for key in {edit.key for edit in self.accepted}:
            decisions = await reader.history(key)
            if isinstance(decisions, OperatorError):
                raise RuntimeError(decisions.reason)
            self.recorded += [decision for decision in decisions if not decision.reason]

    async def _poll(self, stub: ConfigurationPeerStub, process: str, known: int) -> Sighting:
        requested_at = anyio.current_time()
        reply = await stub.Describe(DescribeRequest(), timeout=POLL_TIMEOUT_S)
        revision, rows = reply.revision, None
        if revision != known:
            request = FetchRequest(after_revision=0)
            fetched = SharedConfiguration()
            await receive_update(fetched, stub.Fetch(request, timeout=POLL_TIMEOUT_S))
            revision = max(revision, fetched.revision)
            rows = {key: row.version for key, row in fetched.snapshot.rows.items()}
        return Sighting(process, requested_at, anyio.current_time(), revision, reply.ready, rows)
