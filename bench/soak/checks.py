"""Checks the product's guarantees against what callers and backend servers recorded."""

from __future__ import annotations

from collections import Counter
from typing import NamedTuple

from bench.harness.fleet import Fleet
from bench.soak.callers import DEADLINE_S, INCOMPLETE, PROMPTS, Result
from bronzerudder.platform import wire
from bronzerudder.standin.fleet import StandinBackendServer

NOT_RUN_STATUSES = (408, 421, 429, 503)
AT_MOST_ONCE_KINDS = ("book", "once")
DENIED_STATUSES = (401, 403, 404)
DEADLINE_SLACK_S = 0.1
STABLE_WINDOW_S = 3.0
"""The platform's ``stable_window_ms``, in seconds."""
CRASHES_BEFORE_BOUND = 5
MAX_LATE_ARRIVALS = 3
"""Requests with a crashing part that may reach backend servers after `CRASHES_BEFORE_BOUND`
crashes and the stable window."""
MIN_SOUND_REQUESTS = 20
MIN_SOUND_RATIO = 0.5
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


class CrashWindow(NamedTuple):
    """Interval of monotonic times in which requests with a crashing part were sent."""

    part: str
    begin_s: float
    end_s: float


class LimitWindow(NamedTuple):
    """Interval of monotonic times in which backend servers of a service limited their rate.

    Parameters
    ----------
    kinds : tuple of str
        Kinds of requests that the service runs.
    has_free : bool
        Whether some servers of the service had no limit.
    begin_s, end_s : float
        Monotonic times.
    """

    kinds: tuple[str, ...]
    has_free: bool
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
    restarts : list of Disturbance
        From the signal that stopped a gateway until it was ready again.
    crash_windows : list of CrashWindow
        When requests with a crashing part were sent.
    limit_windows : list of LimitWindow
        When backend servers limited their rate.
    """

    results: list[Result]
    disturbances: list[Disturbance]
    revoked_until_s: dict[str, float]
    left_at_s: dict[str, float]
    restarts: list[Disturbance]
    crash_windows: list[CrashWindow]
    limit_windows: list[LimitWindow]

    def was_disturbed_since(self, started_s: float) -> bool:
        """Return whether anything was disturbed at or after a monotonic time."""
        return any(item.end_s >= started_s for item in self.disturbances)

    def was_in_touch(self, gateway: str, at_s: float) -> bool:
        """Return whether a gateway and its store were undisturbed for the stable window before."""
        return not any(
            item.scope in (gateway, "store")
            and item.begin_s <= at_s
            and item.end_s >= at_s - STABLE_WINDOW_S
            for item in [*self.disturbances, *self.restarts]
        )


def find_violations(fleet: Fleet, history: History) -> list[str]:
    """Return a line for each violation of a guarantee."""
    runs = Counter(
        (request.header(wire.REQUEST_ID) or b"").decode()
        for backend in fleet.backend_servers
        for request in backend.runs
    )
    found = []
    for result in history.results:
        fault = _check_result(result, runs[result.request_id], history)
        if fault:
            found.append(f"{fault}: {result}")
    found.extend(_check_runs(fleet, history))
    for window in history.crash_windows:
        found.extend(_check_crashes(fleet, history, window))
    found.extend(_check_limits(fleet, history))
    for limited in history.limit_windows:
        found.extend(_check_served_beside_limits(history, limited))
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
        disturbance.scope in (result.gateway, result.workload.service or "backend")
        and disturbance.begin_s <= result.ended_at_s
        and disturbance.end_s >= result.sent_at_s
        for disturbance in history.disturbances
    )


def _check_runs(fleet: Fleet, history: History) -> list[str]:
    found = []
    workspaces = {result.request_id: result.workspace for result in history.results}
    for backend in fleet.backend_servers:
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


def _check_crashes(fleet: Fleet, history: History, window: CrashWindow) -> list[str]:
    """Check how often a crashing part reached backend servers, and what sound requests got."""
    servers = [item for item in fleet.further_servers if isinstance(item, StandinBackendServer)]
    crashes = sorted(
        at_s
        for server in servers
        for at_s in server.crash_at_s
        if window.begin_s <= at_s <= window.end_s
    )
    if not crashes:
        return []
    last_s = crashes[:CRASHES_BEFORE_BOUND][-1]
    bound_from_s = last_s + STABLE_WINDOW_S
    gateways = {result.request_id: result.gateway for result in history.results}
    late = []
    for server in servers:
        for arrival in server.crashing_arrivals:
            request_id = (arrival.request.header(wire.REQUEST_ID) or b"").decode()
            gateway = gateways.get(request_id)
            if gateway is None or arrival.at_s <= bound_from_s:
                # Without a result, as it was in flight at the end, or before the bound holds.
                continue
            if history.was_in_touch(gateway, arrival.at_s):
                late.append(request_id)
    found = []
    if len(crashes) >= CRASHES_BEFORE_BOUND and len(late) > MAX_LATE_ARRIVALS:
        found.append(
            f"part {window.part} reached backend servers {len(late)} times after five crashes and"
            f" the stable window, {len(crashes)} crashes in all: {late[:10]}"
        )
    found.extend(_check_sound_prompts(history, window, bound_from_s + STABLE_WINDOW_S))
    return found


def _check_sound_prompts(history: History, window: CrashWindow, from_s: float) -> list[str]:
    """Check that sound requests are served beside crashing ones, half as often as without."""
    during, outside = [], []
    for result in history.results:
        if result.workload.service != PROMPTS.service or result.workload.crashes:
            continue
        if not history.was_in_touch(result.gateway, result.sent_at_s):
            continue
        if from_s <= result.sent_at_s <= window.end_s:
            during.append(result.status == 200)
        elif not window.begin_s <= result.sent_at_s <= window.end_s + STABLE_WINDOW_S:
            outside.append(result.status == 200)
    if min(len(during), len(outside)) < MIN_SOUND_REQUESTS:
        return []
    if sum(during) / len(during) >= MIN_SOUND_RATIO * sum(outside) / len(outside):
        return []
    return [
        f"sound requests beside part {window.part}: {sum(during)} of {len(during)} served,"
        f" {sum(outside)} of {len(outside)} at other times"
    ]


def _check_limits(fleet: Fleet, history: History) -> list[str]:
    """Check that the gateways together kept to the limits that backend servers named."""
    gateways = {result.request_id: result.gateway for result in history.results}

    def is_excused(gateway: str, at_s: float) -> bool:
        return not gateway or any(
            item.scope == gateway and item.begin_s <= at_s <= item.end_s + STABLE_WINDOW_S
            for item in (*history.disturbances, *history.restarts)
        )

    found = []
    for server in (*fleet.plain_servers, *fleet.model_servers):
        excess = server.limit.find_excess(lambda name: gateways.get(name, ""), is_excused)
        if excess is not None:
            found.append(
                f"{server.instance_id} got {excess.requests} requests in 4 s where its limit allows"
                f" {excess.allowed:.1f}"
            )
    return found


def _check_served_beside_limits(history: History, window: LimitWindow) -> list[str]:
    """Check that servers without a limit serve what the limited ones may not."""
    if not window.has_free:
        return []
    results = [
        result.status == 200
        for result in history.results
        if result.kind in window.kinds
        and window.begin_s <= result.sent_at_s <= window.end_s
        and not result.workload.service
        and not _was_disturbed(result, history)
        and history.was_in_touch(result.gateway, result.sent_at_s)
    ]
    if len(results) < MIN_SOUND_REQUESTS or sum(results) >= MIN_SOUND_RATIO * len(results):
        return []
    return [f"{sum(results)} of {len(results)} requests served beside servers with a limit"]
