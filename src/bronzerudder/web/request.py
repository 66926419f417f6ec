"""Reads requests of an ASGI server."""

from __future__ import annotations

from typing import Any, NamedTuple


class BodyTooLarge(NamedTuple):
    """The body exceeded the limit, in bytes."""

    limit: int


class CallerGone(NamedTuple):
    """The connection closed before the whole body had arrived."""


def read_headers(scope: dict[str, Any]) -> dict[str, str]:
    """Return the headers with names in lower case; the last of a repeated name wins."""
    return {
        name.decode("latin-1").lower(): value.decode("latin-1") for name, value in scope["headers"]
    }


async def read_body(receive: Any, limit: int) -> bytes | BodyTooLarge | CallerGone:
    """Read the whole body, at most ``limit`` bytes."""
    parts: list[bytes] = []
    size = 0
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return CallerGone()
        part = message.get("body", b"")
        size += len(part)
        if size > limit:
            return BodyTooLarge(limit)
        parts.append(part)
        if not message.get("more_body", False):
            return b"".join(parts)
