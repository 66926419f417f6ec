"""Serving HTTP: listeners, the server loop and small answers."""

from __future__ import annotations

from bronzerudder.web.listener import announce_listening, bind_listener, format_address
from bronzerudder.web.request import BodyTooLarge, CallerGone, read_body, read_headers
from bronzerudder.web.response import send_body, send_json, send_text
from bronzerudder.web.server import serve_http

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
