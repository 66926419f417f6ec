"""Reloads a settings file that changes while its process runs."""

from __future__ import annotations

import pathlib
from typing import Any

from bronzerudder.settings.document import decode_document
from bronzerudder.settings.errors import SettingsError


class SettingsFile:
    """Reads a settings file again when its content has changed.

    Parameters
    ----------
    path : str
        Path of the settings file.
    expected : type
        ``TypedDict`` of the settings.
    """

    def __init__(self, path: str, expected: type) -> None:
        self._path = pathlib.Path(path)
        self._expected = expected
        self._content = self._load()

    def read_change(self) -> Any | SettingsError | None:
        """Return the settings if the file's content has changed since the last read, else None.

        An error is returned once, and not again while it lasts.
        """
        content = self._load()
        if content == self._content:
            return None
        self._content = content
        if isinstance(content, SettingsError):
            return content
        return decode_document(content, self._expected)

    def _load(self) -> bytes | SettingsError:
        try:
            return self._path.read_bytes()
        except OSError as error:
            return SettingsError("$", f"cannot read {self._path}: {error.strerror}")
