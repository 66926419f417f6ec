"""Tests of callers that do not read their answers."""

from __future__ import annotations

import unittest
from unittest import mock

import anyio
from prometheus_client import CollectorRegistry

from bronzerudder.caller import CallerApp, CallerHeaders
from bronzerudder.dispatch import Outcome, OutcomeKind
from bronzerudder.observability import Tracing

TIMEOUT_S = 5.0
SCOPE = {"type": "http", "method": "POST", "path": "/x", "headers": []}


class AnsweringDispatcher:
    """Answers each request with the given headers and a short body."""

    def __init__(self, headers):
        self._headers = headers

    async def serve(self, request, sink):
        await sink.begin(200, self._headers)
        return Outcome(OutcomeKind.DONE, 200)


class StalledCallerTest(unittest.IsolatedAsyncioTestCase):
    @mock.patch("bronzerudder.caller.app.SEND_TIMEOUT_S", 0.05)
    async def test_a_request_ends_although_its_caller_does_not_read(self):
        for headers in ((), (("content-type", "text/event-stream"),)):
            dispatcher = AnsweringDispatcher(headers)
            tracing, registry = Tracing("entry", "e", 0.0), CollectorRegistry()
            app = CallerApp(dispatcher, CallerHeaders(), 100, tracing, registry)
            messages = [{"type": "http.request", "body": b"", "more_body": False}]

            async def receive(messages=messages):
                while not messages:
                    await anyio.sleep_forever()
                return messages.pop()

            async def send(message):
                if message["type"] == "http.response.body":
                    await anyio.sleep_forever()

            with self.subTest(headers), anyio.fail_after(TIMEOUT_S):
                await app(SCOPE, receive, send)


if __name__ == "__main__":
    unittest.main()
