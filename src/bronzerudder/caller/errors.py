"""Errors in callers' requests."""

from __future__ import annotations

from typing import NamedTuple


class BadRequest(NamedTuple):
    """The request is invalid and was not run; becomes an error answer."""

    status: int
    reason: str
