"""Fences off requests that crash the backend servers that run them.

Such a request comes again, at any gateway. So gateways tell each other which of their requests were
running on a backend server when it broke off, and the ledger judges by what all of them saw.
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
"""Connections that a crash breaks are noticed within this time of each other."""
MAX_FINGERPRINTS = 64
"""Bounds a message; more requests than this don't run on one backend server."""


def fingerprint_of(request: Request, key: str) -> str:
    """Name a request by target, caller and body, which stay the same when it comes again."""
    digest = xxhash.xxh3_64()
    for part in (request.method, request.target, key.encode("latin-1", "replace"), request.body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


class CrashWatch:
    """Knows which requests run where, and judges them by the crashes that they were in flight at.

    Parameters
    ----------
    name : str
        Of this gateway, for the names of crashes.
    tell : callable
        Tells the other gateways of a crash; may be lost.
    log : EventLog
        Takes a line for each crash and each quarantine.
    """

    def __init__(self, name: str, tell: Callable[[CrashSeen], None], log: EventLog) -> None:
        self._name = name
        self._tell = tell
        self._log = log
        self._ledger = QuarantineLedger()
        self._running: dict[str, list[str]] = {}
        self._crash_at_s: dict[str, float] = {}
        self._crashes = 0
        self._untold: list[CrashSeen] = []

    def judge(self, fingerprint: str) -> Verdict:
        """Say how a request stands."""
        return self._ledger.judge(fingerprint, time.monotonic())

    @contextlib.contextmanager
    def running(self, instance_id: str, fingerprint: str) -> Iterator[None]:
        """Count a request as running on a backend server."""
        held = self._running.setdefault(instance_id, [])
        held.append(fingerprint)
        try:
            yield
        finally:
            held.remove(fingerprint)
            if not held:
                self._running.pop(instance_id, None)

    def note_break(self, instance_id: str) -> None:
        """Note that a backend server broke off a request that is still counted as running there."""
        now_s = time.monotonic()
        if now_s - self._crash_at_s.get(instance_id, -SAME_CRASH_S) < SAME_CRASH_S:
            return
        self._crash_at_s[instance_id] = now_s
        self._crashes += 1
        fingerprints = self._running.get(instance_id, [])[:MAX_FINGERPRINTS]
        crash = CrashSeen(f"{self._name}/{instance_id}/{self._crashes}", fingerprints)
        self._log.state(
            "backend server broke off", instance=instance_id, requests=len(fingerprints)
        )
        self.take(crash)
        self._tell(crash)
        self._untold.append(crash)

    def tell_again(self) -> None:
        """Repeat what was told since the last call, as messages may be lost."""
        for crash in self._untold:
            self._tell(crash)
        self._untold.clear()

    def take(self, crash: CrashSeen) -> None:
        """Take in a crash that this gateway or another one saw."""
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

    def is_quarantined(self, fingerprint: str) -> Verdict | None:
        """Return the verdict if the request must not run; None if it may."""
        verdict = self.judge(fingerprint)
        return verdict if verdict.quarantine_state is QuarantineState.QUARANTINED else None
