"""Quarantines requests that crash the backend servers that run them.

Callers send such requests to any gateway: the same request again, or different ones that share a
part of their prompts. So gateways notify each other what was running on a backend server when it
crashed and which of it has run elsewhere without a crash, and judge by the reports of all.
"""

from __future__ import annotations

import contextlib
import time
from collections.abc import Awaitable, Callable, Iterable, Iterator

import anyio
import msgspec
import xxhash
from anyio.abc import TaskGroup

from bronzerudder.http1 import Request, TransportError, connect
from bronzerudder.observability.event_log import EventLog
from bronzerudder.peers.messages import (
    Cleared,
    CrashDigest,
    CrashEvidence,
    CrashMessage,
    CrashSeen,
)
from bronzerudder.peers.messenger import GatewayMessenger
from bronzerudder.platform.requests import RequestHead
from bronzerudder.policy.quarantine import (
    QuarantineState,
    RequestSubjects,
    SubjectLedger,
    Verdict,
)
from bronzerudder.policy.quarantine.subjects import PART_PREFIX

SAME_CRASH_S = 1.0
"""Broken connections to a backend server within this time count as one crash."""
PROBE_TIMEOUT_S = 0.2
"""A server on another site of the same region accepts or refuses within 10 ms."""
PROBES = 2
"""A lost packet must not hide a crash."""
REFUSED = "ECONNREFUSED"
MAX_SUBJECTS = 64
"""Bounds a message to 1,300 bytes, which fit in one packet; a backend server runs fewer requests
of one gateway at once than this."""
SETTLED_S = 0.5
"""A stream whose first event is this old did not crash its backend server, and will not. A crash
comes about 0.1 s after the answer begins, before the first event."""
MAX_OWN_REPORTS = 64
CLEARANCES = 2
"""Times that a clearance is sent, as messages may be lost."""
EXCHANGE_INTERVAL_S = 1.0
EXCHANGE_PEERS = 2
"""A gateway that starts, was suspended or lost messages learns of all crashes within 3 s, the time
after which it must act on them."""
CRASHES_PER_MESSAGE = 5
"""Keeps a message below 1,200 bytes."""
SUSPECT_RETRY_S = 1.0
"""Time after which it is known whether the suspect that is running is sound."""


def fingerprint_of(request: Request, key: str) -> str:
    """Hash method, target, key and body of a request, which stay the same when it is retried."""
    digest = xxhash.xxh3_64()
    for part in (request.method, request.target, key.encode("latin-1", "replace"), request.body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


def subjects_of(request: Request, caller: RequestHead) -> RequestSubjects:
    """Return what a request is judged by."""
    model = caller.model.encode("latin-1", "replace")
    parts = []
    for part_id in caller.shared_parts:
        # A part is a different input to each model.
        digest = xxhash.xxh3_64(model + b"\0" + part_id.encode("latin-1", "replace"))
        parts.append(PART_PREFIX + digest.hexdigest())
    return RequestSubjects(fingerprint_of(request, caller.key), tuple(dict.fromkeys(parts)))


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


class RunningRequest:
    """A request that runs on a backend server.

    Parameters
    ----------
    subjects : RequestSubjects
        What it is judged by.
    is_suspect : bool
        Whether it runs to find out if its subjects are sound.
    """

    def __init__(self, subjects: RequestSubjects, is_suspect: bool) -> None:
        self.subjects = subjects
        self.is_suspect = is_suspect
        self.first_event_at_s: float | None = None
        self.proven = False

    def is_settled(self, now_s: float) -> bool:
        """Whether it has written for so long that it cannot be the cause of a crash."""
        return self.first_event_at_s is not None and now_s - self.first_event_at_s >= SETTLED_S


class _CrashCheck:
    """Decides whether connections to a backend server broke because it crashed."""

    def __init__(self, running: Iterable[RunningRequest], started_at_s: float) -> None:
        # Those without an event first, as they are the likeliest cause.
        requests = sorted(running, key=lambda request: request.first_event_at_s or 0.0)
        self.fingerprints = [request.subjects.fingerprint for request in requests]
        self.parts: list[str] = []
        for request in requests:
            if not request.is_settled(started_at_s):
                self.parts.extend(request.subjects.parts)
        self.started_at_s = started_at_s
        self.done = anyio.Event()


class CrashWatch:
    """Tracks which requests run where, and quarantines the cause of repeated crashes.

    Parameters
    ----------
    name : str
        Name of this gateway, used in the ids of crashes that are not certain.
    messenger : GatewayMessenger
        Sends messages to the other gateways.
    log : EventLog
        Takes a line for each crash, quarantine and clearance.
    tasks : TaskGroup
        Runs the checks for a crash, which outlast the requests that cause them.
    probe : callable
        Returns whether an address refuses connections.
    """

    def __init__(
        self,
        name: str,
        messenger: GatewayMessenger,
        log: EventLog,
        tasks: TaskGroup,
        probe: Callable[[str], Awaitable[bool]] = refuses_connections,
    ) -> None:
        self._name = name
        self._messenger = messenger
        self._log = log
        self._tasks = tasks
        self._probe = probe
        self._ledger = SubjectLedger()
        self._running: dict[str, list[RunningRequest]] = {}
        self._suspects_running = 0
        self._checks: dict[str, _CrashCheck] = {}
        self._breaks = 0
        self._reports_to_repeat: list[tuple[CrashSeen, float]] = []
        self._own_reports: dict[str, frozenset[str]] = {}
        self._to_clear: dict[str, int] = {}
        self._asked_at_s = 0.0

    @property
    def verdicts_changed(self) -> int:
        """Number of times that verdicts have changed."""
        return self._ledger.changes

    def find_crashes_to_keep(self) -> dict[str, CrashSeen]:
        """Return the crashes of which this gateway has reported an offender, by id.

        So usually one gateway keeps a crash: the one that sent the request that caused it.
        """
        offenders = self._ledger.offenders
        crashes = {}
        for crash in self._ledger.known_crashes if offenders else ():
            if offenders & self._own_reports.get(crash.crash_id, frozenset()):
                age_s = time.monotonic() - crash.happened_at_s
                crashes[crash.crash_id] = CrashSeen(crash.crash_id, list(crash.subjects), age_s)
        return crashes

    def find_quarantine(self, subjects: RequestSubjects) -> Verdict | None:
        """Return the verdict if the request must not run; None if it may."""
        verdict = self._ledger.judge(subjects, time.monotonic())
        return verdict if verdict.quarantine_state is QuarantineState.QUARANTINED else None

    def find_refusal(self, subjects: RequestSubjects) -> Verdict | None:
        """Return the verdict if the request must not be sent now; None if it may.

        Suspects run one at a time.
        """
        verdict = self._ledger.judge(subjects, time.monotonic())
        if verdict.quarantine_state is QuarantineState.QUARANTINED:
            return verdict
        if verdict.quarantine_state is QuarantineState.SUSPECT and self._suspects_running:
            return verdict._replace(retry_after_s=SUSPECT_RETRY_S)
        return None

    @contextlib.contextmanager
    def running(self, incarnation: str, subjects: RequestSubjects) -> Iterator[RunningRequest]:
        """Count a request as running on a backend server."""
        verdict = self._ledger.judge(subjects, time.monotonic())
        request = RunningRequest(subjects, verdict.quarantine_state is QuarantineState.SUSPECT)
        self._suspects_running += request.is_suspect
        in_flight = self._running.setdefault(incarnation, [])
        in_flight.append(request)
        try:
            yield request
        finally:
            self._suspects_running -= request.is_suspect
            in_flight.remove(request)
            if not in_flight:
                self._running.pop(incarnation, None)

    def record_event(self, request: RunningRequest) -> None:
        """Record an event of a stream; an answer that goes on for long enough proves its parts."""
        now_s = time.monotonic()
        if request.first_event_at_s is None:
            request.first_event_at_s = now_s
        if not request.proven and request.is_settled(now_s):
            self.record_success(request)

    def record_success(self, request: RunningRequest) -> None:
        """Record that a request has run without a crash."""
        if request.proven:
            return
        request.proven = True
        subjects = (request.subjects.fingerprint, *request.subjects.parts)
        self._record_proof(subjects, is_own=True)

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
            check = _CrashCheck(self._running.get(incarnation, []), now_s)
            self._checks[incarnation] = check
            self._tasks.start_soon(self._check, incarnation, address, check, must_refuse)
        await check.done.wait()

    def on_message(self, message: CrashMessage) -> None:
        """Handle a message of another gateway."""
        if isinstance(message, CrashSeen):
            self.add_report(message)
        elif isinstance(message, Cleared):
            for subject in message.subjects:
                self._to_clear.pop(subject, None)
            self._record_proof(message.subjects, is_own=False)
        elif isinstance(message, CrashDigest):
            if message.value != self._ledger.digest:
                self._send_evidence(message.address, wants_reply=True)
        else:
            for crash in message.crashes:
                self.add_report(crash)
            if message.reply_to:
                self._send_evidence(message.reply_to, wants_reply=False)

    def add_report(self, crash: CrashSeen) -> None:
        """Record a crash that this gateway or another one has reported."""
        now_s = time.monotonic()
        for subject in crash.fingerprints:
            if self._ledger.is_proven(subject, now_s):
                self._to_clear.setdefault(subject, CLEARANCES)
        before = self._ledger.offenders
        happened_at_s = now_s - max(0.0, crash.age_s)
        if self._ledger.record_crash(crash.crash_id, crash.fingerprints, happened_at_s, now_s):
            self._log_verdicts(before)

    def maintain(self) -> None:
        """Repeat messages, as they may be lost, and ask for those that were missed."""
        now_s = time.monotonic()
        self._ledger.expire(now_s)
        while len(self._own_reports) > MAX_OWN_REPORTS:
            del self._own_reports[next(iter(self._own_reports))]
        for crash, happened_at_s in self._reports_to_repeat:
            self._messenger.send_to_all(msgspec.structs.replace(crash, age_s=now_s - happened_at_s))
        self._reports_to_repeat.clear()
        self._send_clearances()
        if now_s - self._asked_at_s >= EXCHANGE_INTERVAL_S:
            self._asked_at_s = now_s
            digest = CrashDigest(self._messenger.address, self._ledger.digest)
            self._messenger.send_to_some(digest, EXCHANGE_PEERS)
        for incarnation, check in list(self._checks.items()):
            if check.started_at_s < now_s - SAME_CRASH_S and check.done.is_set():
                del self._checks[incarnation]

    async def _check(
        self, incarnation: str, address: str, check: _CrashCheck, must_refuse: bool
    ) -> None:
        try:
            refused = await self._probe(address)
            self._log.state(
                "backend server crashed" if refused else "backend server connection broken",
                instance=incarnation,
                requests=len(check.fingerprints),
                parts=sorted(set(check.parts))[:MAX_SUBJECTS],
            )
            if refused:
                # All gateways that had requests there report the crash under this id.
                self._report(incarnation, [*check.parts, *check.fingerprints], check.started_at_s)
            elif not must_refuse:
                self._breaks += 1
                # A reset may have other causes, so it does not count against parts.
                crash_id = f"{self._name}/{incarnation}/{self._breaks}"
                self._report(crash_id, check.fingerprints, check.started_at_s)
        finally:
            check.done.set()

    def _report(self, crash_id: str, subjects: Iterable[str], happened_at_s: float) -> None:
        now_s = time.monotonic()
        suspects = []
        for subject in dict.fromkeys(subjects):
            if not self._ledger.is_proven(subject, now_s):
                suspects.append(subject)
        crash = CrashSeen(crash_id, suspects[:MAX_SUBJECTS], now_s - happened_at_s)
        if not crash.fingerprints:
            return
        self._own_reports[crash_id] = frozenset(crash.fingerprints)
        self.add_report(crash)
        self._messenger.send_to_all(crash)
        self._reports_to_repeat.append((crash, happened_at_s))

    def _record_proof(self, subjects: Iterable[str], is_own: bool) -> None:
        before = self._ledger.offenders
        cleared = self._ledger.record_proof(subjects, time.monotonic())
        if not cleared:
            return
        if is_own:
            self._to_clear.update(dict.fromkeys(cleared, CLEARANCES))
        self._log.state("suspects cleared", fingerprints=sorted(cleared), by_peer=not is_own)
        self._log_verdicts(before)

    def _send_clearances(self) -> None:
        """Announce what has run without a crash.

        Every gateway that knows a suspect to be sound would answer the report. The first ones to
        come to their maintenance do, and the others drop the clearance that they hear.
        """
        subjects = list(self._to_clear)
        for begin in range(0, len(subjects), MAX_SUBJECTS):
            self._messenger.send_to_all(Cleared(subjects[begin : begin + MAX_SUBJECTS]))
        for subject in subjects:
            self._to_clear[subject] -= 1
            if not self._to_clear[subject]:
                del self._to_clear[subject]

    def _send_evidence(self, address: str, wants_reply: bool) -> None:
        now_s = time.monotonic()
        crashes = []
        for crash in self._ledger.known_crashes:
            age_s = now_s - crash.happened_at_s
            crashes.append(CrashSeen(crash.crash_id, list(crash.subjects), age_s))
        reply_to = self._messenger.address if wants_reply else ""
        for begin in range(0, max(1, len(crashes)), CRASHES_PER_MESSAGE):
            some = crashes[begin : begin + CRASHES_PER_MESSAGE]
            self._messenger.send_to(CrashEvidence(some, reply_to), address)
            reply_to = ""

    def _log_verdicts(self, before: frozenset[str]) -> None:
        after = self._ledger.offenders
        for subject in sorted(after - before):
            self._log.state(
                "request quarantined",
                fingerprint=subject,
                crashes=sorted(self._ledger.crashes_of(subject)),
            )
        for subject in sorted(before - after):
            self._log.state("released from quarantine", fingerprint=subject)
