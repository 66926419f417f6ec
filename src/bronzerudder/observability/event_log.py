"""Structured log lines that are bounded in volume and never block the process."""

from __future__ import annotations

import os
import time
from typing import Any

import msgspec
import xxhash

DEFAULT_LINES_PER_S = 200.0
"""Lines a second and process; at this rate encoding takes under a hundredth of a core."""
RESERVED_SHARE = 0.5
"""Part of the budget that routine lines leave to failures."""
MAX_PENDING_BYTES = 262_144
"""Lines held for a reader that is slow; more are dropped and counted."""
SUMMARY_INTERVAL_S = 1.0
SAMPLE_RANGE = 1 << 32


class EventLog:
    """Writes JSON lines to a descriptor without waiting for its reader.

    Parameters
    ----------
    process : dict
        Fields of every line: role and name.
    descriptor : int
        Where to write; made non-blocking.
    lines_per_s : float
        Budget of the process.
    sample_share : float
        Part of the requests whose routine lines are kept. It is decided by a hash of the request's
        id, so that all processes keep the same requests.
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
        self._allowance = lines_per_s
        self._refilled_at_s = time.monotonic()
        self._sampled_below = int(sample_share * SAMPLE_RANGE)
        self._pending: list[bytes] = []
        self._pending_bytes = 0
        self._dropped = 0
        self._dropped_since_summary = 0
        self._summary_at_s = 0.0
        self._encoder = msgspec.json.Encoder(enc_hook=str)
        os.set_blocking(descriptor, False)

    @property
    def dropped(self) -> int:
        """Lines left out so far, over the budget or for a reader that does not read."""
        return self._dropped

    def routine(self, event: str, request_id: str, **fields: Any) -> None:
        """Log an ordinary step of a request, if the request is sampled and the budget allows."""
        if xxhash.xxh32_intdigest(request_id.encode()) >= self._sampled_below:
            return
        if self._refill() < self._rate * RESERVED_SHARE:
            self._count_drop()
            return
        self._write(event, {"request": request_id, **fields})

    def failure(self, event: str, request_id: str, **fields: Any) -> None:
        """Log what went wrong with a request."""
        self._emit(event, {"request": request_id, **fields})

    def state(self, event: str, **fields: Any) -> None:
        """Log a change of what the process believes."""
        self._emit(event, fields)

    def flush(self) -> None:
        """Write what the reader takes now."""
        while self._pending:
            line = self._pending[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads the log any more; the count of dropped lines still tells.
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
        self._allowance -= 1.0
        now_s = time.monotonic()
        if self._dropped_since_summary and now_s >= self._summary_at_s:
            self._summarize(now_s)
        if not self._append(event, fields, now_s):
            self._count_drop()
        self.flush()

    def _summarize(self, now_s: float) -> None:
        """Say how many lines were left out; where this line has no room, the next one will."""
        if self._append("lines left out", {"count": self._dropped_since_summary}, now_s):
            self._dropped_since_summary = 0
            self._summary_at_s = now_s + SUMMARY_INTERVAL_S

    def _append(self, event: str, fields: dict[str, Any], now_s: float) -> bool:
        """Hold a line for the reader; return False where there is no room."""
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
        earned = (now_s - self._refilled_at_s) * self._rate
        self._refilled_at_s = now_s
        self._allowance = min(self._rate, self._allowance + earned)
        return self._allowance

    def _count_drop(self) -> None:
        self._dropped += 1
        self._dropped_since_summary += 1
