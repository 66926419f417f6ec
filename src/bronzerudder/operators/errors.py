"""Errors shown to an operator."""

from __future__ import annotations

import enum
from typing import NamedTuple


class OperatorErrorKind(enum.Enum):
    """Whether the input, a concurrent edit or the system caused the error."""

    INVALID = "invalid"
    CONFLICT = "conflict"
    FAILED = "failed"


class OperatorError(NamedTuple):
    """Why a command failed, in one line."""

    kind: OperatorErrorKind
    reason: str


def failed(reason: str) -> OperatorError:
    """Report that the system could not complete a command."""
    return OperatorError(OperatorErrorKind.FAILED, reason)


def not_found(row: str) -> OperatorError:
    """Report that a row does not exist."""
    return OperatorError(OperatorErrorKind.FAILED, f"there is no {row}")


def refused(row: str, reason: str) -> OperatorError:
    """Report why an edit was refused."""
    return OperatorError(OperatorErrorKind.INVALID, f"{row}: refused: {reason}")


def superseded(row: str, version: int) -> OperatorError:
    """Report that a later edit replaced this one before it was decided."""
    reason = f"{row}: revision {version} was replaced by a later edit before it was decided"
    return OperatorError(OperatorErrorKind.CONFLICT, reason)


def not_in_force_everywhere(names: str) -> OperatorError:
    """Report the instances that do not have the revision in force yet."""
    return OperatorError(OperatorErrorKind.FAILED, f"accepted, but not yet in force at {names}")
