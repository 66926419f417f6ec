"""Parses callers' HTTP requests."""

from __future__ import annotations

import math
import uuid
from typing import Any

import anyio
import msgspec
import xxhash

from bronzerudder.caller.errors import BadRequest
from bronzerudder.caller.headers import IDEMPOTENCY_KEY, CallerHeaders
from bronzerudder.dispatch import CallerRequest
from bronzerudder.frames.batches import MAX_PAYLOAD_BYTES
from bronzerudder.observability.traces import TRACEPARENT
from bronzerudder.web import BodyTooLarge, CallerGone, read_body, read_headers

CHARACTERS_PER_TOKEN = 4
DEFAULT_GENERATED_TOKENS = 256
PREFIX_CHARACTERS = 256
MAX_KEY_LENGTH = 255
BODY_TIMEOUT_S = 60.0
"""Time for a whole request body: 4 MB take half of it at 1 Mbit/s."""
COMPLETIONS_SUFFIX = "/completions"
NOT_FORWARDED = frozenset(
    ("connection", "content-length", "host", "keep-alive", "te", "transfer-encoding", "upgrade")
)


class _Message(msgspec.Struct):
    content: str | list[Any] | None = ""


class _Completion(msgspec.Struct):
    messages: list[_Message] = msgspec.field(default_factory=list)
    prompt: str = ""
    model: str = ""
    max_tokens: int = DEFAULT_GENERATED_TOKENS


class RequestReader:
    """Parses HTTP requests to `CallerRequest` objects, with token estimates for routing.

    Parameters
    ----------
    headers : CallerHeaders
        Names of the headers exchanged with callers.
    max_body_bytes : int
        Maximum length of a request body, at most `MAX_PAYLOAD_BYTES`; longer ones are rejected.
    """

    def __init__(self, headers: CallerHeaders, max_body_bytes: int) -> None:
        self._headers = headers
        self._max_body_bytes = min(max_body_bytes, MAX_PAYLOAD_BYTES)
        self._decoder = msgspec.json.Decoder(_Completion)

    async def read(
        self, scope: dict[str, Any], receive: Any, traceparent: str
    ) -> CallerRequest | BadRequest | CallerGone:
        """Read and parse one request."""
        fields = read_headers(scope)
        timeout_s = _parse_timeout(fields.get(self._headers.deadline))
        if isinstance(timeout_s, BadRequest):
            return timeout_s
        key = fields.get(IDEMPOTENCY_KEY, "")
        if len(key) > MAX_KEY_LENGTH:
            return BadRequest(400, f"idempotency key longer than {MAX_KEY_LENGTH} characters")
        length = fields.get("content-length", "")
        if length.isdecimal() and int(length) > self._max_body_bytes:
            return BadRequest(413, f"body longer than {self._max_body_bytes} bytes")
        body: bytes | BodyTooLarge | CallerGone | None = None
        with anyio.move_on_after(BODY_TIMEOUT_S):
            body = await read_body(receive, self._max_body_bytes)
        if body is None:
            return BadRequest(408, f"body not complete within {BODY_TIMEOUT_S:.0f} s")
        if isinstance(body, CallerGone):
            return body
        if isinstance(body, BodyTooLarge):
            return BadRequest(413, f"body longer than {body.limit} bytes")
        completion = self._parse_completion(scope["path"], body)
        if isinstance(completion, BadRequest):
            return completion
        text = _join_prompt(completion)
        prompt_tokens = len(text) // CHARACTERS_PER_TOKEN
        return CallerRequest(
            request_id=uuid.uuid4().hex,
            workspace=fields.get(self._headers.workspace, ""),
            method=scope["method"],
            path=_read_target(scope),
            model=completion.model,
            headers=_select_forwarded(scope["headers"]),
            body=body,
            idempotency_key=key,
            requested_timeout_s=timeout_s,
            traceparent=traceparent or fields.get(TRACEPARENT, ""),
            estimated_tokens=prompt_tokens + completion.max_tokens,
            prompt_tokens=prompt_tokens,
            prefix=xxhash.xxh64_hexdigest(text[:PREFIX_CHARACTERS].encode()) if text else "",
            fingerprint=xxhash.xxh128_hexdigest(scope["path"].encode() + b"\0" + body),
        )

    def _parse_completion(self, path: str, body: bytes) -> _Completion | BadRequest:
        if not path.endswith(COMPLETIONS_SUFFIX):
            return _Completion(max_tokens=1)
        try:
            return self._decoder.decode(body)
        except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as error:
            return BadRequest(400, f"not a completion request: {error}")


def _join_prompt(completion: _Completion) -> str:
    contents = [str(message.content or "") for message in completion.messages]
    return "\n".join((*contents, completion.prompt)).strip()


def _parse_timeout(text: str | None) -> float | None | BadRequest:
    if text is None:
        return None
    try:
        timeout_s = float(text)
    except ValueError:
        timeout_s = math.nan
    if not 0 < timeout_s < math.inf:
        return BadRequest(400, f"timeout {text!r} is not a positive number of seconds")
    return timeout_s


def _read_target(scope: dict[str, Any]) -> str:
    path = scope.get("raw_path", scope["path"].encode()).decode("latin-1").partition("?")[0]
    query = scope.get("query_string", b"").decode("latin-1")
    return f"{path}?{query}" if query else path


def _select_forwarded(headers: list[tuple[bytes, bytes]]) -> tuple[tuple[str, str], ...]:
    forwarded = []
    for raw_name, raw_value in headers:
        name = raw_name.decode("latin-1").lower()
        if name in NOT_FORWARDED or name.startswith(":"):
            continue
        forwarded.append((name, raw_value.decode("latin-1")))
    return tuple(forwarded)
