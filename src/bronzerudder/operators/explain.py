"""Collects what several processes logged about one request."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, NamedTuple

import msgspec

HEADLINES = {
    "request finished": "answered the caller",
    "request failed": "did not send the caller a complete answer",
    "attempt failed": "an attempt at a backend server failed",
    "request rejected": "could not read the request",
}
HIDDEN_FIELDS = frozenset(("time_s", "steady_s", "role", "name", "event", "request"))
RELATED_WINDOW_S = 5.0
"""State changes up to this long before a request's last line are shown with its lines."""
RELATED_FIELDS = ("instance", "service")


class LogLine(NamedTuple):
    """One line of a process's log.

    Parameters
    ----------
    process : str
        Role and name.
    steady_s : float
        Monotonic clock, comparable only within one process.
    time_s : float
        Wall-clock time, which may differ between hosts.
    event : str
        What was logged.
    fields : dict
        All fields of the line.
    """

    process: str
    steady_s: float
    time_s: float
    event: str
    fields: dict[str, Any]


def read_lines(data: bytes) -> list[LogLine]:
    """Read the lines of a log; skip lines that are not from the event log."""
    lines = []
    for raw in data.splitlines():
        start = raw.find(b"{")
        if start < 0:
            continue
        try:
            fields = msgspec.json.decode(raw[start:], type=dict[str, Any])
            process = f"{fields['role']} {fields['name']}"
            line = LogLine(process, fields["steady_s"], fields["time_s"], fields["event"], fields)
        except (msgspec.DecodeError, KeyError):
            continue
        lines.append(line)
    return lines


def explain(request_id: str, logs: Iterable[list[LogLine]]) -> list[str]:
    """Describe in order the decisions on a request and related state changes shortly before.

    Lines are grouped by process and sorted by the process's monotonic clock, as wall clocks may
    differ between hosts.

    Parameters
    ----------
    request_id : str
        The request's id.
    logs : iterable
        Lines of each process's log.
    """
    output: list[str] = []
    by_process: dict[str, list[LogLine]] = {}
    for lines in logs:
        for line in lines:
            by_process.setdefault(line.process, []).append(line)
    ordered = sorted(by_process.items(), key=lambda item: _first_time(item[1], request_id))
    for process, lines in ordered:
        lines.sort(key=lambda line: line.steady_s)
        own = [line for line in lines if line.fields.get("request") == request_id]
        if not own:
            continue
        output.append(f"{process}:")
        output.extend(_describe_process(own, lines))
    return output


def _describe_process(own: list[LogLine], lines: list[LogLine]) -> list[str]:
    last_s = own[-1].steady_s
    related_values = {
        line.fields[name] for line in own for name in RELATED_FIELDS if name in line.fields
    }
    described = []
    for line in lines:
        is_own = line in own
        if not is_own and not _is_related(line, related_values, last_s):
            continue
        offset_s = line.steady_s - last_s
        mark = "*" if is_own else " "
        headline = HEADLINES.get(line.event, line.event)
        described.append(f"  {mark} {offset_s:+8.3f} s  {headline}: {_format(line.fields)}")
    return described


def _is_related(line: LogLine, related_values: set[Any], last_s: float) -> bool:
    if "request" in line.fields or not last_s - RELATED_WINDOW_S <= line.steady_s <= last_s:
        return False
    return any(line.fields.get(name) in related_values for name in RELATED_FIELDS)


def _first_time(lines: list[LogLine], request_id: str) -> float:
    times = [line.time_s for line in lines if line.fields.get("request") == request_id]
    return min(times, default=float("inf"))


def _format(fields: dict[str, Any]) -> str:
    shown = (f"{name}={value}" for name, value in fields.items() if name not in HIDDEN_FIELDS)
    return ", ".join(shown)
