"""HTTP/1.1 client and server on non-blocking sockets, for the data path; h11 does the parsing.

Unlike common HTTP libraries it reports what a proxy needs to know: whether any byte of a request
was sent (if not, it can safely be retried), and whether an idle connection was closed or has
received unexpected bytes (so that it must not be reused). It can also end an answer so that the
caller sees it as incomplete.
"""

from __future__ import annotations

from bronzerudder.http1.addresses import parse_address
from bronzerudder.http1.client import ClientPool, Exchange, ResponseHead, contains_response_head
from bronzerudder.http1.errors import HttpError, HttpErrorKind
from bronzerudder.http1.server import Handler, HttpServer, Request, ResponseWriter, ServerLimits
from bronzerudder.http1.sockets import Connection, TransportError, connect, listen

__all__ = [
    "ClientPool",
    "Connection",
    "Exchange",
    "Handler",
    "HttpError",
    "HttpErrorKind",
    "HttpServer",
    "Request",
    "ResponseHead",
    "ResponseWriter",
    "ServerLimits",
    "TransportError",
    "connect",
    "contains_response_head",
    "listen",
    "parse_address",
]
