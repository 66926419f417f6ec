"""Judges requests by their fingerprints and by the prompt parts that they share with others."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from typing import NamedTuple

import xxhash

from bronzerudder.policy.quarantine.api import (
    CLEAR,
    Clearance,
    CrashReport,
    QuarantineState,
    Verdict,
)
from bronzerudder.policy.quarantine.ledger import QUARANTINE_S, QuarantineLedger

PART_PREFIX = "p"
"""First character of a subject that is a prompt part; fingerprints are hexadecimal."""
MAX_REPORTS = 64
"""Crashes that are judged by. They come one by one, and a verdict needs two to five."""
MAX_PROVEN_PARTS = 4096
"""Parts of about a minute of requests at 70 requests a second."""
PROVEN_S = 600.0
"""Time for which a completed request proves its parts, as long as a quarantine."""
SAME_CAUSE_S = 0.25
"""Crashes of several backend servers within this time may all be due to something else, such as a
loss of power, and count as one against a prompt part."""
MIN_OCCASIONS = 2
MAX_EXCHANGED_CRASHES = 15
MAX_EXCHANGED_SUBJECTS = 8
"""Bound what ledgers exchange; a verdict needs two to five crashes and one subject of each."""


class RequestSubjects(NamedTuple):
    """What a request is judged by.

    Parameters
    ----------
    fingerprint : str
        The same when the request is sent again.
    parts : tuple of str
        Prompt parts that different requests share; each begins with `PART_PREFIX`.
    """

    fingerprint: str
    parts: tuple[str, ...] = ()


def is_part(subject: str) -> bool:
    """Whether a subject is a prompt part."""
    return subject.startswith(PART_PREFIX)


class ProvenParts:
    """Prompt parts of requests that have run without a crash; the oldest are forgotten."""

    def __init__(self) -> None:
        self._proven_at_s: OrderedDict[str, float] = OrderedDict()

    def __len__(self) -> int:
        return len(self._proven_at_s)

    def add(self, part: str, now_s: float) -> None:
        """Record that a request with this part has run."""
        self._proven_at_s[part] = now_s
        self._proven_at_s.move_to_end(part)
        if len(self._proven_at_s) > MAX_PROVEN_PARTS:
            self._proven_at_s.popitem(last=False)

    def contains(self, part: str, now_s: float) -> bool:
        """Whether a request with this part has run lately."""
        return now_s - self._proven_at_s.get(part, -PROVEN_S) < PROVEN_S


class KnownCrash(NamedTuple):
    """A crash as ledgers exchange it.

    Parameters
    ----------
    crash_id : str
        Identifies the crash.
    subjects : tuple of str
        Subjects that may explain it, the likeliest first.
    happened_at_s : float
        Monotonic time of the crash.
    """

    crash_id: str
    subjects: tuple[str, ...]
    happened_at_s: float


class SubjectLedger:
    """Derives verdicts on requests from the crashes at which their subjects were in flight.

    A subject that a completed request has is sound and explains no crash. Of the others, those
    that best explain the repeated crashes are offenders (see `find_offenders`). If a request and
    its parts explain the same crashes, the request is blamed: its parts may be sound.

    A request is quarantined if some crash would be unexplained were all its subjects sound. A
    request with some of several offenders that explain the same crashes is a suspect: it may run
    to find out which of them it is.

    Ledgers with the same reports and proofs reach the same verdicts. All times are monotonic.
    """

    def __init__(self) -> None:
        self._ledger = QuarantineLedger(MAX_REPORTS)
        self._proven = ProvenParts()
        self._crash_at_s: dict[str, float] = {}
        self._explanations: dict[str, frozenset[str]] = {}
        self._offenders: frozenset[str] = frozenset()
        self._digest: int | None = None
        self._changes = 0

    @property
    def offenders(self) -> frozenset[str]:
        """Subjects that explain repeated crashes."""
        return self._offenders

    @property
    def changes(self) -> int:
        """Number of times that the offenders have been determined."""
        return self._changes

    @property
    def proven_parts(self) -> int:
        """Number of parts that are known to be sound."""
        return len(self._proven)

    @property
    def known_crashes(self) -> tuple[KnownCrash, ...]:
        """Crashes to exchange with other ledgers: those that offenders explain, then the latest."""
        cleared: dict[str, set[str]] = {}
        for clearance in self._ledger.clearances:
            for crash_id in clearance.crash_ids:
                cleared.setdefault(crash_id, set()).add(clearance.fingerprint)
        crashes = []
        for report in self._ledger.reports:
            suspects = report.fingerprints - cleared.get(report.crash_id, set())
            if not suspects:
                continue
            likeliest = sorted(
                suspects, key=lambda name: (name not in self._offenders, not is_part(name), name)
            )
            at_s = self._crash_at_s[report.crash_id]
            subjects = tuple(likeliest[:MAX_EXCHANGED_SUBJECTS])
            crashes.append(KnownCrash(report.crash_id, subjects, at_s))
        crashes.sort(
            key=lambda crash: (crash.crash_id not in self._explanations, -crash.happened_at_s)
        )
        return tuple(crashes[:MAX_EXCHANGED_CRASHES])

    @property
    def digest(self) -> int:
        """Hash of the crashes to exchange; equal for ledgers that need exchange nothing."""
        if self._digest is None:
            digest = xxhash.xxh3_64()
            for crash in sorted(self.known_crashes):
                for text in (crash.crash_id, *sorted(filter(is_part, crash.subjects))):
                    digest.update(text.encode() + b"\0")
            self._digest = digest.intdigest()
        return self._digest

    def record_crash(
        self, crash_id: str, subjects: Iterable[str], happened_at_s: float, now_s: float
    ) -> bool:
        """Record a crash, or further subjects of a known one; return whether anything is new."""
        suspects = frozenset(
            subject for subject in subjects if subject and not self.is_proven(subject, now_s)
        )
        expires_at_s = happened_at_s + QUARANTINE_S
        if expires_at_s <= now_s:
            return False
        if not self._ledger.record_crash(CrashReport(crash_id, suspects, expires_at_s)):
            return False
        self._crash_at_s[crash_id] = min(
            happened_at_s, self._crash_at_s.get(crash_id, happened_at_s)
        )
        self._find_explanations()
        return True

    def record_proof(self, subjects: Iterable[str], now_s: float) -> frozenset[str]:
        """Record that a request with these subjects has run; return those that were suspects."""
        cleared = set()
        for subject in subjects:
            if is_part(subject):
                self._proven.add(subject, now_s)
            crash_ids = self._ledger.crashes_of(subject)
            if crash_ids and self._ledger.record_clearance(Clearance(subject, crash_ids)):
                cleared.add(subject)
        if cleared:
            self._find_explanations()
        return frozenset(cleared)

    def is_proven(self, subject: str, now_s: float) -> bool:
        """Whether a part is known to be sound; False for a fingerprint."""
        return is_part(subject) and self._proven.contains(subject, now_s)

    def judge(self, subjects: RequestSubjects, now_s: float) -> Verdict:
        """Return the verdict on a request."""
        if not self._offenders:
            return CLEAR
        self.expire(now_s)
        own = self._offenders.intersection((subjects.fingerprint, *subjects.parts))
        if not own:
            return CLEAR
        proving = [crash for crash, offenders in self._explanations.items() if offenders <= own]
        if not proving:
            return Verdict(QuarantineState.SUSPECT)
        verdicts = [self._ledger.judge(subject, now_s) for subject in own]
        retry_after_s = max(verdict.retry_after_s for verdict in verdicts)
        return Verdict(QuarantineState.QUARANTINED, frozenset(proving), retry_after_s)

    def crashes_of(self, subject: str) -> frozenset[str]:
        """Crashes at which a subject was in flight, unless it is known to be sound."""
        return self._ledger.crashes_of(subject)

    def expire(self, now_s: float) -> None:
        """Forget reports that have expired."""
        if self._ledger.expire(now_s):
            self._find_explanations()

    def _find_explanations(self) -> None:
        held = {report.crash_id for report in self._ledger.reports}
        self._crash_at_s = {name: at for name, at in self._crash_at_s.items() if name in held}
        crashes = {name: self._ledger.crashes_of(name) for name in self._ledger.offenders}
        blamed_requests = {ids for name, ids in crashes.items() if not is_part(name)}
        explanations: dict[str, set[str]] = {}
        for name, crash_ids in crashes.items():
            if is_part(name) and crash_ids in blamed_requests:
                continue
            if is_part(name) and self._count_occasions(crash_ids) < MIN_OCCASIONS:
                continue
            for crash_id in crash_ids:
                explanations.setdefault(crash_id, set()).add(name)
        self._explanations = {name: frozenset(items) for name, items in explanations.items()}
        self._offenders = frozenset().union(*self._explanations.values())
        self._digest = None
        self._changes += 1

    def _count_occasions(self, crash_ids: Iterable[str]) -> int:
        """Count the crashes, taking those that happened at the same time as one."""
        occasions = 0
        began_at_s = float("-inf")
        for at_s in sorted(self._crash_at_s[crash_id] for crash_id in crash_ids):
            if at_s - began_at_s < SAME_CAUSE_S:
                continue
            occasions += 1
            began_at_s = at_s
        return occasions
