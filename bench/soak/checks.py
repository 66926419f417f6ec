"""Checks the product's guarantees against what callers and backend servers recorded."""

from __future__ import annotations

from collections import Counter
from typing import NamedTuple

from bench.harness.fleet import Fleet
from bench.soak.callers import DEADLINE_S, INCOMPLETE, Result
from bronzerudder.platform import wire

NOT_RUN_STATUSES = (408, 421, 429, 503)
AT_MOST_ONCE_KINDS = ("book", "once")
DENIED_STATUSES = (401, 403, 404)
DEADLINE_SLACK_S = 0.1
RESTORED_KEY_DENIAL_S = 10.0
"""Time for which a caller may still be denied after its revoked key was restored, in seconds."""


class Disturbance(NamedTuple):
    """Interval in which an injected fault had effect.

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
    """Record of one run.

    Parameters
    ----------
    results : list of Result
        Results of the callers' requests.
    disturbances : list of Disturbance
        When injected faults had effect.
    revoked_until_s : dict
        Monotonic time at which a workspace's revoked key was restored; infinite until then.
    left_at_s : dict
        Monotonic time at which a drained backend server was removed, by instance id; not recorded
        if anything was disturbed during the drain.
    """

    results: list[Result]
    disturbances: list[Disturbance]
    revoked_until_s: dict[str, float]
    left_at_s: dict[str, float]

    def was_disturbed_since(self, started_s: float) -> bool:
        """Return whether anything was disturbed at or after a monotonic time."""
        return any(item.end_s >= started_s for item in self.disturbances)


def find_violations(fleet: Fleet, history: History) -> list[str]:
    """Return a line for each violation of a guarantee."""
    backends = [*fleet.plain_servers, *fleet.model_servers]
    runs = Counter(
        (request.header(wire.REQUEST_ID) or b"").decode()
        for backend in backends
        for request in backend.runs
    )
    found = []
    for result in history.results:
        fault = _check_result(result, runs[result.request_id], history)
        if fault:
            found.append(f"{fault}: {result}")
    found.extend(_check_runs(fleet, history))
    found.extend(f"step {step} ran on {len(maps)} maps" for step, maps in fleet.group.mixed_steps)
    return found


def _check_result(result: Result, runs: int, history: History) -> str:
    if result.kind in AT_MOST_ONCE_KINDS and runs > 1:
        return f"ran {runs} times"
    if result.status in NOT_RUN_STATUSES and runs:
        return "reported as not run, but it ran"
    if result.status == 200 and not runs:
        return "successful answer without a run"
    if result.status == 200 and result.answers_to != result.request_id:
        return "answer to another request"
    if result.fault:
        return result.fault
    if result.status in DENIED_STATUSES and not _denial_expected(result, history):
        return "denied though allowed"
    if result.status == INCOMPLETE and result.sent and not _was_disturbed(result, history):
        return "no complete answer without a disturbance"
    return ""


def _denial_expected(result: Result, history: History) -> bool:
    revoked_until_s = history.revoked_until_s.get(result.workspace)
    if result.status != 401 or revoked_until_s is None:
        return False
    return result.ended_at_s < revoked_until_s + RESTORED_KEY_DENIAL_S


def _was_disturbed(result: Result, history: History) -> bool:
    if result.ended_at_s - result.sent_at_s > DEADLINE_S - DEADLINE_SLACK_S:
        return True
    return any(
        disturbance.scope in (result.gateway, "backend")
        and disturbance.begin_s <= result.ended_at_s
        and disturbance.end_s >= result.sent_at_s
        for disturbance in history.disturbances
    )


def _check_runs(fleet: Fleet, history: History) -> list[str]:
    found = []
    workspaces = {result.request_id: result.workspace for result in history.results}
    for backend in [*fleet.plain_servers, *fleet.model_servers]:
        left_at_s = history.left_at_s.get(backend.instance_id)
        for request, at_s in zip(backend.runs, backend.run_at_s, strict=True):
            request_id = (request.header(wire.REQUEST_ID) or b"").decode()
            expected = workspaces.get(request_id)
            received = (request.header(wire.WORKSPACE) or b"").decode()
            if expected is not None and received != expected:
                found.append(f"{request_id} ran for workspace {received!r}, not {expected!r}")
            if request.header(wire.API_KEY) is not None:
                found.append(f"{request_id} carried its key to {backend.instance_id}")
            if left_at_s is not None and at_s > left_at_s:
                found.append(f"{request_id} ran at {backend.instance_id}, which had left")
    return found
