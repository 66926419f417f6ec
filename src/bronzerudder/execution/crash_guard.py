"""Notices crashes of the backend server, and keeps suspects of crashes apart."""

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
    """An attempt that runs or is about to."""

    def __init__(self, fingerprint: str, crash_ids: frozenset[str]) -> None:
        self.fingerprint = fingerprint
        self.crash_ids = crash_ids
        self.begun = False
        self.investigated: anyio.Event | None = None


class CrashGuard:
    """Judges every attempt before it runs and after.

    A crash is seen when an answer breaks off and the backend server then refuses connections; all
    that ran at that moment are in the report, which goes out before any of them is concluded.

    Parameters
    ----------
    backend_server : BackendServer
        Whose crashes to notice.
    feed : QuarantineFeed
        Holds and spreads what is known of crashes.
    tasks : TaskGroup
        Runs investigations.
    incarnation : int
        Of this process; it makes the names of crashes unique.
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
        """Say how a request stands now."""
        return self._feed.ledger.judge(fingerprint, anyio.current_time())

    @contextlib.asynccontextmanager
    async def take_turn(self, key: AttemptKey, fingerprint: str) -> AsyncIterator[Verdict]:
        """Wait until an attempt may run: a suspect waits while another one runs."""
        verdict = await self._wait_turn(fingerprint)
        self._runs[key] = _Run(fingerprint, verdict.crash_ids)
        try:
            yield verdict
        finally:
            del self._runs[key]
            changed, self._changed = self._changed, anyio.Event()
            changed.set()

    def begin(self, key: AttemptKey) -> None:
        """Note that an attempt now reaches the backend server."""
        self._runs[key].begun = True

    async def settle(self, key: AttemptKey, error: BackendError | None) -> None:
        """Clear a suspect that ran to its end; find out whether a broken answer was a crash."""
        run = self._runs[key]
        if error is None:
            if run.crash_ids:
                self._feed.publish_clearance(run.fingerprint, run.crash_ids)
            return
        if error.kind is not BackendErrorKind.BROKEN:
            return
        if run.investigated is None:
            self._start_investigation()
        await run.investigated.wait()

    async def _wait_turn(self, fingerprint: str) -> Verdict:
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

    def _start_investigation(self) -> None:
        done = anyio.Event()
        fingerprints = set()
        for run in self._runs.values():
            if not run.begun or run.investigated is not None:
                continue
            run.investigated = done
            fingerprints.add(run.fingerprint)
        self._tasks.start_soon(self._investigate, fingerprints, done)

    async def _investigate(self, fingerprints: set[str], done: anyio.Event) -> None:
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
