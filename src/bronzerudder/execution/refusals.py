"""Builds refusals, which prove to the entry that an attempt has not run and will not."""

from __future__ import annotations

from bronzerudder.frames import exchange_pb2 as pb
from bronzerudder.policy.admission import AdmissionRefusal, AdmissionRefusalKind

_ADMISSION_REASONS = {
    AdmissionRefusalKind.QUEUE_FULL: pb.REFUSAL_REASON_QUEUE_FULL,
    AdmissionRefusalKind.DEADLINE: pb.REFUSAL_REASON_DEADLINE,
    AdmissionRefusalKind.SHARE_EXCEEDED: pb.REFUSAL_REASON_SHARE_EXCEEDED,
}


def build_refusal(
    submit: pb.Submit, reason: pb.RefusalReason, retry_after_ms: int, detail: str = ""
) -> pb.Refused:
    """Build a refusal of an attempt."""
    return pb.Refused(
        request_id=submit.request_id,
        attempt=submit.attempt,
        reason=reason,
        detail=detail,
        retry_after_ms=retry_after_ms,
    )


def describe_admission_refusal(submit: pb.Submit, refusal: AdmissionRefusal) -> pb.Refused:
    """Turn the admission queue's refusal into a frame."""
    reason = _ADMISSION_REASONS[refusal.kind]
    return build_refusal(submit, reason, to_ms(refusal.retry_after_s), refusal.reason)


def to_ms(seconds: float) -> int:
    """Convert seconds to whole milliseconds, at least one."""
    return max(1, int(seconds * 1000))
