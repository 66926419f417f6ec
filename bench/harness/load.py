"""Sends requests as callers do, and returns the answers with their outcomes."""

from __future__ import annotations

import itertools
from typing import Any, NamedTuple

import anyio
import httpx
import msgspec

from bronzerudder.standin.engine.batch import token_text

OUTCOME_HEADER = "bronzerudder-outcome"
WORKSPACE_HEADER = "bronzerudder-workspace"
COMPLETIONS_PATH = "/v1/chat/completions"
BOOKINGS_PATH = "/bookings"
TERMINATOR = "[DONE]"
NO_ANSWER = "no-answer"
CLIENT_TIMEOUT_S = 60.0


class StreamResult(NamedTuple):
    """Answer to a streamed completion; times are in seconds since the request.

    ``outcome`` is the reported outcome, or ``no-answer`` if the connection ended without one.
    """

    prompt: str
    outcome: str
    text: str
    event_ids: tuple[int, ...]
    token_times: tuple[float, ...]
    problem: dict[str, Any]


class CallResult(NamedTuple):
    """Answer to a plain call."""

    label: str
    status: int
    outcome: str
    body: bytes
    headers: dict[str, str]


def open_client() -> httpx.AsyncClient:
    """Open a caller's client."""
    limits = httpx.Limits(max_connections=None, max_keepalive_connections=256)
    return httpx.AsyncClient(timeout=CLIENT_TIMEOUT_S, limits=limits, trust_env=False)


def expected_text(prompt: str, tokens: int) -> str:
    """Return the complete answer that every stand-in engine gives to a prompt."""
    return "".join(f"{token_text(prompt, index)} " for index in range(tokens))


def find_gaps_s(result: StreamResult) -> list[float]:
    """Return the times between tokens, in seconds."""
    return [later - earlier for earlier, later in itertools.pairwise(result.token_times)]


def find_longest_gap_s(result: StreamResult) -> float:
    """Return the longest time between two tokens, in seconds; 0 where there are none."""
    return max(find_gaps_s(result), default=0.0)


async def stream_completion(
    client: httpx.AsyncClient, address: str, prompt: str, tokens: int, workspace: str = "w"
) -> StreamResult:
    """Send one streamed completion and read its answer to the end."""
    body = {"messages": [{"content": prompt}], "stream": True, "max_tokens": tokens}
    started_at = anyio.current_time()
    texts: list[str] = []
    ids: list[int] = []
    times: list[float] = []
    outcome, problem = NO_ANSWER, {}
    try:
        async with client.stream(
            "POST",
            f"http://{address}{COMPLETIONS_PATH}",
            json=body,
            headers={WORKSPACE_HEADER: workspace},
        ) as answer:
            if answer.headers.get(OUTCOME_HEADER):
                outcome = answer.headers[OUTCOME_HEADER]
                problem = msgspec.json.decode(await answer.aread())
            event = ""
            async for line in answer.aiter_lines():
                if line.startswith("event: "):
                    event = line.removeprefix("event: ")
                elif line.startswith("id: "):
                    ids.append(int(line.removeprefix("id: ")))
                elif line.startswith(f": {OUTCOME_HEADER}="):
                    outcome = line.partition("=")[2]
                elif line.startswith("data: ") and event == "error":
                    problem = msgspec.json.decode(line.removeprefix("data: "))
                    outcome = problem["outcome"]
                elif line.startswith("data: ") and line != f"data: {TERMINATOR}":
                    delta = msgspec.json.decode(line.removeprefix("data: "))
                    texts.append(delta["choices"][0]["delta"]["content"])
                    times.append(anyio.current_time() - started_at)
    except httpx.HTTPError as error:
        problem = {"detail": repr(error)}
    return StreamResult(prompt, outcome, "".join(texts), tuple(ids), tuple(times), problem)


async def call_service(
    client: httpx.AsyncClient,
    address: str,
    label: str,
    key: str = "",
    timeout_s: float | None = None,
) -> CallResult:
    """Send one booking; ``label`` is its body and identifies it in the service's record."""
    headers = {WORKSPACE_HEADER: "w"}
    if key:
        headers["idempotency-key"] = key
    if timeout_s is not None:
        headers["bronzerudder-timeout-s"] = str(timeout_s)
    try:
        answer = await client.post(
            f"http://{address}{BOOKINGS_PATH}", json={"label": label}, headers=headers
        )
    except httpx.HTTPError as error:
        return CallResult(label, 0, NO_ANSWER, repr(error).encode(), {})
    outcome = answer.headers.get(OUTCOME_HEADER, NO_ANSWER)
    return CallResult(label, answer.status_code, outcome, answer.content, dict(answer.headers))
