"""Builds refusals with a retry delay."""

from __future__ import annotations

from bronzerudder.policy.admission.api import (
    AdmissionRefusal,
    AdmissionRefusalKind,
    AdmissionRequest,
)

MIN_RETRY_AFTER_S = 0.1


def refuse_full(request: AdmissionRequest, wait_s: float) -> AdmissionRefusal:
    """Refuse a request of the workspace that has the most work for its weight in a full queue."""
    return AdmissionRefusal(
        request.request_id,
        AdmissionRefusalKind.QUEUE_FULL,
        "the queue is full, and the request's workspace has the most queued work for its weight",
        max(MIN_RETRY_AFTER_S, wait_s),
    )


def refuse_long_wait(
    request: AdmissionRequest, wait_s: float, max_wait_s: float
) -> AdmissionRefusal:
    """Refuse a request whose estimated wait exceeds the limit."""
    return AdmissionRefusal(
        request.request_id,
        AdmissionRefusalKind.QUEUE_FULL,
        f"estimated wait of {wait_s:.1f} s exceeds the limit of {max_wait_s:.1f} s",
        max(MIN_RETRY_AFTER_S, wait_s - max_wait_s),
    )


def refuse_late(request: AdmissionRequest, late_s: float) -> AdmissionRefusal:
    """Refuse a request that is expected to end after its deadline."""
    return AdmissionRefusal(
        request.request_id,
        AdmissionRefusalKind.DEADLINE,
        f"expected to end {late_s:.1f} s after its deadline",
        max(MIN_RETRY_AFTER_S, late_s),
    )
