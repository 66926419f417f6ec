"""Quarantines requests that crash backend servers."""

from __future__ import annotations

from bronzerudder.policy.quarantine.api import Clearance, CrashReport, QuarantineState, Verdict
from bronzerudder.policy.quarantine.blame import find_offenders
from bronzerudder.policy.quarantine.ledger import QUARANTINE_S, QuarantineLedger

__all__ = [
    "QUARANTINE_S",
    "Clearance",
    "CrashReport",
    "QuarantineLedger",
    "QuarantineState",
    "Verdict",
    "find_offenders",
]
