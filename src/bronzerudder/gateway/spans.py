"""Spans of requests and their attempts, if tracing is enabled."""

from __future__ import annotations

import abc
from collections.abc import Callable
from typing import Any

TRACEPARENT = b"traceparent"


class OpenSpan(abc.ABC):
    """A span that has begun."""

    @property
    @abc.abstractmethod
    def traceparent(self) -> str:
        """Header value that continues the trace at the next hop; empty for none."""

    @abc.abstractmethod
    def end(self, **attributes: str | int) -> None:
        """End the span."""


class SpanSource(abc.ABC):
    """Begins spans."""

    @abc.abstractmethod
    def begin(self, name: str, traceparent: str, **attributes: str | int) -> OpenSpan:
        """Begin a span as a child of `traceparent`, or a new trace if it is empty."""


class _NoSpan(OpenSpan):
    @property
    def traceparent(self) -> str:
        """Always empty."""
        return ""

    def end(self, **attributes: str | int) -> None:
        """Do nothing."""


class NoSpans(SpanSource):
    """Tracing is disabled: spans are not recorded."""

    def begin(self, name: str, traceparent: str, **attributes: str | int) -> OpenSpan:
        """Return a span that is never recorded."""
        del name, traceparent, attributes
        return _NO_SPAN


_NO_SPAN = _NoSpan()


class RecordedSpans(SpanSource):
    """Spans of OpenTelemetry, written as log lines.

    Parameters
    ----------
    name : str
        Name of this gateway.
    share : float
        Fraction of new traces that is recorded; a caller's sampling decision takes precedence.
    write : callable
        Called with the name and fields of each span that has ended.
    """

    def __init__(self, name: str, share: float, write: Callable[..., None]) -> None:
        # Imported here, so that the library takes no memory while tracing is disabled.
        from bronzerudder.observability.traces import Tracing

        self._tracing = Tracing("gateway", name, share, write)

    def begin(self, name: str, traceparent: str, **attributes: str | int) -> OpenSpan:
        """Begin a span."""
        return _RecordedSpan(self._tracing, name, traceparent, attributes)


class _RecordedSpan(OpenSpan):
    def __init__(
        self, tracing: Any, name: str, traceparent: str, attributes: dict[str, str | int]
    ) -> None:
        self._tracing = tracing
        self._span = tracing.start(name, traceparent, **attributes)

    @property
    def traceparent(self) -> str:
        """Header value of this span."""
        return self._tracing.format_traceparent(self._span)

    def end(self, **attributes: str | int) -> None:
        """End the span."""
        self._span.set_attributes(attributes)
        self._span.end()
