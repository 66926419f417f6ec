"""Queues requests for a backend server and refuses those that can't be served in time."""

from __future__ import annotations

from bronzerudder.policy.admission.api import (
    EXPIRY_INTERVAL_S,
    AdmissionQueue,
    AdmissionRefusal,
    AdmissionRefusalKind,
    AdmissionRequest,
    Queued,
)
from bronzerudder.policy.admission.fair import FairQueue, FairQueueLimits
from bronzerudder.policy.admission.first_come import FirstComeQueue
from bronzerudder.policy.admission.running import STALL_THRESHOLD_S

__all__ = [
    "EXPIRY_INTERVAL_S",
    "AdmissionQueue",
    "AdmissionRefusal",
    "AdmissionRefusalKind",
    "AdmissionRequest",
    "FairQueue",
    "FairQueueLimits",
    "FirstComeQueue",
    "STALL_THRESHOLD_S",
    "Queued",
]
