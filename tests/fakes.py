"""Fakes that several tests share."""

from __future__ import annotations

import anyio

from bronzerudder.backend_server import BackendAnswer, BackendCall, BackendError, BackendServer

EVENT_STREAM = (("content-type", "text/event-stream"),)


class ScriptedAnswer(BackendAnswer):
    """Gives the parts that it was made with."""

    def __init__(self, parts, headers=EVENT_STREAM):
        self._parts = list(parts)
        self._headers = tuple(headers)

    @property
    def status(self):
        return 200

    @property
    def headers(self):
        return self._headers

    async def read(self):
        if not self._parts:
            return None
        part = self._parts.pop(0)
        if isinstance(part, anyio.Event):
            await part.wait()
            return await self.read()
        return part

    async def close(self):
        return None


class ScriptedBackendServer(BackendServer):
    """Answers each call with the next script: an error, or the parts of an answer."""

    def __init__(self, *scripts):
        self._scripts = list(scripts)
        self.calls: list[BackendCall] = []
        self.cancelled: list[str] = []
        self.probes: list[BackendError | None] = []

    async def open(self, call):
        self.calls.append(call)
        script = self._scripts.pop(0)
        if isinstance(script, BackendError):
            return script
        return ScriptedAnswer(script)

    async def cancel(self, request_id):
        self.cancelled.append(request_id)

    async def probe(self):
        return self.probes.pop(0) if self.probes else None

    async def close(self):
        return None
