"""Hashes that identify keyed requests: a digest of the key, a fingerprint of the request."""

from __future__ import annotations

import hashlib
from typing import NamedTuple

DIGEST_BYTES = 16
FINGERPRINT_BYTES = 8


class ClaimKey(NamedTuple):
    """Identity of a keyed request.

    Parameters
    ----------
    digest : bytes
        Of the workspace and its idempotency key.
    fingerprint : bytes
        Of the request itself, so that reuse of a key for another request is detected.
    """

    digest: bytes
    fingerprint: bytes


def key_digest(workspace: str, idempotency_key: str) -> bytes:
    """Hash a workspace's idempotency key; workspaces do not share keys."""
    return _digest((workspace.encode(), idempotency_key.encode()), DIGEST_BYTES)


def make_claim_key(
    workspace: str, idempotency_key: str, method: str, path: str, body: bytes
) -> ClaimKey:
    """Make the claim key of a request."""
    fingerprint = _digest((method.encode(), path.encode(), body), FINGERPRINT_BYTES)
    return ClaimKey(key_digest(workspace, idempotency_key), fingerprint)


def _digest(parts: tuple[bytes, ...], size: int) -> bytes:
    digest = hashlib.blake2b(digest_size=size)
    for part in parts:
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()
