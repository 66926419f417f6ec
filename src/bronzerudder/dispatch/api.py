"""Where the dispatcher delivers an answer."""

from __future__ import annotations

import abc


class AnswerSink(abc.ABC):
    """Takes one answer, in order."""

    @abc.abstractmethod
    async def begin(self, status: int, headers: tuple[tuple[str, str], ...]) -> None:
        """Take the status and headers."""

    @abc.abstractmethod
    async def write(self, payload: bytes) -> None:
        """Take the next part of the body."""
