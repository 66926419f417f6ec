"""Binds TCP listeners and announces their addresses to the parent process."""

from __future__ import annotations

import json
import socket

BACKLOG = 1024


def bind_listener(host: str, port: int) -> socket.socket:
    """Bind a TCP listener; port 0 selects a free port."""
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, port))
    listener.listen(BACKLOG)
    listener.setblocking(False)
    return listener


def format_address(listener: socket.socket) -> str:
    """Return the listener's ``host:port``."""
    host, port = listener.getsockname()[:2]
    return f"{host}:{port}"


def announce_listening(address: str, **more: str) -> None:
    """Print the addresses of this process as a JSON line for the parent process."""
    print(json.dumps({"event": "listening", "address": address, **more}), flush=True)
