"""Compares a session of callers through all processes with its golden file."""

from __future__ import annotations

import json
import re
from typing import NamedTuple

import httpx
from approvaltests import verify

from bench.harness import Deployment, Shape
from tests.processes.case import ProcessTestCase

CHAT = "/v1/chat/completions"
BOOKINGS = "/bookings"
SHOWN_HEADERS = (
    "content-type",
    "bronzerudder-outcome",
    "bronzerudder-replayed",
    "retry-after",
)
# The only text that differs between runs: the address of a refused connection.
ADDRESS = re.compile(r"127\.0\.0\.1:\d+")


class Step(NamedTuple):
    """One request of the session; ``fault`` is set on the platform before it."""

    title: str
    path: str
    body: str
    headers: dict[str, str] = {}
    fault: dict[str, bool] | None = None


def chat(content: str, **more: object) -> str:
    """Build the body of a completion."""
    messages = [{"role": "user", "content": content}]
    return json.dumps({"messages": messages, "max_tokens": 3, **more})


SESSION = (
    Step("a streamed completion", CHAT, chat("Is Friday free?", stream=True)),
    Step("a stream resumed after its second token", CHAT, chat("Is Friday free?", stream=True),
         {"last-event-id": "2"}),
    Step("a whole completion", CHAT, chat("Is Friday free?")),
    Step("a booking", BOOKINGS, '{"slot": 1}', {"idempotency-key": "a"}),
    Step("the booking repeated", BOOKINGS, '{"slot": 1}', {"idempotency-key": "a"}),
    Step("its key for another booking", BOOKINGS, '{"slot": 2}', {"idempotency-key": "a"}),
    Step("a booking without a key", BOOKINGS, '{"slot": 3}'),
    Step("a booking with the platform down", BOOKINGS, '{"slot": 4}', {"idempotency-key": "b"},
         {"down": True}),
    Step("a completion with the platform down", CHAT, chat("Still there?")),
    Step("no route", "/elsewhere", ""),
    Step("not a completion", CHAT, "{"),
    Step("a timeout that is none", BOOKINGS, "{}", {"bronzerudder-timeout-s": "soon"}),
)  # fmt: skip


class CallerSessionTest(ProcessTestCase):
    async def test_the_session_is_as_approved(self):
        with Deployment(Shape(engines=1, services=1)) as deployment:
            async with httpx.AsyncClient() as client:
                parts = [await self._run_step(client, deployment, step) for step in SESSION]
        verify(ADDRESS.sub("HOST", "\n".join(parts)))

    async def _run_step(self, client, deployment, step):
        if step.fault is not None:
            control = f"http://{deployment.platform.address}/control/faults/*"
            (await client.put(control, json=step.fault)).raise_for_status()
        answer = await client.post(
            f"http://{deployment.entries[0].address}{step.path}",
            content=step.body,
            headers={"bronzerudder-workspace": "w", **step.headers},
        )
        sent = "".join(f"{name}: {value}\n" for name, value in step.headers.items())
        got = [
            f"{name}: {answer.headers[name]}" for name in SHOWN_HEADERS if name in answer.headers
        ]
        lines = [f"# {step.title}", f"POST {step.path}\n{sent}{step.body}", "",
                 str(answer.status_code), *got, answer.text.rstrip(), ""]  # fmt: skip
        return "\n".join(lines)
