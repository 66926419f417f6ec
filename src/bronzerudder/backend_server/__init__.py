"""The backend server as a peer of its agent."""

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
