"""Passes crash reports and clearances on to all peers but the one they came from."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import anyio

from bronzerudder.frames import exchange_pb2 as pb
from bronzerudder.policy.quarantine import (
    QUARANTINE_S,
    Clearance,
    CrashReport,
    QuarantineLedger,
)

NewsOutlet = Callable[[pb.Quarantine], None]
MOST_FINGERPRINTS = 4096


class QuarantineFeed:
    """Keeps a process's ledger equal to those of its peers.

    Each piece of news is passed on once, so it ends wherever it comes to a process that has it
    already; a peer that connects is told everything that still counts.
    """

    def __init__(self) -> None:
        self._ledger = QuarantineLedger()
        self._outlets: list[NewsOutlet] = []

    @property
    def ledger(self) -> QuarantineLedger:
        """What is known."""
        return self._ledger

    def attach(self, outlet: NewsOutlet) -> None:
        """Tell a peer all that is known, and news from now on."""
        now = anyio.current_time()
        for report in self._ledger.reports:
            if report.expires_at > now:
                outlet(_encode_crash(report, now))
        for clearance in self._ledger.clearances:
            outlet(_encode_clearance(clearance))
        self._outlets.append(outlet)

    def detach(self, outlet: NewsOutlet) -> None:
        """Tell a peer nothing more."""
        if outlet in self._outlets:
            self._outlets.remove(outlet)

    def publish_crash(self, crash_id: str, fingerprints: Iterable[str]) -> None:
        """Record a crash seen here."""
        now = anyio.current_time()
        report = CrashReport(crash_id, frozenset(fingerprints) - {""}, now + QUARANTINE_S)
        if self._ledger.record_crash(report):
            self._spread(_encode_crash(report, now), None)

    def publish_clearance(self, fingerprint: str, crash_ids: frozenset[str]) -> None:
        """Record that a suspect ran to its end here."""
        clearance = Clearance(fingerprint, crash_ids)
        if self._ledger.record_clearance(clearance):
            self._spread(_encode_clearance(clearance), None)

    def take(self, news: pb.Quarantine, source: NewsOutlet | None) -> None:
        """Take in news from a peer."""
        if self._record(news):
            self._spread(news, source)

    def _record(self, news: pb.Quarantine) -> bool:
        if news.HasField("clearance"):
            cleared = news.clearance
            return self._ledger.record_clearance(
                Clearance(cleared.fingerprint, frozenset(cleared.crash_ids))
            )
        crash = news.crash
        time_left_s = min(crash.time_left_ms / 1000, QUARANTINE_S)
        if not crash.crash_id or not time_left_s or len(crash.fingerprints) > MOST_FINGERPRINTS:
            return False
        expires_at = anyio.current_time() + time_left_s
        report = CrashReport(crash.crash_id, frozenset(crash.fingerprints) - {""}, expires_at)
        return self._ledger.record_crash(report)

    def _spread(self, news: pb.Quarantine, source: NewsOutlet | None) -> None:
        for outlet in self._outlets:
            if outlet != source:
                outlet(news)


def _encode_crash(report: CrashReport, now: float) -> pb.Quarantine:
    crash = pb.Crash(
        crash_id=report.crash_id,
        fingerprints=sorted(report.fingerprints),
        time_left_ms=int((report.expires_at - now) * 1000),
    )
    return pb.Quarantine(crash=crash)


def _encode_clearance(clearance: Clearance) -> pb.Quarantine:
    encoded = pb.Clearance(fingerprint=clearance.fingerprint, crash_ids=sorted(clearance.crash_ids))
    return pb.Quarantine(clearance=encoded)
