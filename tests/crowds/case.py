"""The crowds that each process must bear, and what is checked after each of them."""

from __future__ import annotations

import asyncio
import resource
import unittest
from typing import NamedTuple

import anyio

from bench.harness import ManagedProcess
from bronzerudder.http1 import ClientPool, HttpError
from tests.crowds import crowd
from tests.crowds.crowd import Crowd, Target
from tests.crowds.footprint import FootprintMeter

MIB = 1_048_576
BODY_BYTES = 4_194_304
"""The largest body that the users' pages allow."""
MAX_DESCRIPTORS = 200
CLIENTS = 60
IDLE_CLIENTS = 400
CROWD_S = 1.5
"""Time for which a crowd sends before an ordinary caller joins it."""
HANG_S = 30.0
"""A request without an answer for this time counts as not answered."""


class Call(NamedTuple):
    """A request, and the statuses with which it counts as served."""

    address: str
    method: bytes
    path: bytes
    headers: list[tuple[bytes, bytes]]
    served: tuple[int, ...] = (200,)


class CrowdCase(unittest.IsolatedAsyncioTestCase):
    """Starts one process and holds each crowd against it.

    Subclasses set ``memory_mb`` and ``body_bytes``, the largest body, and implement `start`, which
    sets ``process``, the ``targets`` of crowds, all ``listeners``, the ``ordinary`` call, and a
    ``largest`` call that takes a body. ``slow_targets`` answer after a while, and
    ``answering_targets`` with much.
    """

    memory_mb = 128
    body_bytes = BODY_BYTES
    process: ManagedProcess
    targets: list[Target]
    listeners: list[str]
    ordinary: Call
    largest: Call

    @property
    def slow_targets(self) -> list[Target]:
        """Targets that answer after a while."""
        return self.targets

    @property
    def answering_targets(self) -> list[Target]:
        """Targets with long answers."""
        return self.targets

    @property
    def machine(self) -> dict[str, int]:
        """The limits that the process is started with."""
        return {"memory_mb": self.memory_mb, "max_descriptors": MAX_DESCRIPTORS}

    async def asyncSetUp(self):
        asyncio.get_running_loop().set_debug(False)
        await self.start()
        descriptors = (MAX_DESCRIPTORS, MAX_DESCRIPTORS)
        resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE, descriptors)

    async def start(self) -> None:
        """Start the process."""
        raise NotImplementedError

    async def call(self, call: Call, body: bytes = b"") -> int | str:
        """Return the status of the answer to a call, or why there is none."""
        answer: tuple[int, bytes] | HttpError | None = None
        pool = ClientPool()
        with anyio.move_on_after(HANG_S):
            answer = await pool.call(call.address, call.method, call.path, call.headers, body)
        pool.close_idle(call.address)
        if answer is None:
            return "no answer"
        return answer.reason if isinstance(answer, HttpError) else answer[0]

    async def call_until_served(self, call: Call) -> int | str:
        """Call as a caller does that tries again after a refusal; return the last result."""
        result: int | str = "not called"
        with anyio.move_on_after(HANG_S):
            while result not in call.served:
                result = await self.call(call)
        return result

    async def withstand(self, callers: Crowd, targets: list[Target] | None = None) -> None:
        """Hold a crowd against the process, and check it during the crowd and afterwards."""
        meter = FootprintMeter(self.process.pid, self.listeners)
        async with anyio.create_task_group() as tasks, anyio.create_task_group() as crowd_tasks:
            tasks.start_soon(meter.run)
            crowd_tasks.start_soon(callers.run, targets or self.targets)
            await anyio.sleep(CROWD_S)
            during = await self.call_until_served(self.ordinary)
            crowd_tasks.cancel_scope.cancel()
            tasks.cancel_scope.cancel()
        running = self.process.running
        afterwards = await self.call(self.ordinary)
        largest = await self.call(self.largest, b"x" * self.body_bytes)
        meter.sample()
        peak = meter.peak
        self.assertTrue(running and self.process.running, "the process has ended")
        self.assertLessEqual(peak.memory_bytes // MIB, self.memory_mb, "memory in MiB")
        self.assertLess(peak.descriptors, MAX_DESCRIPTORS, "open descriptors")
        self.assertIn(during, self.ordinary.served, "an ordinary request beside the crowd")
        self.assertIn(afterwards, self.ordinary.served, "an ordinary request afterwards")
        self.assertIn(largest, self.largest.served, "one body of the largest size in calm")


class Crowds:
    """The crowds, as tests of a `CrowdCase`."""

    async def test_whole_bodies(self):
        await self.withstand(crowd.WholeBodies(CLIENTS))

    async def test_bodies_that_stop_short(self):
        await self.withstand(crowd.ShortBodies(CLIENTS))

    async def test_bodies_in_pieces_that_stop_short(self):
        await self.withstand(crowd.ShortBodiesInPieces(CLIENTS))

    async def test_whole_chunked_bodies(self):
        await self.withstand(crowd.WholeChunkedBodies(CLIENTS))

    async def test_chunked_bodies_that_stop_short(self):
        await self.withstand(crowd.ShortChunkedBodies(CLIENTS))

    async def test_bodies_of_small_chunks_that_stop_short(self):
        await self.withstand(crowd.ShortBodiesOfSmallChunks(CLIENTS))

    async def test_bodies_announced_far_over_the_limit(self):
        await self.withstand(crowd.AnnouncedOversize(CLIENTS))

    async def test_bodies_sent_far_over_the_limit(self):
        await self.withstand(crowd.SentOversize(CLIENTS))

    async def test_connections_that_send_nothing(self):
        await self.withstand(crowd.IdleConnections(IDLE_CLIENTS))

    async def test_heads_that_stop_short(self):
        await self.withstand(crowd.ShortHeads(IDLE_CLIENTS))

    async def test_bytes_behind_a_request_that_is_served(self):
        await self.withstand(crowd.PipelinedBytes(CLIENTS), self.slow_targets)

    async def test_answers_that_are_never_read(self):
        await self.withstand(crowd.UnreadAnswers(CLIENTS), self.answering_targets)


def make_target(call: Call, body_bytes: int = BODY_BYTES) -> Target:
    """Make the target of a crowd that sends the same request as a call, but for its body."""
    head = call.method + b" " + call.path + b" HTTP/1.1\r\n"
    for name, value in call.headers:
        head += name + b": " + value + b"\r\n"
    return Target(call.address, head, body_bytes)
