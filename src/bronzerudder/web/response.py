"""Sends complete answers from ASGI applications."""

from __future__ import annotations

from typing import Any

import msgspec

JSON_TYPE = "application/json"
TEXT_TYPE = "text/plain; charset=utf-8"


async def send_body(
    send: Any, status: int, body: bytes, content_type: str, headers: dict[str, str] | None = None
) -> None:
    """Send a complete answer."""
    fields = {"content-type": content_type, "content-length": str(len(body)), **(headers or {})}
    await send(
        {
            "type": "http.response.start",
            "status": status,
            "headers": [(name.encode(), value.encode("latin-1")) for name, value in fields.items()],
        }
    )
    await send({"type": "http.response.body", "body": body})


async def send_json(send: Any, status: int, value: Any) -> None:
    """Send a value as JSON."""
    await send_body(send, status, msgspec.json.encode(value), JSON_TYPE)


async def send_text(send: Any, status: int, text: str) -> None:
    """Send plain text."""
    await send_body(send, status, text.encode(), TEXT_TYPE)
