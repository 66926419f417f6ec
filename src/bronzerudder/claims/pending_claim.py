"""A claim that is queued for a group commit."""

from __future__ import annotations

import enum

import anyio

from bronzerudder.claims.shard_log import Entry


class Resolution(enum.Enum):
    """How a pending claim was resolved.

    ``RECORDED`` means that the shard already holds a record that decides the claim.
    """

    GRANTED = "granted"
    RECORDED = "recorded"
    UNAVAILABLE = "unavailable"


class PendingClaim:
    """A queued claim, shared by all requests of this process for its key.

    ``waiters`` is the number of waiting tasks; a claim without any is withdrawn. ``entry`` is set
    with the resolution ``RECORDED``, ``reason`` with ``UNAVAILABLE``. ``start_assigned`` is set
    once one of the tasks has been granted the key, so that no second one starts the request.
    """

    def __init__(self, digest: bytes, fingerprint: bytes) -> None:
        self.digest = digest
        self.fingerprint = fingerprint
        self.waiters = 0
        self.start_assigned = False
        self.done = anyio.Event()
        self.resolution: Resolution | None = None
        self.entry: Entry | None = None
        self.reason = ""

    def resolve(self, resolution: Resolution, entry: Entry | None = None, reason: str = "") -> None:
        """Set the resolution and wake the waiting tasks."""
        self.resolution = resolution
        self.entry = entry
        self.reason = reason
        self.done.set()
