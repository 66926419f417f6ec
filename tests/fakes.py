"""Fakes shared by several tests."""

from __future__ import annotations

import anyio

from bronzerudder.backend_server import BackendAnswer, BackendCall, BackendError, BackendServer

EVENT_STREAM = (("content-type", "text/event-stream"),)
PLAIN = (("content-type", "text/plain"),)


class ScriptedAnswer(BackendAnswer):
    """Returns the given chunks; an event among them delays the next chunk until it is set."""

    def __init__(self, chunks, headers=EVENT_STREAM, status=200):
        self._chunks = list(chunks)
        self._headers = tuple(headers)
        self._status = status

    @property
    def status(self):
        return self._status

    @property
    def headers(self):
        return self._headers

    async def read(self):
        if not self._chunks:
            return None
        chunk = self._chunks.pop(0)
        if isinstance(chunk, anyio.Event):
            await chunk.wait()
            return await self.read()
        return chunk

    async def close(self):
        return None


class ScriptedBackendServer(BackendServer):
    """Answers each call with the next script: an error, an answer, or the chunks of a stream."""

    def __init__(self, *scripts, headers=EVENT_STREAM):
        self._scripts = list(scripts)
        self._headers = headers
        self.calls: list[BackendCall] = []
        self.cancelled: list[str] = []
        self.probes: list[BackendError | None] = []

    async def open(self, call):
        self.calls.append(call)
        script = self._scripts.pop(0)
        if isinstance(script, BackendError | BackendAnswer):
            return script
        return ScriptedAnswer(script, self._headers)

    async def cancel(self, request_id):
        self.cancelled.append(request_id)

    async def probe(self):
        return self.probes.pop(0) if self.probes else None

    async def close(self):
        return None
