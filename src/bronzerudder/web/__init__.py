"""HTTP on ASGI: listeners, the server, helpers for requests and answers, clients, event streams.

The exports are imported on first use, so that a process loads only the modules that its role needs.
"""

from __future__ import annotations

import importlib
from typing import Any

_MODULES = {
    "BodyTooLarge": "bronzerudder.web.request",
    "CallerGone": "bronzerudder.web.request",
    "announce_listening": "bronzerudder.web.listener",
    "bind_listener": "bronzerudder.web.listener",
    "format_address": "bronzerudder.web.listener",
    "read_body": "bronzerudder.web.request",
    "read_headers": "bronzerudder.web.request",
    "send_body": "bronzerudder.web.response",
    "send_json": "bronzerudder.web.response",
    "send_text": "bronzerudder.web.response",
    "serve_http": "bronzerudder.web.server",
}

__all__ = [
    "BodyTooLarge",
    "CallerGone",
    "announce_listening",
    "bind_listener",
    "format_address",
    "read_body",
    "read_headers",
    "send_body",
    "send_json",
    "send_text",
    "serve_http",
]


def __getattr__(name: str) -> Any:
    module = _MODULES.get(name)
    if module is None:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(importlib.import_module(module), name)
