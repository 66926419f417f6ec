"""What an agent asks before it starts a keyed request that may not be repeated."""

from __future__ import annotations

import abc
from typing import NamedTuple

from bronzerudder.claims.errors import ClaimError
from bronzerudder.claims.keys import ClaimKey


class StoredAnswer(NamedTuple):
    """A backend server's answer, kept for repeats of its key."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class Granted(NamedTuple):
    """The claim is on record for this incarnation; the request may start, once."""

    key: ClaimKey


class Running(NamedTuple):
    """The key already runs at this incarnation; see `ClaimRegister.wait`."""

    key: ClaimKey


class AlreadyFinished(NamedTuple):
    """The key has run to its end; ``answer`` is None when it was too large to keep."""

    answer: StoredAnswer | None


class Unknown(NamedTuple):
    """The key may or may not have run, or runs at another incarnation; it must not start here."""

    reason: str
    retry_after_s: float


class Released(NamedTuple):
    """The key runs no more and may be claimed again."""

    key: ClaimKey


ClaimOutcome = Granted | Running | AlreadyFinished | Unknown | ClaimError


class ClaimRegister(abc.ABC):
    """Grants each key to at most one incarnation of one agent.

    Whoever is granted a key calls exactly one of `finish`, `release` and `abandon` afterwards.
    """

    @abc.abstractmethod
    async def run(self) -> None:
        """Record claims until cancelled; claims wait until this runs."""

    @abc.abstractmethod
    async def claim(self, key: ClaimKey, timeout_s: float) -> ClaimOutcome:
        """Ask to start a key.

        Parameters
        ----------
        key : ClaimKey
            The idempotency key and the fingerprint of its request.
        timeout_s : float
            After this many seconds the claim is withdrawn and an error returned.
        """

    @abc.abstractmethod
    def finish(self, key: ClaimKey, answer: StoredAnswer) -> None:
        """Keep the answer of a granted key; it is recorded together with later claims."""

    @abc.abstractmethod
    def release(self, key: ClaimKey) -> None:
        """Give a granted key back, which certainly has not run and will not."""

    @abc.abstractmethod
    def abandon(self, key: ClaimKey) -> None:
        """Say that a granted key may or may not have run."""

    @abc.abstractmethod
    async def wait(self, key: ClaimKey) -> AlreadyFinished | Unknown | Released:
        """Wait for the end of a key that runs at this incarnation."""

    @abc.abstractmethod
    async def flush(self) -> None:
        """Wait until every finish so far is on record, or an attempt to record it has failed."""
