"""Errors of the settings layer."""

from __future__ import annotations

from typing import NamedTuple


class SettingsError(NamedTuple):
    """Why a JSON document was rejected, in one line.

    Parameters
    ----------
    path : str
        Path of the value in the document, such as ``$.field.inner[0]``.
    reason : str
        What is wrong there.
    """

    path: str
    reason: str

    def __str__(self) -> str:
        return f"{self.path}: {self.reason}"
