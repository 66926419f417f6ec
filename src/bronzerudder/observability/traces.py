"""Records traces with one span per hop."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from opentelemetry import trace
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, SpanProcessor, TracerProvider
from opentelemetry.sdk.trace.export import (
    BatchSpanProcessor,
    SimpleSpanProcessor,
    SpanExporter,
    SpanExportResult,
)
from opentelemetry.sdk.trace.sampling import ParentBasedTraceIdRatio
from opentelemetry.trace import Span
from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator

from bronzerudder.observability.logs import log_event

TRACEPARENT = "traceparent"
EXPORT_INTERVAL_MS = 500
DEFAULT_SAMPLE_RATIO = 0.01


class LogSpanExporter(SpanExporter):
    """Writes each finished span to the log.

    Parameters
    ----------
    write : callable
        Takes a message and named fields.
    """

    def __init__(self, write: Callable[..., None] = log_event) -> None:
        self._write = write

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Write spans; times are in nanoseconds since the epoch."""
        for span in spans:
            context = span.get_span_context()
            self._write(
                "span",
                span=span.name,
                trace_id=f"{context.trace_id:032x}",
                span_id=f"{context.span_id:016x}",
                parent_span_id=f"{span.parent.span_id:016x}" if span.parent else "",
                start_ns=span.start_time,
                end_ns=span.end_time,
                attributes=dict(span.attributes or {}),
            )
        return SpanExportResult.SUCCESS


def _make_processor(write: Callable[..., None] | None) -> SpanProcessor:
    if write is not None:
        return SimpleSpanProcessor(LogSpanExporter(write))
    return BatchSpanProcessor(LogSpanExporter(), schedule_delay_millis=EXPORT_INTERVAL_MS)


class Tracing:
    """Starts spans that continue the trace of a ``traceparent`` header.

    Parameters
    ----------
    role, name : str
        Role and name of this process.
    sample_ratio : float
        Fraction of the traces started here that are recorded; a sampling decision in
        ``traceparent`` takes precedence.
    write : callable or None
        Called with each span when it ends, in the thread that ends it; None logs spans in batches.
    """

    def __init__(
        self,
        role: str,
        name: str,
        sample_ratio: float = DEFAULT_SAMPLE_RATIO,
        write: Callable[..., None] | None = None,
    ) -> None:
        resource = Resource.create(
            {"service.name": f"bronzerudder-{role}", "service.instance.id": name}
        )
        self._provider = TracerProvider(
            resource=resource, sampler=ParentBasedTraceIdRatio(sample_ratio)
        )
        self._provider.add_span_processor(_make_processor(write))
        self._tracer = self._provider.get_tracer("bronzerudder")
        self._propagator = TraceContextTextMapPropagator()

    def start(self, name: str, traceparent: str, **attributes: str | int) -> Span:
        """Start a span; the caller ends it."""
        context = self._propagator.extract({TRACEPARENT: traceparent})
        return self._tracer.start_span(name, context=context, attributes=attributes)

    def format_traceparent(self, span: Span) -> str:
        """Return the ``traceparent`` value with which the next hop continues the trace."""
        carrier: dict[str, str] = {}
        self._propagator.inject(carrier, trace.set_span_in_context(span))
        return carrier.get(TRACEPARENT, "")

    def close(self) -> None:
        """Export the spans that are still buffered."""
        self._provider.shutdown()
