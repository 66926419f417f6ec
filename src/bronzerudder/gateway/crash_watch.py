"""Quarantines requests that crash the backend servers that run them.

Callers retry such a request at any gateway. So gateways notify each other which of their requests
were running on a backend server when it crashed, and the ledger judges by the reports of all.
"""

from __future__ import annotations

import contextlib
import time
from collections.abc import Awaitable, Callable, Iterator

import anyio
import xxhash
from anyio.abc import TaskGroup

from bronzerudder.http1 import Request, TransportError, connect
from bronzerudder.observability.event_log import EventLog
from bronzerudder.peers.messages import CrashSeen
from bronzerudder.policy.quarantine import CrashReport, QuarantineLedger, QuarantineState, Verdict
from bronzerudder.policy.quarantine.ledger import QUARANTINE_S

SAME_CRASH_S = 1.0
"""Broken connections to a backend server within this time count as one crash."""
PROBE_TIMEOUT_S = 0.2
"""A server on another site of the same region accepts or refuses within 10 ms."""
PROBES = 2
"""A lost packet must not hide a crash."""
REFUSED = "ECONNREFUSED"
MAX_FINGERPRINTS = 64
"""Bounds the size of a message; a backend server runs fewer requests than this."""


def fingerprint_of(request: Request, key: str) -> str:
    """Hash method, target, key and body of a request, which stay the same when it is retried."""
    digest = xxhash.xxh3_64()
    for part in (request.method, request.target, key.encode("latin-1", "replace"), request.body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


async def refuses_connections(address: str) -> bool:
    """Whether the host at an address is up but no process listens there."""
    for _ in range(PROBES):
        connection = await connect(address, PROBE_TIMEOUT_S)
        if not isinstance(connection, TransportError):
            connection.close()
            return False
        if connection.reason == REFUSED:
            return True
    return False


class _CrashCheck:
    """Decides whether connections to a backend server broke because it crashed."""

    def __init__(self, fingerprints: list[str], started_at_s: float) -> None:
        self.fingerprints = fingerprints
        self.started_at_s = started_at_s
        self.done = anyio.Event()


class CrashWatch:
    """Tracks which requests run where, and quarantines those in flight at repeated crashes.

    Parameters
    ----------
    name : str
        Name of this gateway, used in the ids of crashes that are not certain.
    announce : callable
        Sends a crash report to the other gateways; the message may be lost.
    log : EventLog
        Takes a line for each crash and each quarantine.
    tasks : TaskGroup
        Runs the checks for a crash, which outlast the requests that cause them.
    probe : callable
        Returns whether an address refuses connections.
    """

    def __init__(
        self,
        name: str,
        announce: Callable[[CrashSeen], None],
        log: EventLog,
        tasks: TaskGroup,
        probe: Callable[[str], Awaitable[bool]] = refuses_connections,
    ) -> None:
        self._name = name
        self._announce = announce
        self._log = log
        self._tasks = tasks
        self._probe = probe
        self._ledger = QuarantineLedger()
        self._running: dict[str, list[str]] = {}
        self._checks: dict[str, _CrashCheck] = {}
        self._breaks = 0
        self._reports_to_repeat: list[CrashSeen] = []

    def judge(self, fingerprint: str) -> Verdict:
        """Return the quarantine verdict on a request."""
        return self._ledger.judge(fingerprint, time.monotonic())

    @contextlib.contextmanager
    def running(self, incarnation: str, fingerprint: str) -> Iterator[None]:
        """Count a request as running on a backend server."""
        in_flight = self._running.setdefault(incarnation, [])
        in_flight.append(fingerprint)
        try:
            yield
        finally:
            in_flight.remove(fingerprint)
            if not in_flight:
                self._running.pop(incarnation, None)

    async def on_connection_broken(self, incarnation: str, address: str, must_refuse: bool) -> None:
        """Report a crash, if it is one, before the request is sent elsewhere.

        The request whose connection broke must still count as running there.

        Parameters
        ----------
        incarnation : str
            The start of the backend server, which ends with a crash.
        must_refuse : bool
            Whether only a server that refuses new connections counts as crashed. Ranks of a group
            close their connections whenever another rank has crashed.
        """
        now_s = time.monotonic()
        check = self._checks.get(incarnation)
        if check is None or now_s - check.started_at_s >= SAME_CRASH_S:
            in_flight = self._running.get(incarnation, [])
            check = _CrashCheck(in_flight[:MAX_FINGERPRINTS], now_s)
            self._checks[incarnation] = check
            self._tasks.start_soon(self._check, incarnation, address, check, must_refuse)
        await check.done.wait()

    async def _check(
        self, incarnation: str, address: str, check: _CrashCheck, must_refuse: bool
    ) -> None:
        try:
            refused = await self._probe(address)
            self._log.state(
                "backend server crashed" if refused else "backend server connection broken",
                instance=incarnation,
                requests=len(check.fingerprints),
            )
            if refused:
                # All gateways that had requests there report the crash under this id.
                self._report(incarnation, check.fingerprints)
            elif not must_refuse:
                self._breaks += 1
                self._report(f"{self._name}/{incarnation}/{self._breaks}", check.fingerprints)
        finally:
            check.done.set()

    def _report(self, crash_id: str, fingerprints: list[str]) -> None:
        crash = CrashSeen(crash_id, fingerprints)
        self.add_report(crash)
        self._announce(crash)
        self._reports_to_repeat.append(crash)

    def maintain(self) -> None:
        """Send the reports since the last call once more, as messages may be lost."""
        for crash in self._reports_to_repeat:
            self._announce(crash)
        self._reports_to_repeat.clear()
        oldest_s = time.monotonic() - SAME_CRASH_S
        for incarnation, check in list(self._checks.items()):
            if check.started_at_s < oldest_s and check.done.is_set():
                del self._checks[incarnation]

    def add_report(self, crash: CrashSeen) -> None:
        """Record a crash that this gateway or another one has reported."""
        before = self._ledger.offenders
        expires_at = time.monotonic() + QUARANTINE_S
        report = CrashReport(crash.crash_id, frozenset(crash.fingerprints), expires_at)
        if not self._ledger.record_crash(report):
            return
        for fingerprint in self._ledger.offenders - before:
            self._log.state(
                "request quarantined",
                fingerprint=fingerprint,
                crashes=sorted(self.judge(fingerprint).crash_ids),
            )

    def find_quarantine(self, fingerprint: str) -> Verdict | None:
        """Return the verdict if the request must not run; None if it may."""
        verdict = self.judge(fingerprint)
        return verdict if verdict.quarantine_state is QuarantineState.QUARANTINED else None
