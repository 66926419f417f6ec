"""Decides whether a request may be sent to a backend server at this moment."""

from __future__ import annotations

import abc


class SendGate(abc.ABC):
    """Limits the rate of the requests that are sent to one backend server."""

    @property
    @abc.abstractmethod
    def is_limited(self) -> bool:
        """Whether the rate is limited at present."""

    @abc.abstractmethod
    def admits(self, now_s: float) -> bool:
        """Whether a request may be sent now."""

    @abc.abstractmethod
    def record_sent(self, now_s: float) -> None:
        """Record that a request is sent."""


class OpenGate(SendGate):
    """Admits every request."""

    @property
    def is_limited(self) -> bool:
        """Whether the rate is limited at present."""
        return False

    def admits(self, now_s: float) -> bool:
        """Whether a request may be sent now."""
        return True

    def record_sent(self, now_s: float) -> None:
        """Record that a request is sent."""


OPEN_GATE = OpenGate()
