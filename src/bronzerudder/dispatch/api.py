"""Interface through which the dispatcher delivers an answer."""

from __future__ import annotations

import abc


class AnswerSink(abc.ABC):
    """Receives the parts of one answer in order."""

    @abc.abstractmethod
    async def begin(self, status: int, headers: tuple[tuple[str, str], ...]) -> None:
        """Receive the status and headers."""

    @abc.abstractmethod
    async def write(self, payload: bytes) -> None:
        """Receive the next part of the body."""
