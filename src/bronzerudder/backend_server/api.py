"""Interface of an agent to its backend server."""

from __future__ import annotations

import abc
from typing import NamedTuple

from bronzerudder.backend_server.errors import BackendError


class BackendCall(NamedTuple):
    """One request to the backend server.

    ``request_id`` lets an engine recognize the request when its stream is resumed or cancelled.
    """

    request_id: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


class BackendAnswer(abc.ABC):
    """An answer whose body is still being received."""

    @property
    @abc.abstractmethod
    def status(self) -> int:
        """HTTP status."""

    @property
    @abc.abstractmethod
    def headers(self) -> tuple[tuple[str, str], ...]:
        """HTTP headers."""

    @property
    @abc.abstractmethod
    def framed(self) -> bool:
        """Whether its length or chunks show where it ends, and not only the connection's end."""

    @abc.abstractmethod
    async def read(self) -> bytes | None | BackendError:
        """Read the next chunk of the body; None at its end."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Stop receiving and close the answer."""


class BackendServer(abc.ABC):
    """The backend server that is local to this agent."""

    @abc.abstractmethod
    async def open(self, call: BackendCall) -> BackendAnswer | BackendError:
        """Send a request and wait for the head of its answer."""

    @abc.abstractmethod
    async def cancel(self, request_id: str) -> None:
        """Ask the backend server to stop generating, if it supports that."""

    @abc.abstractmethod
    async def probe(self) -> BackendError | None:
        """Check on a new connection whether the backend server answers.

        Returns
        -------
        BackendError or None
            ``UNREACHABLE`` if its address accepts no connections; ``UNRESPONSIVE`` if that is not
            known, because it did not answer in time.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Close all connections."""
