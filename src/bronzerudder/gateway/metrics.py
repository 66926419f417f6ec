"""Counters and latency histograms of a gateway."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

LATENCY_BUCKETS_S = (0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4)
MAX_ROUTE_LABELS = 64
"""Routes with a label of their own; further ones share one, as there may be thousands."""
OTHER_ROUTES = "other"


class GatewayMetrics:
    """Metrics of one gateway.

    Parameters
    ----------
    registry : CollectorRegistry
        Registry of the metrics.
    """

    def __init__(self, registry: CollectorRegistry) -> None:
        self.requests = Counter(
            "bronzerudder_requests",
            "Requests by route, status and outcome.",
            ("route", "status", "outcome"),
            registry=registry,
        )
        self.first_byte_s = Histogram(
            "bronzerudder_first_byte_seconds",
            "Time from the arrival of a request to the first byte of its answer.",
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        )
        self.duration_s = Histogram(
            "bronzerudder_duration_seconds",
            "Time from the arrival of a request to the end of its answer.",
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        )
        self.queue_s = Histogram(
            "bronzerudder_queue_seconds",
            "Time that a request waited for a slot.",
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        )
        self.gap_s = Histogram(
            "bronzerudder_stream_gap_seconds",
            "Longest pause between two events of a stream.",
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        )
        self.attempts = Counter(
            "bronzerudder_attempts",
            "Requests sent to backend servers, by result.",
            ("service", "result"),
            registry=registry,
        )
        self.refusals = Counter(
            "bronzerudder_refusals", "Refused requests by reason.", ("reason",), registry=registry
        )
        self.retries_denied = Counter(
            "bronzerudder_retries_denied",
            "Retries not made, by reason.",
            ("reason",),
            registry=registry,
        )
        self.retry_wait_s = Histogram(
            "bronzerudder_retry_wait_seconds",
            "Time from the decision to retry a request to its being sent again.",
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        )
        self.limited_servers = Gauge(
            "bronzerudder_limited_servers",
            "Backend servers that have named a limit of the rate of requests.",
            registry=registry,
        )
        self.limited_attempts = Counter(
            "bronzerudder_limited_attempts",
            "Requests sent to backend servers that had named a limit.",
            ("service",),
            registry=registry,
        )
        self.permits = Counter(
            "bronzerudder_permits",
            "Requests for permits to send to backend servers with a limit, by result.",
            ("result",),
            registry=registry,
        )
        self.configuration_version = Gauge(
            "bronzerudder_configuration_version",
            "Version of the configuration in force.",
            registry=registry,
        )
        self.configuration_age_s = Gauge(
            "bronzerudder_configuration_age_seconds",
            "Time since the store last confirmed the configuration.",
            registry=registry,
        )
        self.store_calls = Gauge(
            "bronzerudder_store_calls", "Calls to the store so far.", registry=registry
        )
        self.connections_opened = Gauge(
            "bronzerudder_backend_connections_opened",
            "Connections opened to backend servers so far.",
            registry=registry,
        )
        self.buffered_bytes = Gauge(
            "bronzerudder_buffered_answer_bytes",
            "Bytes buffered of plain answers that are being read, beyond the first 64 KiB of each.",
            registry=registry,
        )
        self.caller_connections = Gauge(
            "bronzerudder_caller_connections",
            "Open connections of callers, readiness checks and readers of metrics.",
            registry=registry,
        )
        self.caller_bytes = Gauge(
            "bronzerudder_caller_bytes",
            "Bytes held of requests, and of answers that callers have not taken yet.",
            registry=registry,
        )
        self.callers_closed = Counter(
            "bronzerudder_callers_closed",
            "Connections of callers closed without an answer to make room for others.",
            registry=registry,
        )
        self.log_lines_dropped = Gauge(
            "bronzerudder_log_lines_dropped", "Log lines dropped so far.", registry=registry
        )
        self.loop_lag_s = Histogram(
            "bronzerudder_event_loop_lag_seconds",
            "Delay of a timer of the event loop.",
            buckets=(0.001, 0.005, 0.02, 0.1, 0.5),
            registry=registry,
        )
        self._labelled_routes: set[str] = set()

    def route_label(self, route: str) -> str:
        """Return the label of a route; the number of labels is bounded."""
        if route in self._labelled_routes:
            return route
        if len(self._labelled_routes) >= MAX_ROUTE_LABELS:
            return OTHER_ROUTES
        self._labelled_routes.add(route)
        return route
