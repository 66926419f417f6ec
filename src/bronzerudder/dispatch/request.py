"""A caller's request as the dispatcher sees it."""

from __future__ import annotations

from typing import NamedTuple


class CallerRequest(NamedTuple):
    """One request of a caller.

    Parameters
    ----------
    request_id : str
        Unique over all entries.
    asked_timeout_s : float or None
        Time that the caller allows, in seconds; the route's deadline bounds it.
    estimated_tokens : int
        Prompt and generated tokens that it is expected to cost.
    prefix : str
        Identifies the start of the prompt; empty if there is nothing to reuse.
    fingerprint : str
        Identifies the body.
    """

    request_id: str
    workspace: str
    method: str
    path: str
    model: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    idempotency_key: str
    asked_timeout_s: float | None
    traceparent: str
    estimated_tokens: int
    prompt_tokens: int
    prefix: str
    fingerprint: str
