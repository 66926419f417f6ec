"""A caller's request as passed to the dispatcher."""

from __future__ import annotations

from typing import NamedTuple


class CallerRequest(NamedTuple):
    """One request of a caller.

    Parameters
    ----------
    request_id : str
        Unique over all entries.
    requested_timeout_s : float or None
        Timeout that the caller requests, in seconds; bounded by the route's deadline.
    estimated_tokens : int
        Expected number of prompt and generated tokens.
    prefix : str
        Hash of the start of the prompt, to find cached prefixes; empty without a prompt.
    fingerprint : str
        Hash of path and body; identifies equal requests to the quarantine.
    """

    request_id: str
    workspace: str
    method: str
    path: str
    model: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    idempotency_key: str
    requested_timeout_s: float | None
    traceparent: str
    estimated_tokens: int
    prompt_tokens: int
    prefix: str
    fingerprint: str
