"""Quarantines requests that crash the backend servers that run them.

Callers retry such a request at any gateway. So gateways notify each other which of their requests
were running on a backend server when it crashed, and the ledger judges by the reports of all.
"""

from __future__ import annotations

import contextlib
import time
from collections.abc import Callable, Iterator

import xxhash

from bronzerudder.http1 import Request
from bronzerudder.observability.event_log import EventLog
from bronzerudder.peers.messages import CrashSeen
from bronzerudder.policy.quarantine import CrashReport, QuarantineLedger, QuarantineState, Verdict
from bronzerudder.policy.quarantine.ledger import QUARANTINE_S

SAME_CRASH_S = 1.0
"""Broken connections to a backend server within this time count as one crash."""
MAX_FINGERPRINTS = 64
"""Bounds the size of a message; a backend server runs fewer requests than this."""


def fingerprint_of(request: Request, key: str) -> str:
    """Hash method, target, key and body of a request, which stay the same when it is retried."""
    digest = xxhash.xxh3_64()
    for part in (request.method, request.target, key.encode("latin-1", "replace"), request.body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


class CrashWatch:
    """Tracks which requests run where, and quarantines those in flight at repeated crashes.

    Parameters
    ----------
    name : str
        Name of this gateway, used in crash ids.
    announce : callable
        Sends a crash report to the other gateways; the message may be lost.
    log : EventLog
        Takes a line for each crash and each quarantine.
    """

    def __init__(self, name: str, announce: Callable[[CrashSeen], None], log: EventLog) -> None:
        self._name = name
        self._announce = announce
        self._log = log
        self._ledger = QuarantineLedger()
        self._running: dict[str, list[str]] = {}
        self._crash_at_s: dict[str, float] = {}
        self._crashes = 0
        self._reports_to_repeat: list[CrashSeen] = []

    def judge(self, fingerprint: str) -> Verdict:
        """Return the quarantine verdict on a request."""
        return self._ledger.judge(fingerprint, time.monotonic())

    @contextlib.contextmanager
    def running(self, instance_id: str, fingerprint: str) -> Iterator[None]:
        """Count a request as running on a backend server."""
        in_flight = self._running.setdefault(instance_id, [])
        in_flight.append(fingerprint)
        try:
            yield
        finally:
            in_flight.remove(fingerprint)
            if not in_flight:
                self._running.pop(instance_id, None)

    def on_connection_broken(self, instance_id: str) -> None:
        """Report a crash; the request whose connection broke must still count as running there."""
        now_s = time.monotonic()
        if now_s - self._crash_at_s.get(instance_id, -SAME_CRASH_S) < SAME_CRASH_S:
            return
        self._crash_at_s[instance_id] = now_s
        self._crashes += 1
        fingerprints = self._running.get(instance_id, [])[:MAX_FINGERPRINTS]
        crash = CrashSeen(f"{self._name}/{instance_id}/{self._crashes}", fingerprints)
        self._log.state(
            "backend server connection broken", instance=instance_id, requests=len(fingerprints)
        )
        self.add_report(crash)
        self._announce(crash)
        self._reports_to_repeat.append(crash)

    def repeat_reports(self) -> None:
        """Send the reports since the last call once more, as messages may be lost."""
        for crash in self._reports_to_repeat:
            self._announce(crash)
        self._reports_to_repeat.clear()

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
