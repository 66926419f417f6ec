"""Tests of requests whose bodies are too long, or do not end."""

from __future__ import annotations

import unittest
from unittest import mock

import anyio

from bronzerudder.caller.errors import BadRequest
from bronzerudder.caller.headers import CallerHeaders
from bronzerudder.caller.reader import RequestReader
from bronzerudder.frames.batches import MAX_MESSAGE_BYTES

TIMEOUT_S = 5.0
SCOPE = {"method": "POST", "path": "/x", "headers": []}


class RequestReaderTest(unittest.IsolatedAsyncioTestCase):
    async def read(self, receive, max_body_bytes=4_000_000):
        reader = RequestReader(CallerHeaders(), max_body_bytes)
        with anyio.fail_after(TIMEOUT_S):
            return await reader.read(SCOPE, receive, "")

    @mock.patch("bronzerudder.caller.reader.BODY_TIMEOUT_S", 0.05)
    async def test_a_body_that_trickles_without_end_is_rejected(self):
        async def receive():
            await anyio.sleep(0.001)
            return {"type": "http.request", "body": b"", "more_body": True}

        result = await self.read(receive)
        self.assertIsInstance(result, BadRequest)
        self.assertEqual(result.status, 408)

    async def test_a_body_that_fits_no_message_to_an_agent_is_rejected(self):
        async def receive():
            return {"type": "http.request", "body": bytes(MAX_MESSAGE_BYTES), "more_body": False}

        result = await self.read(receive, max_body_bytes=2 * MAX_MESSAGE_BYTES)
        self.assertIsInstance(result, BadRequest)
        self.assertEqual(result.status, 413)


if __name__ == "__main__":
    unittest.main()
