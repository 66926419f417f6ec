"""Tests of an entry's connection and an agent's service over gRPC, with large frames."""

from __future__ import annotations

import contextlib
import unittest
from unittest import mock

import anyio
import grpc.aio

from bronzerudder.agent import FINAL_EVENTS, AgentConnection, Body, Completed, Head
from bronzerudder.entry import AgentIdentity, ExchangeService, SessionContext
from bronzerudder.frames import exchange_pb2 as pb
from bronzerudder.frames import exchange_pb2_grpc
from bronzerudder.processes.agent import GRPC_OPTIONS
from bronzerudder.quarantine import QuarantineFeed
from tests.execution.test_executor import INCARNATION, run_executor
from tests.fakes import PLAIN, ScriptedBackendServer

TIMEOUT_S = 20.0
ANSWERS = 24
CHUNK = b"x" * 65_536
CHUNKS = 16
REQUESTS = 6
REQUEST_BODY = b"x" * 4_000_000


@contextlib.asynccontextmanager
async def connect(backend_server):
    """Run an agent's service and an entry's connection to it, over a real connection."""
    source = mock.Mock(revision=0)
    async with run_executor(backend_server, max_running=ANSWERS) as executor:
        identity = AgentIdentity("a", "d", INCARNATION)
        service = ExchangeService(SessionContext(identity, executor, source, QuarantineFeed()))
        server = grpc.aio.server(options=GRPC_OPTIONS)
        exchange_pb2_grpc.add_AgentExchangeServicer_to_server(service, server)
        port = server.add_insecure_port("127.0.0.1:0")
        await server.start()
        connection = AgentConnection(f"127.0.0.1:{port}", "e", "d", source, QuarantineFeed())
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(connection.run)
            try:
                with anyio.fail_after(TIMEOUT_S):
                    while not connection.state.connected:
                        await anyio.sleep(0.01)
                    yield connection
            finally:
                tasks.cancel_scope.cancel()
                with anyio.CancelScope(shield=True):
                    await server.stop(None)


async def read_answer(attempt):
    """Return the size of the body, and the final event."""
    size = 0
    while not isinstance(event := await attempt.next_event(), FINAL_EVENTS):
        size += len(event.payload) if isinstance(event, Body) else 0
    return size, event


class ExchangeTest(unittest.IsolatedAsyncioTestCase):
    async def fetch_all(self, connection, count, payload=b"", hold=None):
        """Submit requests at once; set ``hold`` once all have begun; return their answers."""
        attempts = [
            connection.start(
                pb.Submit(request_id=f"r{number}", attempt=1, time_left_ms=20_000, payload=payload)
            )
            for number in range(count)
        ]
        if hold is not None:
            for attempt in attempts:
                self.assertIsInstance(await attempt.next_event(), Head)
            hold.set()
        return [await read_answer(attempt) for attempt in attempts]

    async def test_many_large_answers_at_once_do_not_break_the_connection(self):
        hold = anyio.Event()
        scripts = [[hold, *[CHUNK] * CHUNKS] for _ in range(ANSWERS)]
        async with connect(ScriptedBackendServer(*scripts, headers=PLAIN)) as connection:
            answers = await self.fetch_all(connection, ANSWERS, hold=hold)
        self.assertEqual(answers, [(len(CHUNK) * CHUNKS, Completed(False))] * ANSWERS)

    async def test_many_large_requests_at_once_do_not_break_the_connection(self):
        scripts = [[b"x"] for _ in range(REQUESTS)]
        async with connect(ScriptedBackendServer(*scripts, headers=PLAIN)) as connection:
            answers = await self.fetch_all(connection, REQUESTS, REQUEST_BODY)
        self.assertEqual(answers, [(1, Completed(False))] * REQUESTS)


if __name__ == "__main__":
    unittest.main()
