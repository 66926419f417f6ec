"""Detects crashes of the backend server and runs suspected requests one at a time."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncIterator

import anyio
from anyio.abc import TaskGroup

from bronzerudder.backend_server import BackendError, BackendErrorKind, BackendServer
from bronzerudder.execution.attempt import AttemptKey
from bronzerudder.observability import log_event
from bronzerudder.policy.quarantine import QuarantineState, Verdict
from bronzerudder.quarantine import QuarantineFeed


class _Run:
    """An attempt that may run; `started` once its call has been passed to the backend server."""

    def __init__(self, fingerprint: str, crash_ids: frozenset[str]) -> None:
        self.fingerprint = fingerprint
        self.crash_ids = crash_ids
        self.started = False
        self.crash_checked: anyio.Event | None = None


class CrashGuard:
    """Checks every attempt against known crashes, and detects new crashes.

    A crash is detected when an answer breaks off and the backend server then refuses connections.
    The report names every request that was running, and is published before any of these
    attempts ends, so that an entry knows the suspects before it retries one elsewhere.

    Parameters
    ----------
    backend_server : BackendServer
        Its crashes are detected.
    feed : QuarantineFeed
        Stores crash reports and exchanges them with the entries.
    tasks : TaskGroup
        Runs the checks for a crash.
    incarnation : int
        Of this process; makes crash ids unique.
    """

    def __init__(
        self,
        backend_server: BackendServer,
        feed: QuarantineFeed,
        tasks: TaskGroup,
        incarnation: int,
    ) -> None:
        self._backend_server = backend_server
        self._feed = feed
        self._tasks = tasks
        self._incarnation = incarnation
        self._crash_count = 0
        self._runs: dict[AttemptKey, _Run] = {}
        self._changed = anyio.Event()

    def judge(self, fingerprint: str) -> Verdict:
        """Return the verdict on a request as of now."""
        return self._feed.ledger.judge(fingerprint, anyio.current_time())

    @contextlib.asynccontextmanager
    async def track_run(self, key: AttemptKey, fingerprint: str) -> AsyncIterator[Verdict]:
        """Track an attempt while it may run; a suspect first waits until no other suspect runs."""
        verdict = await self._wait_until_allowed(fingerprint)
        self._runs[key] = _Run(fingerprint, verdict.crash_ids)
        try:
            yield verdict
        finally:
            del self._runs[key]
            changed, self._changed = self._changed, anyio.Event()
            changed.set()

    def mark_started(self, key: AttemptKey) -> None:
        """Record that the call of an attempt is now passed to the backend server."""
        self._runs[key].started = True

    async def record_result(self, key: AttemptKey, error: BackendError | None) -> None:
        """Clear a suspect that completed; check whether a broken answer was due to a crash."""
        run = self._runs[key]
        if error is None:
            if run.crash_ids:
                self._feed.publish_clearance(run.fingerprint, run.crash_ids)
            return
        if error.kind is not BackendErrorKind.BROKEN:
            return
        if run.crash_checked is None:
            self._start_crash_check()
        await run.crash_checked.wait()

    async def _wait_until_allowed(self, fingerprint: str) -> Verdict:
        while True:
            verdict = self.judge(fingerprint)
            if (
                verdict.quarantine_state is not QuarantineState.SUSPECT
                or not self._is_suspect_running()
            ):
                return verdict
            await self._changed.wait()

    def _is_suspect_running(self) -> bool:
        for run in self._runs.values():
            if self.judge(run.fingerprint).quarantine_state is QuarantineState.SUSPECT:
                return True
        return False

    def _start_crash_check(self) -> None:
        done = anyio.Event()
        fingerprints = set()
        for run in self._runs.values():
            if not run.started or run.crash_checked is not None:
                continue
            run.crash_checked = done
            fingerprints.add(run.fingerprint)
        self._tasks.start_soon(self._check_for_crash, fingerprints, done)

    async def _check_for_crash(self, fingerprints: set[str], done: anyio.Event) -> None:
        try:
            error = await self._backend_server.probe()
            if error is None or error.kind is not BackendErrorKind.UNREACHABLE:
                return
            self._crash_count += 1
            crash_id = f"{self._incarnation:x}.{self._crash_count}"
            log_event("backend server crashed", crash_id=crash_id, in_flight=len(fingerprints))
            self._feed.publish_crash(crash_id, fingerprints)
        finally:
            done.set()
