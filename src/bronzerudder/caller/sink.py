"""Sends an answer and its outcome to the caller."""

from __future__ import annotations

import math
from typing import Any

import msgspec

from bronzerudder.caller.headers import RETRY_AFTER, CallerHeaders
from bronzerudder.caller.problem import PROBLEM_TYPE, build_problem
from bronzerudder.dispatch import AnswerSink, Outcome, OutcomeKind
from bronzerudder.web import send_body
from bronzerudder.web.event_stream import is_event_stream


class CallerSink(AnswerSink):
    """Streams server-sent events as they arrive; buffers any other answer until it is complete.

    Buffering allows the outcome to be sent as a header, and an incomplete answer to be replaced by
    an error.
    """

    def __init__(self, send: Any, headers: CallerHeaders) -> None:
        self._send = send
        self._headers = headers
        self._status = 0
        self._fields: tuple[tuple[str, str], ...] = ()
        self._streaming = False
        self._body = bytearray()

    async def begin(self, status: int, headers: tuple[tuple[str, str], ...]) -> None:
        """Receive the status and headers."""
        self._status = status
        self._fields = headers
        self._streaming = is_event_stream(headers)
        if self._streaming:
            await self._start(headers)

    async def write(self, payload: bytes) -> None:
        """Receive the next part of the body."""
        if not self._streaming:
            self._body += payload
            return
        await self._send({"type": "http.response.body", "body": payload, "more_body": True})

    async def conclude(self, outcome: Outcome) -> None:
        """Send the outcome; called exactly once."""
        if self._streaming:
            await self._conclude_stream(outcome)
            return
        if outcome.kind is OutcomeKind.DONE:
            await self._send_complete(outcome)
            return
        await self._send_problem(outcome)

    async def _conclude_stream(self, outcome: Outcome) -> None:
        last_chunk = f": {self._headers.outcome}={outcome.kind.value}\n\n".encode()
        if outcome.kind is not OutcomeKind.DONE:
            last_chunk = b"event: error\ndata: %s\n\n" % msgspec.json.encode(build_problem(outcome))
        await self._send({"type": "http.response.body", "body": last_chunk})

    async def _send_complete(self, outcome: Outcome) -> None:
        fields = [*self._fields, (self._headers.outcome, outcome.kind.value)]
        if outcome.replayed:
            fields.append((self._headers.replayed, "true"))
        body = bytes(self._body)
        fields.append(("content-length", str(len(body))))
        await self._start(tuple(fields))
        await self._send({"type": "http.response.body", "body": body})

    async def _send_problem(self, outcome: Outcome) -> None:
        fields = {self._headers.outcome: outcome.kind.value}
        if outcome.retry_after_s > 0:
            fields[RETRY_AFTER] = str(math.ceil(outcome.retry_after_s))
        body = msgspec.json.encode(build_problem(outcome))
        await send_body(self._send, outcome.status, body, PROBLEM_TYPE, fields)

    async def _start(self, headers: tuple[tuple[str, str], ...]) -> None:
        encoded = [(name.encode("latin-1"), value.encode("latin-1")) for name, value in headers]
        await self._send(
            {"type": "http.response.start", "status": self._status, "headers": encoded}
        )
