"""Fuzzes the frames that an agent receives from an entry."""

from __future__ import annotations

import unittest
from unittest import mock

import anyio
from google.protobuf.message import DecodeError
from hypothesis import given, settings
from hypothesis import strategies as st

from bronzerudder.entry import AgentIdentity, EntrySession, SessionContext
from bronzerudder.frames import exchange_pb2 as pb
from bronzerudder.quarantine import QuarantineFeed
from tests.execution.test_executor import INCARNATION, TIMEOUT_S, build_submit, run_executor
from tests.fakes import ScriptedBackendServer

EXAMPLES = 60
MAX_FRAMES = 8

names = st.sampled_from(("", "a", "b", "\x00"))
small = st.integers(0, 2)
numbers = st.sampled_from((0, 1, INCARNATION, 2**32, 2**64 - 1))
keys = {"request_id": names, "attempt": small}
frames = st.one_of(
    st.builds(lambda **f: pb.EntryFrame(hello=pb.EntryHello(**f)), entry_id=names),
    st.builds(
        lambda **f: pb.EntryFrame(submit=pb.Submit(**f)),
        incarnation=numbers,
        workspace=names,
        idempotency_key=names,
        payload=st.binary(max_size=20),
        time_left_ms=numbers,
        estimated_tokens=numbers,
        repeatable=st.booleans(),
        limited=st.booleans(),
        traceparent=names,
        fingerprint=names,
        **keys,
    ),
    st.builds(lambda **f: pb.EntryFrame(ack=pb.Ack(**f)), next_sequence=numbers, **keys),
    st.builds(
        lambda **f: pb.EntryFrame(cancel=pb.Cancel(**f)),
        only_if_not_started=st.booleans(),
        **keys,
    ),
    st.builds(
        lambda **f: pb.EntryFrame(resume=pb.Resume(**f)),
        next_sequence=numbers,
        incarnation=numbers,
        **keys,
    ),
    st.builds(lambda **f: pb.EntryFrame(ping=pb.Ping(**f)), reply=st.booleans(), nonce=numbers),
    st.just(pb.EntryFrame()),
)


async def handle_all(batches):
    """Pass batches to a session; return the kinds of frames that it queues in response."""
    scripts = [[b"data: x\n\n"]] * (MAX_FRAMES * len(batches) + 1)
    async with run_executor(ScriptedBackendServer(*scripts)) as executor:
        identity = AgentIdentity("a", "d", INCARNATION)
        source = mock.Mock(revision=0)
        session = EntrySession(SessionContext(identity, executor, source, QuarantineFeed()))
        for batch in batches:
            session.handle_batch(batch)
            await anyio.lowlevel.checkpoint()
        session.handle_batch(
            pb.EntryBatch(frames=[pb.EntryFrame(ping=pb.Ping(reply=True, nonce=9))])
        )
        return [frame.WhichOneof("body") for frame in session._pending]


class SessionFuzzTest(unittest.TestCase):
    @settings(max_examples=EXAMPLES)
    @given(st.lists(st.lists(frames, max_size=MAX_FRAMES), min_size=1, max_size=4))
    def test_any_order_of_frames_leaves_the_session_answering(self, lists):
        batches = [pb.EntryBatch(frames=items) for items in lists]
        self.assertEqual(anyio.run(handle_all, batches)[-1], "ping")

    @settings(max_examples=EXAMPLES)
    @given(st.binary(max_size=200))
    def test_any_bytes_are_refused_or_taken(self, data):
        try:
            batch = pb.EntryBatch.FromString(data)
        except DecodeError:
            return
        self.assertEqual(anyio.run(handle_all, [batch])[-1], "ping")


class LostEntryTest(unittest.IsolatedAsyncioTestCase):
    @mock.patch("bronzerudder.execution.executor.SWEEP_INTERVAL_S", 0.01)
    @mock.patch("bronzerudder.execution.executor.ORPHAN_TIMEOUT_S", 0.05)
    async def test_answers_of_an_entry_that_never_returns_are_dropped(self):
        backend_server = ScriptedBackendServer([b"data: x\n\n"], [anyio.Event()])
        async with run_executor(backend_server, max_running=2) as executor:
            identity = AgentIdentity("a", "d", INCARNATION)
            source = mock.Mock(revision=0)
            session = EntrySession(SessionContext(identity, executor, source, QuarantineFeed()))
            submits = [build_submit(f"r{number}", repeatable=True) for number in range(2)]
            hello = pb.EntryFrame(hello=pb.EntryHello(entry_id="e"))
            frames = [pb.EntryFrame(submit=submit) for submit in submits]
            session.handle_batch(pb.EntryBatch(frames=[hello, *frames]))
            session.close()
            with anyio.fail_after(TIMEOUT_S):
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(executor.sweep)
                    await executor.wait_drained()
                    tasks.cancel_scope.cancel()


if __name__ == "__main__":
    unittest.main()
