"""Structured log lines that are bounded in volume and never block the process."""

from __future__ import annotations

import os
import time
from typing import Any

import msgspec
import xxhash

DEFAULT_LINES_PER_S = 200.0
"""Log lines per second of one process; encoding at this rate takes less than 1% of a core."""
RESERVED_FRACTION = 0.5
"""Fraction of the line budget reserved for lines that are not routine, such as failures."""
MAX_PENDING_BYTES = 262_144
"""Limit of the lines buffered for a slow reader; further lines are dropped and counted."""
SUMMARY_INTERVAL_S = 1.0
SAMPLE_RANGE = 1 << 32


class EventLog:
    """Writes JSON lines to a file descriptor without waiting for its reader.

    Parameters
    ----------
    process : dict
        Fields added to every line: role and name.
    descriptor : int
        File descriptor to write to; set to non-blocking.
    lines_per_s : float
        Line budget of the process per second.
    sample_share : float
        Fraction of requests whose routine lines are kept. Sampling hashes the request's id, so that
        all processes keep the same requests.
    """

    def __init__(
        self,
        process: dict[str, str],
        descriptor: int,
        lines_per_s: float = DEFAULT_LINES_PER_S,
        sample_share: float = 1.0,
    ) -> None:
        self._process = process
        self._descriptor = descriptor
        self._rate = lines_per_s
        self._line_allowance = lines_per_s
        self._refilled_at_s = time.monotonic()
        self._sample_threshold = int(sample_share * SAMPLE_RANGE)
        self._pending: list[bytes] = []
        self._pending_bytes = 0
        self._dropped = 0
        self._dropped_since_summary = 0
        self._summary_at_s = 0.0
        self._encoder = msgspec.json.Encoder(enc_hook=str)
        os.set_blocking(descriptor, False)

    @property
    def dropped(self) -> int:
        """Lines dropped so far: over budget, buffer full, or pipe closed by the reader."""
        return self._dropped

    def routine(self, event: str, request_id: str, **fields: Any) -> None:
        """Log an ordinary step of a request if the request is sampled and the budget allows it."""
        if xxhash.xxh32_intdigest(request_id.encode()) >= self._sample_threshold:
            return
        if self._refill() < self._rate * RESERVED_FRACTION:
            self._count_drop()
            return
        self._write(event, {"request": request_id, **fields})

    def failure(self, event: str, request_id: str, **fields: Any) -> None:
        """Log a failure of a request if the budget allows it."""
        self._emit(event, {"request": request_id, **fields})

    def state(self, event: str, **fields: Any) -> None:
        """Log a change of the process's own state or of its view of others."""
        self._emit(event, fields)

    def flush(self) -> None:
        """Write buffered lines until the reader would block."""
        while self._pending:
            line = self._pending[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the pipe: the buffered lines are dropped, and counted.
                self._dropped += len(self._pending)
                self._pending.clear()
                self._pending_bytes = 0
                return
            self._pending_bytes -= written
            if written < len(line):
                self._pending[0] = line[written:]
                return
            del self._pending[0]

    def _emit(self, event: str, fields: dict[str, Any]) -> None:
        if self._refill() < 1.0:
            self._count_drop()
            return
        self._write(event, fields)

    def _write(self, event: str, fields: dict[str, Any]) -> None:
        self._line_allowance -= 1.0
        now_s = time.monotonic()
        if self._dropped_since_summary and now_s >= self._summary_at_s:
            self._summarize(now_s)
        if not self._append(event, fields, now_s):
            self._count_drop()
        self.flush()

    def _summarize(self, now_s: float) -> None:
        """Log how many lines were dropped; if the buffer is full, a later line tries again."""
        if self._append("lines left out", {"count": self._dropped_since_summary}, now_s):
            self._dropped_since_summary = 0
            self._summary_at_s = now_s + SUMMARY_INTERVAL_S

    def _append(self, event: str, fields: dict[str, Any], now_s: float) -> bool:
        """Buffer a line for the reader; return False if the buffer is full."""
        line = {
            "time_s": round(time.time(), 4),
            "steady_s": round(now_s, 4),
            **self._process,
            "event": event,
            **fields,
        }
        data = self._encoder.encode(line) + b"\n"
        if self._pending_bytes + len(data) > MAX_PENDING_BYTES:
            return False
        self._pending.append(data)
        self._pending_bytes += len(data)
        return True

    def _refill(self) -> float:
        now_s = time.monotonic()
        refill = (now_s - self._refilled_at_s) * self._rate
        self._refilled_at_s = now_s
        self._line_allowance = min(self._rate, self._line_allowance + refill)
        return self._line_allowance

    def _count_drop(self) -> None:
        self._dropped += 1
        self._dropped_since_summary += 1
