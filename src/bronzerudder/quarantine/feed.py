"""Forwards crash reports and clearances to all peers except the one they came from."""

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

SendUpdate = Callable[[pb.Quarantine], None]
MAX_FINGERPRINTS = 4096
"""A crash report with more fingerprints is ignored."""


class QuarantineFeed:
    """Replicates a process's quarantine ledger to its peers and theirs to it.

    An update is forwarded only if it is new to the ledger, so it doesn't circulate between peers. A
    peer that connects is sent all reports that haven't expired, and all clearances.
    """

    def __init__(self) -> None:
        self._ledger = QuarantineLedger()
        self._peers: list[SendUpdate] = []

    @property
    def ledger(self) -> QuarantineLedger:
        """Crash reports and clearances known to this process."""
        return self._ledger

    def attach(self, send: SendUpdate) -> None:
        """Send a peer all current reports and clearances, and updates from now on."""
        now = anyio.current_time()
        for report in self._ledger.reports:
            if report.expires_at > now:
                send(_encode_crash(report, now))
        for clearance in self._ledger.clearances:
            send(_encode_clearance(clearance))
        self._peers.append(send)

    def detach(self, send: SendUpdate) -> None:
        """Stop sending updates to a peer."""
        if send in self._peers:
            self._peers.remove(send)

    def publish_crash(self, crash_id: str, fingerprints: Iterable[str]) -> None:
        """Record a crash that this process detected, and send it to all peers."""
        now = anyio.current_time()
        report = CrashReport(crash_id, frozenset(fingerprints) - {""}, now + QUARANTINE_S)
        if self._ledger.record_crash(report):
            self._send_to_peers(_encode_crash(report, now), None)

    def publish_clearance(self, fingerprint: str, crash_ids: frozenset[str]) -> None:
        """Record that a suspect request finished here without a crash, and send it to all peers."""
        clearance = Clearance(fingerprint, crash_ids)
        if self._ledger.record_clearance(clearance):
            self._send_to_peers(_encode_clearance(clearance), None)

    def receive(self, update: pb.Quarantine, source: SendUpdate | None) -> None:
        """Record an update received from a peer, and forward it if it is new."""
        if self._record(update):
            self._send_to_peers(update, source)

    def _record(self, update: pb.Quarantine) -> bool:
        if update.HasField("clearance"):
            cleared = update.clearance
            return self._ledger.record_clearance(
                Clearance(cleared.fingerprint, frozenset(cleared.crash_ids))
            )
        crash = update.crash
        time_left_s = min(crash.time_left_ms / 1000, QUARANTINE_S)
        if not crash.crash_id or not time_left_s or len(crash.fingerprints) > MAX_FINGERPRINTS:
            return False
        expires_at = anyio.current_time() + time_left_s
        report = CrashReport(crash.crash_id, frozenset(crash.fingerprints) - {""}, expires_at)
        return self._ledger.record_crash(report)

    def _send_to_peers(self, update: pb.Quarantine, source: SendUpdate | None) -> None:
        for send in self._peers:
            if send != source:
                send(update)


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
