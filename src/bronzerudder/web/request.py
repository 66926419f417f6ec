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
    body = bytearray()
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return CallerGone()
        body += message.get("body", b"")
        if len(body) > limit:
            return BodyTooLarge(limit)
        if not message.get("more_body", False):
            return bytes(body)
