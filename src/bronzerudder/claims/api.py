"""Interface for claiming an idempotency key before a non-repeatable request is started."""

from __future__ import annotations

import abc
from typing import NamedTuple

from bronzerudder.claims.errors import ClaimError
from bronzerudder.claims.keys import ClaimKey


class StoredAnswer(NamedTuple):
    """A backend server's answer, stored to be returned to retries of its key."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class Granted(NamedTuple):
    """The claim is recorded for this incarnation; the request may be started once."""

    key: ClaimKey


class Running(NamedTuple):
    """The key's request is running in this process; see `ClaimRegister.wait`."""

    key: ClaimKey


class AlreadyFinished(NamedTuple):
    """The key's request has finished; ``answer`` is None when it was too large to store."""

    answer: StoredAnswer | None


class Unknown(NamedTuple):
    """The request may have run, or is running in another process; it must not be started."""

    reason: str
    retry_after_s: float


class Released(NamedTuple):
    """The request is no longer running in this process; claim its key again to get its state."""

    key: ClaimKey


ClaimOutcome = Granted | Running | AlreadyFinished | Unknown | ClaimError


class ClaimRegister(abc.ABC):
    """Grants a key once within its retention; only a released key can be granted again.

    A caller that is granted a key must then call exactly one of `finish`, `release` and
    `abandon`.
    """

    @abc.abstractmethod
    async def run(self) -> None:
        """Record claims until cancelled; claims made before this runs wait."""

    @abc.abstractmethod
    async def claim(self, key: ClaimKey, timeout_s: float) -> ClaimOutcome:
        """Claim a key, so that its request may be started.

        Parameters
        ----------
        key : ClaimKey
            The idempotency key and the fingerprint of its request.
        timeout_s : float
            After this many seconds the claim is withdrawn and an error is returned.
        """

    @abc.abstractmethod
    def finish(self, key: ClaimKey, answer: StoredAnswer) -> None:
        """Store the answer of a granted key; the write waits briefly to be batched with claims."""

    @abc.abstractmethod
    def release(self, key: ClaimKey) -> None:
        """Release a granted key whose request has certainly not run and will not run."""

    @abc.abstractmethod
    def abandon(self, key: ClaimKey) -> None:
        """Mark the outcome of a granted key as unknown: its request may or may not have run."""

    @abc.abstractmethod
    async def wait(self, key: ClaimKey) -> AlreadyFinished | Unknown | Released:
        """Wait until the request of a key that is running in this process ends."""

    @abc.abstractmethod
    async def flush(self) -> None:
        """Wait until each `finish`, `release` and `abandon` is recorded, or a commit fails."""
