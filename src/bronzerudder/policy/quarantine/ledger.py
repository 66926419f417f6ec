"""Records crash reports and clearances, and derives verdicts on fingerprints."""

from __future__ import annotations

from bronzerudder.policy.quarantine.api import (
    CLEAR,
    Clearance,
    CrashReport,
    QuarantineState,
    Verdict,
)
from bronzerudder.policy.quarantine.blame import find_offenders

QUARANTINE_S = 600.0
MAX_REPORTS = 256


class QuarantineLedger:
    """Judges requests by the crashes that they were in flight at.

    A request in flight at one crash is a suspect. An offender, which explains two or more crashes,
    is quarantined until the last of these is `QUARANTINE_S` old. A crash that an offender explains
    makes no other request a suspect, and a crash that a request was cleared of does not count
    against it.

    Reports and clearances may arrive in any order and more than once: two ledgers with the same
    ones reach the same verdicts.

    Parameters
    ----------
    max_reports : int
        Reports that are held; those that expire first are dropped.
    """

    def __init__(self, max_reports: int = MAX_REPORTS) -> None:
        self._max_reports = max_reports
        self._reports: dict[str, CrashReport] = {}
        self._cleared: dict[str, set[str]] = {}
        self._evidence: dict[str, frozenset[str]] = {}
        self._offenders: frozenset[str] = frozenset()
        self._explained: frozenset[str] = frozenset()

    @property
    def reports(self) -> tuple[CrashReport, ...]:
        """Reports that have not expired."""
        return tuple(self._reports.values())

    @property
    def clearances(self) -> tuple[Clearance, ...]:
        """Clearances by fingerprint."""
        by_fingerprint: dict[str, set[str]] = {}
        for crash_id, fingerprints in self._cleared.items():
            for fingerprint in fingerprints:
                by_fingerprint.setdefault(fingerprint, set()).add(crash_id)
        return tuple(Clearance(name, frozenset(ids)) for name, ids in by_fingerprint.items())

    @property
    def offenders(self) -> frozenset[str]:
        """Quarantined fingerprints."""
        return self._offenders

    def record_crash(self, report: CrashReport) -> bool:
        """Record a report; return whether it is new or names requests that are.

        Reports of several observers with the same id are one crash.
        """
        if not report.fingerprints:
            return False
        known = self._reports.get(report.crash_id)
        if known is not None:
            if report.fingerprints <= known.fingerprints:
                return False
            report = known._replace(fingerprints=known.fingerprints | report.fingerprints)
        self._reports[report.crash_id] = report
        if len(self._reports) > self._max_reports:
            self._forget(min(self._reports, key=lambda name: self._reports[name].expires_at))
        self._judge_all()
        return True

    def record_clearance(self, clearance: Clearance) -> bool:
        """Record a clearance; return whether it is new."""
        is_new = False
        for crash_id in clearance.crash_ids:
            cleared = self._cleared.setdefault(crash_id, set())
            if clearance.fingerprint in cleared:
                continue
            cleared.add(clearance.fingerprint)
            is_new = True
        if is_new:
            self._bound_clearances()
            self._judge_all()
        return is_new

    def judge(self, fingerprint: str, now: float) -> Verdict:
        """Return the verdict on a request."""
        if not self._reports or not fingerprint:
            return CLEAR
        self.expire(now)
        crash_ids = self._evidence.get(fingerprint, frozenset())
        if fingerprint in self._offenders:
            until = max(self._reports[crash_id].expires_at for crash_id in crash_ids)
            return Verdict(QuarantineState.QUARANTINED, crash_ids, until - now)
        unexplained = crash_ids - self._explained
        return Verdict(QuarantineState.SUSPECT, unexplained) if unexplained else CLEAR

    def crashes_of(self, fingerprint: str) -> frozenset[str]:
        """Crashes at which a fingerprint was in flight and of which it is not cleared."""
        return self._evidence.get(fingerprint, frozenset())

    def expire(self, now: float) -> bool:
        """Forget reports that have expired; return whether there were any."""
        expired = [name for name, report in self._reports.items() if report.expires_at <= now]
        for crash_id in expired:
            self._forget(crash_id)
        if expired:
            self._judge_all()
        return bool(expired)

    def _judge_all(self) -> None:
        evidence: dict[str, set[str]] = {}
        for crash_id, report in self._reports.items():
            for fingerprint in report.fingerprints - self._cleared.get(crash_id, set()):
                evidence.setdefault(fingerprint, set()).add(crash_id)
        self._evidence = {name: frozenset(crashes) for name, crashes in evidence.items()}
        self._offenders = find_offenders(self._evidence)
        self._explained = frozenset().union(*(self._evidence[name] for name in self._offenders))

    def _forget(self, crash_id: str) -> None:
        del self._reports[crash_id]
        self._cleared.pop(crash_id, None)

    def _bound_clearances(self) -> None:
        while len(self._cleared) > self._max_reports:
            del self._cleared[next(iter(self._cleared))]
