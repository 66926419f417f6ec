"""Logs, metrics and traces."""

from __future__ import annotations

from bronzerudder.observability.admin import AdminApp
from bronzerudder.observability.logs import configure_logs, log_event
from bronzerudder.observability.traces import Tracing

__all__ = ["AdminApp", "Tracing", "configure_logs", "log_event"]
