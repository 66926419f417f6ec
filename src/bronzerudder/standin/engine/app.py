"""HTTP interface of the stand-in engine."""

from __future__ import annotations

import os
from collections.abc import AsyncIterator
from typing import Any

import msgspec

from bronzerudder.standin.engine.batch import ContinuousBatch, Prompt, Stream, token_text
from bronzerudder.standin.engine.settings import EngineSettings
from bronzerudder.web import read_body, read_headers, send_json

MAX_BODY_BYTES = 4_000_000
DEFAULT_MAX_TOKENS = 32
CRASH_EXIT_CODE = 70
EVENT_STREAM = b"text/event-stream"


class EngineApp:
    """Serves chat completions, cancellations, load, runs, health checks and injected faults."""

    def __init__(self, settings: EngineSettings, batch: ContinuousBatch) -> None:
        self._settings = settings
        self._batch = batch
        self._streams: dict[str, Stream] = {}
        self._runs: list[str] = []
        self._routes = {
            "/v1/chat/completions": self._complete,
            "/cancel": self._cancel,
            "/load": self._load,
            "/faults": self._set_fault,
            "/runs": self._list_runs,
            "/healthz": self._health,
        }

    async def __call__(self, scope: dict[str, Any], receive: Any, send: Any) -> None:
        """Serve one request."""
        handler = self._routes.get(scope["path"])
        if handler is None:
            await send_json(send, 404, {"error": "no such path"})
            return
        body = await read_body(receive, MAX_BODY_BYTES)
        if not isinstance(body, bytes):
            await send_json(send, 413, {"error": "body too large"})
            return
        await handler(read_headers(scope), body, send)

    async def _health(self, headers: dict[str, str], body: bytes, send: Any) -> None:
        await send_json(send, 200, {"state": "up"})

    async def _list_runs(self, headers: dict[str, str], body: bytes, send: Any) -> None:
        await send_json(send, 200, self._runs)

    async def _load(self, headers: dict[str, str], body: bytes, send: Any) -> None:
        report = {
            "running": self._batch.running,
            "waiting": self._batch.waiting,
            "outstanding_tokens": self._batch.outstanding_tokens,
            "cached_prefixes": self._batch.cached_prefixes,
        }
        await send_json(send, 200, report)

    async def _set_fault(self, headers: dict[str, str], body: bytes, send: Any) -> None:
        self._batch.stall(float(msgspec.json.decode(body).get("stall_s", 0)))
        await send_json(send, 200, {})

    async def _cancel(self, headers: dict[str, str], body: bytes, send: Any) -> None:
        stream = self._streams.get(msgspec.json.decode(body)["request_id"])
        if stream is not None:
            stream.cancel()
        await send_json(send, 200, {"cancelled": stream is not None})

    async def _complete(self, headers: dict[str, str], body: bytes, send: Any) -> None:
        try:
            request = msgspec.json.decode(body)
            text = " ".join(message["content"] for message in request["messages"])
        except (msgspec.DecodeError, KeyError, TypeError):
            await send_json(send, 400, {"error": "not a chat completion request"})
            return
        crash_text = self._settings.get("crash_text")
        if crash_text and crash_text in text:
            os._exit(CRASH_EXIT_CODE)
        first_token = int(headers.get("last-event-id", "0"))
        stream = self._find_or_start(headers.get("x-request-id", ""), text, request, first_token)
        if request.get("stream", False):
            await self._send_stream(stream, first_token, send)
            return
        await self._send_complete(stream, send)

    def _find_or_start(self, request_id: str, text: str, request: Any, first_token: int) -> Stream:
        found = self._streams.get(request_id)
        if found is not None and request_id:
            return found
        default = self._settings.get("default_max_tokens", DEFAULT_MAX_TOKENS)
        max_tokens = int(request.get("max_tokens", default))
        stream = Stream(Prompt(request_id, text, max_tokens, first_token))
        self._streams[request_id] = stream
        self._runs.append(request_id)
        self._batch.add(stream)
        return stream

    async def _send_stream(self, stream: Stream, first_token: int, send: Any) -> None:
        headers = [(b"content-type", EVENT_STREAM)]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        async for event in self._events(stream, first_token):
            await send({"type": "http.response.body", "body": event, "more_body": True})
        self._streams.pop(stream.prompt.request_id, None)
        await send({"type": "http.response.body", "body": b""})

    async def _events(self, stream: Stream, first_token: int) -> AsyncIterator[bytes]:
        sent = first_token
        while True:
            await stream.wait_beyond(sent)
            if stream.cancelled:
                return
            while sent < stream.produced:
                content = token_text(stream.prompt.text, sent) + " "
                choice = {"index": 0, "delta": {"content": content}}
                sent += 1
                yield b"id: %d\ndata: %s\n\n" % (sent, msgspec.json.encode({"choices": [choice]}))
            if stream.done:
                yield b"data: [DONE]\n\n"
                return

    async def _send_complete(self, stream: Stream, send: Any) -> None:
        while not stream.done:
            await stream.wait_beyond(stream.produced)
        self._streams.pop(stream.prompt.request_id, None)
        words = [token_text(stream.prompt.text, index) for index in range(stream.prompt.max_tokens)]
        message = {"role": "assistant", "content": " ".join(words)}
        usage = {"completion_tokens": stream.prompt.max_tokens}
        await send_json(send, 200, {"choices": [{"index": 0, "message": message}], "usage": usage})
