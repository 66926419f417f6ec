"""Quarantines requests that crash backend servers."""

from __future__ import annotations

from bronzerudder.policy.quarantine.api import Clearance, CrashReport, Standing, Verdict
from bronzerudder.policy.quarantine.blame import find_culprits
from bronzerudder.policy.quarantine.ledger import QUARANTINE_S, QuarantineLedger

__all__ = [
    "QUARANTINE_S",
    "Clearance",
    "CrashReport",
    "QuarantineLedger",
    "Standing",
    "Verdict",
    "find_culprits",
]
