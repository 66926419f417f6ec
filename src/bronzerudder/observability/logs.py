"""Writes logs as JSON lines to standard error."""

from __future__ import annotations

import logging as standard_logging
from typing import Any

import msgspec
from absl import flags, logging

_EXTRA = "bronzerudder_fields"


class JsonFormatter(standard_logging.Formatter):
    """Formats a record as one JSON object."""

    def __init__(self, process: dict[str, str]) -> None:
        super().__init__()
        self._process = process

    def format(self, record: standard_logging.LogRecord) -> str:
        """Format one record; the time is in seconds since the epoch."""
        line: dict[str, Any] = {
            "time_s": round(record.created, 6),
            "level": record.levelname.lower(),
            **self._process,
            "message": record.getMessage(),
            **getattr(record, _EXTRA, {}),
        }
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)
        return msgspec.json.encode(line, enc_hook=str).decode()


def configure_logs(role: str, name: str) -> None:
    """Write every log record of this process as a JSON line with the process's role and name."""
    # absl prints a warning before the first record unless its flags have been parsed.
    flags.FLAGS([role])
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    logging.get_absl_handler().setFormatter(JsonFormatter({"role": role, "name": name}))
    for library in ("httpx", "bronzerudder.web"):
        standard_logging.getLogger(library).setLevel(standard_logging.WARNING)


def log_event(message: str, **fields: Any) -> None:
    """Log an event with named fields."""
    logging.get_absl_logger().info(message, extra={_EXTRA: fields})
