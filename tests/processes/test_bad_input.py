"""Guards against malformed input that ends a process, leaves a stream open or gets no error."""

from __future__ import annotations

import asyncio
import random

import anyio
import grpc.aio
import httpx

from bench.harness import Deployment, Shape
from bench.harness.load import call_service, expected_text, open_client, stream_completion
from bronzerudder.frames import exchange_pb2 as pb
from bronzerudder.frames import exchange_pb2_grpc
from tests.processes.case import ProcessTestCase

SEED = 20261203
GARBAGE_BYTES = 2_000
GARBAGE_ROUNDS = 5
MAX_BODY_BYTES = 100_000
# An invalid wire tag, so that parsing always fails.
INVALID_MESSAGE = b"\xff" * 20
# An earlier fault left 19 of 300 such streams open, so a few rounds would miss it.
INVALID_ROUNDS = 60
STEP_TIMEOUT_S = 10.0
HTTP_GARBAGE = (
    b"GET / HTTP/1.1\r\nbad header\r\n\r\n",
    b"POST /bookings HTTP/1.1\r\ncontent-length: -5\r\n\r\n",
    b"POST /bookings HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n",
    b"\x16\x03\x01\x02\x00\x01\x00",
)


class BadInputTest(ProcessTestCase):
    async def test_bad_input_at_every_port(self):
        generator = random.Random(SEED)
        shape = Shape(engines=1, services=1, entry={"max_body_bytes": MAX_BODY_BYTES})
        with Deployment(shape) as deployment:
            entry, agent = deployment.entries[0], deployment.engines[0].agent
            addresses = (
                entry.address,
                entry.admin_address,
                entry.peer_address,
                agent.address,
                agent.admin_address,
            )
            for address in addresses:
                for data in HTTP_GARBAGE:
                    await self._send_raw(address, data)
                for _ in range(GARBAGE_ROUNDS):
                    await self._send_raw(address, generator.randbytes(GARBAGE_BYTES))
            await self._check_caller_errors(entry.address)
            await self._check_frames(agent.address)
            await self._check_alive(deployment)

    async def _send_raw(self, address, data):
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(data)
            writer.write_eof()
            with anyio.move_on_after(1.0):
                await reader.read()
        except OSError:
            pass
        finally:
            writer.close()

    async def _check_caller_errors(self, entry):
        cases = (
            ("/v1/chat/completions", b"{", {}, 400),
            ("/v1/chat/completions", b'{"messages": 7}', {}, 400),
            ("/v1/chat/completions", b"[" * 50_000, {}, 400),
            ("/bookings", b"x" * (MAX_BODY_BYTES + 1), {}, 413),
            ("/bookings", b"{}", {"bronzerudder-timeout-s": "soon"}, 400),
            ("/bookings", b"{}", {"bronzerudder-timeout-s": "nan"}, 400),
            ("/bookings", b"{}", {"idempotency-key": "k" * 300}, 400),
            ("/nowhere", b"", {}, 404),
        )
        async with httpx.AsyncClient(timeout=STEP_TIMEOUT_S) as client:
            for path, body, headers, status in cases:
                answer = await client.post(f"http://{entry}{path}", content=body, headers=headers)
                with self.subTest(path=path, headers=headers):
                    self.assertEqual(answer.status_code, status)
                    self.assertEqual(answer.headers["bronzerudder-outcome"], "not-run")
                    self.assertEqual(answer.json()["outcome"], "not-run")

    async def _check_frames(self, agent):
        empty = pb.EntryBatch(frames=[pb.EntryFrame()])
        hello = pb.EntryFrame(hello=pb.EntryHello(entry_id="intruder", connection=1))
        strays = [
            pb.EntryFrame(submit=pb.Submit(request_id="r", attempt=1, incarnation=1)),
            pb.EntryFrame(ack=pb.Ack(request_id="none", attempt=9, next_sequence=2**63)),
            pb.EntryFrame(resume=pb.Resume(request_id="none", attempt=9, incarnation=1)),
            pb.EntryFrame(cancel=pb.Cancel(request_id="none", attempt=9)),
        ]
        async with grpc.aio.insecure_channel(agent) as channel:
            call = exchange_pb2_grpc.AgentExchangeStub(channel).Exchange()
            for batch in (pb.EntryBatch(frames=[hello]), empty, pb.EntryBatch(frames=strays)):
                await call.write(batch)
            kinds = []
            with anyio.fail_after(5):
                while "resume_failed" not in kinds or kinds.count("refused") < 2:
                    batch = await call.read()
                    kinds += [frame.WhichOneof("body") for frame in batch.frames]
            call.cancel()
        for _ in range(INVALID_ROUNDS):
            await self._check_invalid_message(agent)

    async def _check_invalid_message(self, agent):
        async with grpc.aio.insecure_channel(agent) as channel:
            raw = channel.stream_stream("/bronzerudder.frames.AgentExchange/Exchange")
            call = raw()
            with self.assertRaises(grpc.aio.AioRpcError) as raised:
                with anyio.fail_after(STEP_TIMEOUT_S):
                    await call.write(INVALID_MESSAGE)
                    await call.read()
                    await call.read()
        self.assertIs(raised.exception.code(), grpc.StatusCode.INVALID_ARGUMENT)

    async def _check_alive(self, deployment):
        async with open_client() as client:
            entry = deployment.entries[0].address
            streamed = await stream_completion(client, entry, "still there", 5)
            booked = await call_service(client, entry, "still there")
        self.assertEqual(streamed.text, expected_text("still there", 5))
        self.assertEqual(booked.outcome, "done")
