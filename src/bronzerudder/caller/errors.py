"""Errors of the caller layer."""

from __future__ import annotations

from typing import NamedTuple


class BadRequest(NamedTuple):
    """The request can not be understood, so it was not run."""

    status: int
    reason: str
