"""Keys that this incarnation has been granted."""

from __future__ import annotations

import enum

import anyio

from bronzerudder.claims.api import StoredAnswer


class OwnState(enum.Enum):
    """State of a granted key, as its own incarnation knows it."""

    RUNNING = "running"
    FINISHED = "finished"
    UNKNOWN = "unknown"
    RELEASED = "released"


class OwnKey:
    """A granted key; ``ended`` is set when it runs no more."""

    def __init__(self, fingerprint: bytes) -> None:
        self.fingerprint = fingerprint
        self.state = OwnState.RUNNING
        self.answer: StoredAnswer | None = None
        self.ended = anyio.Event()


class OwnKeys:
    """Every granted key, until its end is on record."""

    def __init__(self) -> None:
        self._keys: dict[bytes, OwnKey] = {}

    def __contains__(self, digest: bytes) -> bool:
        return digest in self._keys

    def __len__(self) -> int:
        return len(self._keys)

    def get(self, digest: bytes) -> OwnKey | None:
        """Find a key."""
        return self._keys.get(digest)

    def start(self, digest: bytes, fingerprint: bytes) -> None:
        """Add a key that has been granted."""
        self._keys[digest] = OwnKey(fingerprint)

    def end(self, digest: bytes, state: OwnState, answer: StoredAnswer | None = None) -> None:
        """Note how a running key ended."""
        own = self._keys[digest]
        own.state = state
        own.answer = answer
        own.ended.set()

    def remove(self, digest: bytes) -> None:
        """Take out a key that has not run and will not."""
        own = self._keys.pop(digest)
        own.state = OwnState.RELEASED
        own.ended.set()

    def forget_recorded(self, digest: bytes) -> None:
        """Drop a key whose end is on record; the shard's log now answers for it."""
        own = self._keys.get(digest)
        if own is not None and own.state is not OwnState.RUNNING:
            del self._keys[digest]
