"""A claim that waits to be recorded."""

from __future__ import annotations

import enum

import anyio

from bronzerudder.claims.shard_log import Entry


class Verdict(enum.Enum):
    """What a waiting claim came to."""

    GRANTED = "granted"
    RECORDED = "recorded"
    UNAVAILABLE = "unavailable"


class Ticket:
    """A claim that waits for its record.

    ``waiters`` counts the tasks that wait; with none left the claim is withdrawn. ``entry`` is set
    with the verdict ``RECORDED``, ``reason`` with ``UNAVAILABLE``. ``taken`` says that one of the
    tasks has been told to start the request.
    """

    def __init__(self, digest: bytes, fingerprint: bytes) -> None:
        self.digest = digest
        self.fingerprint = fingerprint
        self.waiters = 0
        self.taken = False
        self.done = anyio.Event()
        self.verdict: Verdict | None = None
        self.entry: Entry | None = None
        self.reason = ""

    def resolve(self, verdict: Verdict, entry: Entry | None = None, reason: str = "") -> None:
        """Set the verdict and wake the waiting tasks."""
        self.verdict = verdict
        self.entry = entry
        self.reason = reason
        self.done.set()
