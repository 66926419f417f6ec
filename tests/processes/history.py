"""Checks on recorded histories of non-idempotent calls."""

from __future__ import annotations

import collections
from collections.abc import Iterable
from typing import Any

from bench.harness import ManagedProcess
from bench.harness.load import CallResult


def find_keys_run_twice(runs: Iterable[dict[str, Any]]) -> list[str]:
    """Return the keys with more than one run in the records of the services."""
    counts = collections.Counter(run["key"] for run in runs if run["key"])
    return sorted(key for key, count in counts.items() if count > 1)


def find_false_not_run(
    runs: Iterable[dict[str, Any]], results: dict[str, list[CallResult]]
) -> list[str]:
    """Return the keys that ran although every call was answered ``not-run``."""
    ran = {run["key"] for run in runs}
    refused = {key for key, calls in results.items() if all(c.outcome == "not-run" for c in calls)}
    return sorted(ran & refused)


def find_differing_answers(results: dict[str, list[CallResult]]) -> list[str]:
    """Return the keys whose calls got different answers."""
    differing = []
    for key, calls in results.items():
        if len({call.body for call in calls if call.outcome == "done"}) > 1:
            differing.append(key)
    return sorted(differing)


def find_without_outcome(results: dict[str, list[CallResult]]) -> list[str]:
    """Return the keys with a call that ended without an outcome."""
    outcomes = ("done", "not-run", "unknown")
    return sorted(
        key for key, calls in results.items() if any(c.outcome not in outcomes for c in calls)
    )


def find_done_without_run(
    runs: Iterable[dict[str, Any]], results: dict[str, list[CallResult]]
) -> list[str]:
    """Return the keys reported ``done`` that no service has run."""
    ran = {run["key"] for run in runs}
    done = {key for key, calls in results.items() if any(c.outcome == "done" for c in calls)}
    return sorted(done - ran)


def service_runs(server: ManagedProcess) -> list[dict[str, Any]]:
    """Return the runs that a service has recorded."""
    return [line for line in server.read_output() if line["event"] == "run"]
