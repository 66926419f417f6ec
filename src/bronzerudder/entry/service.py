"""The gRPC service that entries connect to."""

from __future__ import annotations

from collections.abc import AsyncIterator
from typing import Any

import anyio
import grpc
from absl import logging
from google.protobuf.message import DecodeError

from bronzerudder.entry.context import SessionContext
from bronzerudder.entry.session import EntrySession
from bronzerudder.frames import exchange_pb2 as pb
from bronzerudder.frames import exchange_pb2_grpc


class ExchangeService(exchange_pb2_grpc.AgentExchangeServicer):
    """Keeps one session for each entry; a newer connection of an entry replaces the older one."""

    def __init__(self, context: SessionContext) -> None:
        self._context = context
        self._sessions: dict[str, EntrySession] = {}

    @property
    def sessions(self) -> tuple[EntrySession, ...]:
        """Open sessions."""
        return tuple(self._sessions.values())

    def broadcast(self, frame: pb.AgentFrame) -> None:
        """Send a frame to every connected entry."""
        for session in self.sessions:
            session.send(frame)

    async def Exchange(  # noqa: N802
        self, request_iterator: AsyncIterator[Any], context: Any
    ) -> None:
        """Serve one connection until either side ends it."""
        session = EntrySession(self._context)
        malformed: list[str] = []
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._read_all, session, request_iterator, malformed)
                tasks.start_soon(session.report_load)
                await session.write_all(context)
                tasks.cancel_scope.cancel()
        finally:
            session.close()
            if self._sessions.get(session.entry_id) is session:
                del self._sessions[session.entry_id]
        if malformed:
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, malformed[0])

    async def _read_all(
        self, session: EntrySession, batches: AsyncIterator[Any], malformed: list[str]
    ) -> None:
        try:
            await self._handle_batches(session, batches)
        except DecodeError as error:
            # Raised from here, it would cancel gRPC's own task, which then did not always end the
            # stream. Closing the session ends it cleanly.
            logging.warning("message of an entry does not parse: %s", error)
            malformed.append(f"message does not parse: {error}")
        session.close()

    async def _handle_batches(self, session: EntrySession, batches: AsyncIterator[Any]) -> None:
        async for batch in batches:
            registered = bool(session.entry_id)
            session.handle_batch(batch)
            if not registered and not self._register(session):
                return

    def _register(self, session: EntrySession) -> bool:
        older = self._sessions.get(session.entry_id)
        if not session.entry_id or (older and older.connection > session.connection):
            return False
        if older is not None:
            older.close()
        self._sessions[session.entry_id] = session
        return True
