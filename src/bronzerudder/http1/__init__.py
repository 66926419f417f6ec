"""HTTP/1.1 on sockets, for the data path.

It shows what a proxy has to know and a client library hides: whether a byte of a request was sent,
whether an idle connection was closed or has bytes that nobody asked for, and how to end an answer
as cut.
"""

from __future__ import annotations

from bronzerudder.http1.client import ClientPool, Exchange, ResponseHead
from bronzerudder.http1.errors import HttpError, HttpErrorKind
from bronzerudder.http1.server import HttpServer, Request, ResponseWriter, ServerLimits
from bronzerudder.http1.sockets import Connection, TransportError, connect, listen

__all__ = [
    "ClientPool",
    "Connection",
    "Exchange",
    "HttpError",
    "HttpErrorKind",
    "HttpServer",
    "Request",
    "ResponseHead",
    "ResponseWriter",
    "ServerLimits",
    "TransportError",
    "connect",
    "listen",
]
