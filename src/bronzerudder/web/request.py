"""Reads headers and bodies of ASGI requests."""

from __future__ import annotations

from typing import Any, NamedTuple


class BodyTooLarge(NamedTuple):
    """The body is larger than ``limit`` bytes."""

    limit: int


class CallerGone(NamedTuple):
    """The caller disconnected before the body was complete."""


def read_headers(scope: dict[str, Any]) -> dict[str, str]:
    """Return the headers with names in lower case; the last of a repeated name wins."""
    return {
        name.decode("latin-1").lower(): value.decode("latin-1") for name, value in scope["headers"]
    }


async def read_body(receive: Any, limit: int) -> bytes | BodyTooLarge | CallerGone:
    """Read the complete body, at most ``limit`` bytes."""
    chunks: list[bytes] = []
    size = 0
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return CallerGone()
        chunk = message.get("body", b"")
        size += len(chunk)
        if size > limit:
            return BodyTooLarge(limit)
        chunks.append(chunk)
        if not message.get("more_body", False):
            return b"".join(chunks)
