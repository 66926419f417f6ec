"""Keys granted to this incarnation whose end is not yet recorded in the shard."""

from __future__ import annotations

import enum

import anyio

from bronzerudder.claims.api import StoredAnswer


class GrantedKeyState(enum.Enum):
    """State of a granted key as known to the process that holds it."""

    RUNNING = "running"
    FINISHED = "finished"
    UNKNOWN = "unknown"
    RELEASED = "released"


class GrantedKey:
    """A granted key; ``ended`` is set when its request is no longer running."""

    def __init__(self, fingerprint: bytes) -> None:
        self.fingerprint = fingerprint
        self.state = GrantedKeyState.RUNNING
        self.answer: StoredAnswer | None = None
        self.ended = anyio.Event()


class GrantedKeys:
    """Granted keys by digest, each kept until it is released or its end is committed."""

    def __init__(self) -> None:
        self._keys: dict[bytes, GrantedKey] = {}

    def __contains__(self, digest: bytes) -> bool:
        return digest in self._keys

    def __len__(self) -> int:
        return len(self._keys)

    def get(self, digest: bytes) -> GrantedKey | None:
        """Return a granted key, or None."""
        return self._keys.get(digest)

    def add(self, digest: bytes, fingerprint: bytes) -> None:
        """Add a key that has been granted."""
        self._keys[digest] = GrantedKey(fingerprint)

    def end(
        self, digest: bytes, state: GrantedKeyState, answer: StoredAnswer | None = None
    ) -> None:
        """Set the final state of a running key and wake its waiters."""
        granted = self._keys[digest]
        granted.state = state
        granted.answer = answer
        granted.ended.set()

    def remove(self, digest: bytes) -> None:
        """Remove a key whose request has not run and will not run."""
        granted = self._keys.pop(digest)
        granted.state = GrantedKeyState.RELEASED
        granted.ended.set()

    def drop_recorded(self, digest: bytes) -> None:
        """Drop a key whose terminal record is committed; the shard's log now holds its state."""
        granted = self._keys.get(digest)
        if granted is not None and granted.state is not GrantedKeyState.RUNNING:
            del self._keys[digest]
