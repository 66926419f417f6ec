"""The promises that the soak checks, by what callers and backend servers saw."""

from __future__ import annotations

from collections import Counter
from typing import NamedTuple

from bench.harness.fleet import Fleet
from bench.soak.callers import CUT, DEADLINE_S, Result
from bronzerudder.platform import wire

PROMISES = (408, 421, 429, 503)
ONCE_KINDS = ("book", "once")
DENIALS = (401, 403, 404)
DEADLINE_SLACK_S = 0.1
REVOKED_FOR_S = 10.0
"""A caller may be denied for so long after its key was taken away and given back."""


class Disturbance(NamedTuple):
    """When something was disturbed from outside.

    Parameters
    ----------
    scope : str
        Name of a gateway, ``backend`` or ``store``.
    begin_s, end_s : float
        Monotonic times.
    """

    scope: str
    begin_s: float
    end_s: float


class History(NamedTuple):
    """What happened in one run."""

    results: list[Result]
    disturbances: list[Disturbance]
    revoked_at_s: dict[str, float]
    left_at_s: dict[str, float]

    def was_disturbed_since(self, began_s: float) -> bool:
        """Tell whether anything was disturbed at or after a monotonic time."""
        return any(item.end_s >= began_s for item in self.disturbances)


def find_violations(fleet: Fleet, history: History) -> list[str]:
    """Return a line for each broken promise."""
    workers = [*fleet.plain, *fleet.workers]
    runs = Counter(
        (request.header(wire.REQUEST_ID) or b"").decode()
        for worker in workers
        for request in worker.runs
    )
    found = []
    for result in history.results:
        fault = _judge(result, runs[result.request_id], history)
        if fault:
            found.append(f"{fault}: {result}")
    found.extend(_judge_runs(fleet, history))
    found.extend(f"step {step} ran on {len(maps)} maps" for step, maps in fleet.group.mixed_steps)
    return found


def _judge(result: Result, runs: int, history: History) -> str:
    if result.kind in ONCE_KINDS and runs > 1:
        return f"ran {runs} times"
    if result.status in PROMISES and runs:
        return "said not to have run, though it had"
    if result.status == 200 and not runs:
        return "answered without a run"
    if result.status == 200 and result.answers_to != result.request_id:
        return "answer to another request"
    if result.fault:
        return result.fault
    if result.status in DENIALS and not _may_be_denied(result, history):
        return "denied though allowed"
    if result.status == CUT and result.sent and not _was_disturbed(result, history):
        return "no whole answer without a disturbance"
    return ""


def _may_be_denied(result: Result, history: History) -> bool:
    revoked_at_s = history.revoked_at_s.get(result.workspace)
    if result.status != 401 or revoked_at_s is None:
        return False
    return result.ended_at_s < revoked_at_s + REVOKED_FOR_S


def _was_disturbed(result: Result, history: History) -> bool:
    if result.ended_at_s - result.sent_at_s > DEADLINE_S - DEADLINE_SLACK_S:
        return True
    return any(
        disturbance.scope in (result.gateway, "backend")
        and disturbance.begin_s <= result.ended_at_s
        and disturbance.end_s >= result.sent_at_s
        for disturbance in history.disturbances
    )


def _judge_runs(fleet: Fleet, history: History) -> list[str]:
    found = []
    workspaces = {result.request_id: result.workspace for result in history.results}
    for worker in [*fleet.plain, *fleet.workers]:
        left_at_s = history.left_at_s.get(worker.instance_id)
        for request, at_s in zip(worker.runs, worker.run_at_s, strict=True):
            request_id = (request.header(wire.REQUEST_ID) or b"").decode()
            expected = workspaces.get(request_id)
            told = (request.header(wire.WORKSPACE) or b"").decode()
            if expected is not None and told != expected:
                found.append(f"{request_id} ran for workspace {told!r}, not {expected!r}")
            if request.header(wire.API_KEY) is not None:
                found.append(f"{request_id} carried its key to {worker.instance_id}")
            if left_at_s is not None and at_s > left_at_s:
                found.append(f"{request_id} ran at {worker.instance_id}, which had left")
    return found
