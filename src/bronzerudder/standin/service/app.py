"""The stand-in service as an ASGI application."""

from __future__ import annotations

import json
import sys
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple, TypedDict

import anyio
import msgspec

from bronzerudder.settings import SettingsError, decode_document
from bronzerudder.standin.service.behaviour import Behaviour
from bronzerudder.web import BodyTooLarge, CallerGone, read_body

Scope = dict[str, Any]
Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]

MAX_BODY_BYTES = 4_000_000
_DECLARED_LENGTH = b"1000000"


class Answer(NamedTuple):
    """Status and JSON content of an answer."""

    status: int
    content: Any


class Run(TypedDict):
    """One run of the non-idempotent call; ``number`` counts from 1."""

    number: int
    key: str
    body: str
    finished: bool


class ServiceApp:
    """Books on ``POST /bookings``, lists the runs on ``GET /runs``, and echoes other requests.

    ``PUT /behaviour`` sets a `Behaviour`. Each booking writes a JSON line to standard output before
    it takes effect.
    """

    def __init__(self, name: str, behaviour: Behaviour) -> None:
        self._name = name
        self._behaviour = behaviour
        self._behaviour_set = anyio.Event()
        self._runs: list[Run] = []

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request."""
        if scope["type"] != "http":
            return
        body = await read_body(receive, MAX_BODY_BYTES)
        if isinstance(body, CallerGone):
            return
        if isinstance(body, BodyTooLarge):
            await _respond(send, Answer(413, {"error": "body too large"}))
            return
        target = (scope["method"], scope["path"])
        if target == ("POST", "/bookings"):
            await self._book(_header(scope, b"idempotency-key"), body, send)
            return
        if target == ("GET", "/runs"):
            await _respond(send, Answer(200, {"count": len(self._runs), "runs": self._runs}))
            return
        if target == ("PUT", "/behaviour"):
            await _respond(send, self._set_behaviour(body))
            return
        text = body.decode(errors="replace")
        echo = {"service": self._name, "method": target[0], "path": target[1], "body": text}
        await _respond(send, Answer(200, echo))

    async def _book(self, key: str, body: bytes, send: Send) -> None:
        await self._wait_while_stalled("before")
        if self._behaviour.get("fail") == "before":
            await _respond(send, Answer(503, {"error": "did not run"}))
            return
        run = self._record_run(key, body)
        await anyio.sleep(self._behaviour.get("delay_s", 0.0))
        run["finished"] = True
        await self._wait_while_stalled("after")
        if self._behaviour.get("fail") == "after":
            await _respond(send, Answer(500, {"error": "ran and failed"}))
            return
        if self._behaviour.get("lose_answer"):
            await _send_truncated(send)
            return
        await _respond(send, Answer(201, {"booking": run["number"], "service": self._name}))

    def _record_run(self, key: str, body: bytes) -> Run:
        number = len(self._runs) + 1
        run = Run(number=number, key=key, body=body.decode(errors="replace"), finished=False)
        self._runs.append(run)
        line = {"event": "run", "service": self._name, **run}
        sys.stdout.write(json.dumps(line) + "\n")
        sys.stdout.flush()
        return run

    async def _wait_while_stalled(self, point: str) -> None:
        while self._behaviour.get("stall") == point:
            await self._behaviour_set.wait()

    def _set_behaviour(self, body: bytes) -> Answer:
        decoded = decode_document(body, Behaviour)
        if isinstance(decoded, SettingsError):
            return Answer(400, {"error": str(decoded)})
        self._behaviour = decoded
        self._behaviour_set.set()
        self._behaviour_set = anyio.Event()
        return Answer(200, decoded)


def _header(scope: Scope, name: bytes) -> str:
    for candidate, value in scope["headers"]:
        if candidate == name:
            return value.decode("latin-1")
    return ""


async def _respond(send: Send, answer: Answer) -> None:
    body = msgspec.json.encode(answer.content)
    headers = [
        (b"content-type", b"application/json"),
        (b"content-length", str(len(body)).encode()),
    ]
    await send({"type": "http.response.start", "status": answer.status, "headers": headers})
    await send({"type": "http.response.body", "body": body})


async def _send_truncated(send: Send) -> None:
    headers = [(b"content-length", _DECLARED_LENGTH)]
    await send({"type": "http.response.start", "status": 201, "headers": headers})
    await send({"type": "http.response.body", "body": b"{", "more_body": True})
