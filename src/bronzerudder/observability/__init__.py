"""Logs, metrics and traces.

The exports are imported on first use, so that a process loads only what its role needs.
"""

from __future__ import annotations

import importlib
from typing import Any

_MODULES = {
    "AdminApp": "bronzerudder.observability.admin",
    "Tracing": "bronzerudder.observability.traces",
    "configure_logs": "bronzerudder.observability.logs",
    "log_event": "bronzerudder.observability.logs",
}

__all__ = ["AdminApp", "Tracing", "configure_logs", "log_event"]


def __getattr__(name: str) -> Any:
    module = _MODULES.get(name)
    if module is None:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(importlib.import_module(module), name)
