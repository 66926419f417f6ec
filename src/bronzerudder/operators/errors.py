"""Errors that an operator reads."""

from __future__ import annotations

import enum
from typing import NamedTuple


class OperatorErrorKind(enum.Enum):
    """Whether the operator's input or the system is at fault."""

    INVALID = "invalid"
    CONFLICT = "conflict"
    FAILED = "failed"


class OperatorError(NamedTuple):
    """Why a command did not do what was asked, in one line."""

    kind: OperatorErrorKind
    reason: str


def failed(reason: str) -> OperatorError:
    """Say that the system could not do it."""
    return OperatorError(OperatorErrorKind.FAILED, reason)


def missing(what: str) -> OperatorError:
    """Say that there is no such row."""
    return OperatorError(OperatorErrorKind.FAILED, f"there is no {what}")


def refused(what: str, reason: str) -> OperatorError:
    """Say why an edit is not accepted."""
    return OperatorError(OperatorErrorKind.INVALID, f"{what}: refused: {reason}")


def superseded(what: str, version: int) -> OperatorError:
    """Say that a later edit came before this one was decided."""
    reason = f"{what}: revision {version} was replaced by a later edit before it was decided"
    return OperatorError(OperatorErrorKind.CONFLICT, reason)


def not_everywhere(names: str) -> OperatorError:
    """Name the instances that don't report the revision."""
    return OperatorError(OperatorErrorKind.FAILED, f"accepted, but not yet in force at {names}")
