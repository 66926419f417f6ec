"""Quarantines requests that crash backend servers."""

from __future__ import annotations

from bronzerudder.policy.quarantine.api import Clearance, CrashReport, QuarantineState, Verdict
from bronzerudder.policy.quarantine.blame import find_offenders
from bronzerudder.policy.quarantine.ledger import QUARANTINE_S, QuarantineLedger
from bronzerudder.policy.quarantine.subjects import RequestSubjects, SubjectLedger

__all__ = [
    "QUARANTINE_S",
    "Clearance",
    "CrashReport",
    "QuarantineLedger",
    "QuarantineState",
    "RequestSubjects",
    "SubjectLedger",
    "Verdict",
    "find_offenders",
]
