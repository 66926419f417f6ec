"""Calls the backend server next to an agent, and the engine of its rank in a lock-step group."""

from __future__ import annotations

from bronzerudder.backend_server.api import BackendAnswer, BackendCall, BackendServer
from bronzerudder.backend_server.errors import BackendError, BackendErrorKind
from bronzerudder.backend_server.http_server import HttpBackendServer

__all__ = [
    "BackendAnswer",
    "BackendCall",
    "BackendError",
    "BackendErrorKind",
    "BackendServer",
    "HttpBackendServer",
]
